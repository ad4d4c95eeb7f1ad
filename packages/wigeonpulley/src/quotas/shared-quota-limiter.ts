/**
 * Limits workspaces to their quotas over all VMs with one token bucket per VM and workspace; the VMs share out the
 * quota's rate among their buckets.
 *
 * Each VM owns an equal share of a quota's rate. A VM that needs less reports how much it keeps, and the VMs that need
 * more divide the rest by their demand for as long as that report is fresh. When the report expires, the lent rate falls
 * back to its owner, so the sum stays within the quota while VMs are partitioned, frozen or restarted. Token buckets
 * limit the harm of a restart, which loses the counts of past usage. In addition, a sliding window over the known usage
 * of all VMs bounds what is admitted.
 */
import { QuotaLimiter, type QuotaState } from "../forwarding/index.js";
import type { Quota } from "../routing/index.js";
import type { TimerService } from "../time/index.js";
import { UsageTracker, type WorkspaceUsage } from "./usage-tracker.js";

/** Options of the limiter. */
export interface SharedQuotaLimiterOptions {
    readonly timers: TimerService;
    /** Returns the number of VMs that may use quotas, including this one, and whether it is known or assumed. */
    readonly getVmCount: () => { readonly count: number; readonly isKnown: boolean; };
    /**
     * Returns by how much a workspace may exceed its quota in a window, over all VMs: `slack` units plus the fraction
     * `overrun`.
     */
    readonly getTolerance: () => {
        readonly slack: number;
        readonly overrun: number;
        readonly windowMs: number;
    };
}

/** Time constant with which the estimate of the demand rate decays exponentially. */
const DEMAND_TIME_CONSTANT_MS = 2_000;
/** Margin for the uncertainty of the demand estimate: a VM keeps this multiple of it. */
const KEPT_DEMAND_FACTOR = 1.5;
/** Fraction of its equal share that a VM keeps even without demand, so that a first request is not refused. */
const MIN_KEPT_FRACTION = 0.25;
/** Fraction of the tolerance that is spread over the window and added to the rate that all VMs share. */
const RATE_TOLERANCE_FRACTION = 0.8;
/**
 * Fraction of the tolerance by which all buckets together may be overdrawn. A single request can be large compared with
 * a VM's share; once it is admitted, its bucket stays negative until later refills cover it. The rest of the tolerance
 * covers usage that VMs don't know of each other.
 */
const OVERDRAFT_TOLERANCE_FRACTION = 0.15;
/**
 * Fraction of the usage bound up to which known usage is admitted; the rest covers what VMs admit between two reports.
 */
const KNOWN_USAGE_FRACTION = 0.9;
/** Fraction of the shared rate below which the demand of all VMs counts as uncontended, so that no share limits it. */
const UNCONTENDED_FRACTION = 0.8;
const MS_PER_SECOND = 1_000;
/** Time for which a report is sent again unless this VM has used a quota meanwhile, in milliseconds. */
const REPORT_VALIDITY_MS = 100;

/** Longest wait that is estimated while the number of VMs is assumed, in milliseconds: it is learned before long. */
const MAX_UNKNOWN_WAIT_MS = 1_000;

interface Bucket {
    quota: Quota;
    level: number;
    /** Part of the burst that it was created with while the number of VMs was assumed; undefined once that is known. */
    assumedPart: number | undefined;
    refilledAt: number;
    demandPerSecond: number;
    demandAt: number;
    readonly usage: UsageTracker;
}

/** What another VM reported last. */
interface PeerReport {
    readonly incarnation: bigint;
    readonly usageByWorkspace: ReadonlyMap<string, WorkspaceUsage>;
    readonly receivedAt: number;
}

/** Quota limiter of one VM. */
export class SharedQuotaLimiter extends QuotaLimiter {
    private readonly buckets = new Map<string, Bucket>();
    /** By the name of the VM. */
    private readonly peerReports = new Map<string, PeerReport>();
    private report: { readonly validUntil: number; readonly usage: readonly WorkspaceUsage[]; } | undefined;

    private constructor(private readonly options: SharedQuotaLimiterOptions) {
        super();
    }

    /** Creates a limiter without recorded usage. */
    static create(options: SharedQuotaLimiterOptions): SharedQuotaLimiter {
        return new SharedQuotaLimiter(options);
    }

    override tryConsume(workspace: string, quota: Quota, units: number): boolean {
        const bucket = this.getOrCreateBucket(workspace, quota);
        this.report = undefined;
        this.recordDemand(bucket, units);
        this.refill(bucket);
        const isWithinShare = bucket.level + this.computeOverdraft(bucket) > 0
            || this.isUncontended(bucket);
        if (
            !isWithinShare
            || this.computeKnownUsage(bucket) + units > KNOWN_USAGE_FRACTION * this.computeUsageBound(bucket)
        ) {
            return false;
        }
        bucket.level -= units;
        bucket.usage.add(units);
        return true;
    }

    override refund(workspace: string, units: number): void {
        const bucket = this.buckets.get(workspace);
        if (bucket !== undefined) {
            this.report = undefined;
            bucket.level += units;
            bucket.usage.add(-units);
        }
    }

    override getState(workspace: string): QuotaState {
        const bucket = this.buckets.get(workspace);
        return bucket === undefined
            ? { level: 0, ratePerS: 0, knownUnits: 0, boundUnits: 0 }
            : {
                level: Math.round(bucket.level),
                ratePerS: Math.round(this.computeRate(bucket)),
                knownUnits: Math.round(this.computeKnownUsage(bucket)),
                boundUnits: Math.round(this.computeUsageBound(bucket)),
            };
    }

    override estimateWaitMs(workspace: string, quota: Quota, units: number): number {
        const bucket = this.getOrCreateBucket(workspace, quota);
        // The caller's next attempt reaches another VM, so this VM's whole deficit says little about the wait.
        const missing = Math.min(units, Math.max(0, -bucket.level));
        const waitMs = missing / this.computeRate(bucket) * MS_PER_SECOND;
        return bucket.assumedPart === undefined ? waitMs : Math.min(waitMs, MAX_UNKNOWN_WAIT_MS);
    }

    /** Returns the usage of every known workspace, to be reported to the other VMs. */
    listUsage(): readonly WorkspaceUsage[] {
        const now = this.options.timers.now();
        if (this.report === undefined || now >= this.report.validUntil) {
            this.report = { validUntil: now + REPORT_VALIDITY_MS, usage: this.computeUsage() };
        }
        return this.report.usage;
    }

    /** Applies another VM's report; a workspace that is missing from it counts as unused there. */
    applyPeerUsage(vm: string, incarnation: bigint, reports: readonly WorkspaceUsage[]): void {
        const report: PeerReport = {
            incarnation,
            usageByWorkspace: new Map(reports.map(usage => [usage.workspace, usage])),
            receivedAt: this.options.timers.now(),
        };
        this.peerReports.set(vm, report);
        this.buckets.forEach((bucket, workspace) => this.applyPeerReport(vm, report, workspace, bucket));
    }

    private computeUsage(): readonly WorkspaceUsage[] {
        const { windowMs } = this.options.getTolerance();
        return [...this.buckets].map(([workspace, bucket]) => {
            this.decayDemand(bucket);
            return {
                workspace,
                keptPerS: this.computeKeptRate(bucket),
                demandPerS: bucket.demandPerSecond,
                usedUnits: bucket.usage.getLocalTotal(windowMs),
                knownUnits: bucket.usage.getKnownTotal(windowMs),
            };
        });
    }

    private createUnused(workspace: string, bucket: Bucket): WorkspaceUsage {
        return {
            workspace,
            keptPerS: MIN_KEPT_FRACTION * this.computeEqualShare(bucket),
            demandPerS: 0,
            usedUnits: 0,
            knownUnits: 0,
        };
    }

    private getOrCreateBucket(workspace: string, quota: Quota): Bucket {
        const known = this.buckets.get(workspace);
        if (known !== undefined) {
            known.quota = quota;
            return known;
        }
        const now = this.options.timers.now();
        const bucket: Bucket = {
            quota,
            level: quota.burst / this.countVms(),
            assumedPart: this.options.getVmCount().isKnown ? undefined : quota.burst / this.countVms(),
            refilledAt: now,
            demandPerSecond: 0,
            demandAt: now,
            usage: UsageTracker.create(this.options.timers),
        };
        this.buckets.set(workspace, bucket);
        this.applyEarlierReports(workspace, bucket);
        return bucket;
    }

    /** Without what the other VMs reported before, each of them would count as one that may have used its whole part. */
    private applyEarlierReports(workspace: string, bucket: Bucket): void {
        const oldest = this.options.timers.now() - this.options.getTolerance().windowMs;
        for (const [vm, report] of this.peerReports) {
            if (report.receivedAt < oldest) {
                this.peerReports.delete(vm);
            }
            else {
                this.applyPeerReport(vm, report, workspace, bucket);
            }
        }
    }

    private applyPeerReport(
        vm: string,
        { incarnation, usageByWorkspace, receivedAt }: PeerReport,
        workspace: string,
        bucket: Bucket,
    ): void {
        bucket.usage.applyPeerReport(
            vm,
            incarnation,
            usageByWorkspace.get(workspace) ?? this.createUnused(workspace, bucket),
            receivedAt,
            this.options.getTolerance().windowMs,
            this.computeEqualPart(bucket),
        );
    }

    private refill(bucket: Bucket): void {
        this.replaceAssumedPart(bucket);
        const now = this.options.timers.now();
        const rate = this.computeRate(bucket);
        const filled = bucket.level + rate * (now - bucket.refilledAt) / MS_PER_SECOND;
        bucket.level = Math.min(this.computeBurst(bucket), filled);
        bucket.refilledAt = now;
    }

    /** Gives a bucket its part of the burst as soon as the number of VMs is known. */
    private replaceAssumedPart(bucket: Bucket): void {
        if (bucket.assumedPart !== undefined && this.options.getVmCount().isKnown) {
            bucket.level += bucket.quota.burst / this.countVms() - bucket.assumedPart;
            bucket.assumedPart = undefined;
        }
    }

    private countVms(): number {
        return Math.max(1, this.options.getVmCount().count);
    }

    private computeEqualShare(bucket: Bucket): number {
        return this.computeSharedRate(bucket) / this.countVms();
    }

    /** Returns the part of the burst that corresponds to this VM's part of the rate. */
    private computeBurst(bucket: Bucket): number {
        return bucket.quota.burst * this.computeRate(bucket) / this.computeSharedRate(bucket);
    }

    /** True while the demand of all VMs is so low that variations of a bucket's level need not refuse anybody. */
    private isUncontended(bucket: Bucket): boolean {
        const fresh = bucket.usage.listFreshReports();
        const unreported = Math.max(0, this.countVms() - 1 - fresh.length) * this.computeEqualShare(bucket);
        const demand = fresh.reduce(
            (sum, { demandPerS }) => sum + demandPerS,
            bucket.demandPerSecond + unreported,
        );
        return demand < UNCONTENDED_FRACTION * this.computeSharedRate(bucket);
    }

    /** Returns the units that all VMs together may use in a window. */
    private computeUsageBound(bucket: Bucket): number {
        const { ratePerS, burst } = bucket.quota;
        const { windowMs, overrun } = this.options.getTolerance();
        return ratePerS * windowMs / MS_PER_SECOND + burst * (1 + overrun) + this.computeTolerance(bucket);
    }

    /** Estimates the units used in the window; a VM without a fresh report may have used an equal part of the bound. */
    private estimateUsage(bucket: Bucket): number {
        return bucket.usage.estimateTotal(
            this.options.getTolerance().windowMs,
            this.countVms(),
            this.computeEqualPart(bucket),
        );
    }

    private computeEqualPart(bucket: Bucket): number {
        return KNOWN_USAGE_FRACTION * this.computeUsageBound(bucket) / this.countVms();
    }

    /**
     * Returns the highest usage known to this VM or to a peer with a fresh report: a restarted VM has lost its own
     * counts.
     */
    private computeKnownUsage(bucket: Bucket): number {
        return Math.max(
            this.estimateUsage(bucket),
            ...bucket.usage.listFreshReports().map(({ knownUnits }) => knownUnits),
        );
    }

    /**
     * Returns the units by which a workspace may exceed its rate in a window, over all VMs. The overrun of the burst
     * comes on top.
     */
    private computeTolerance({ quota }: Bucket): number {
        const { slack, overrun, windowMs } = this.options.getTolerance();
        return slack + overrun * quota.ratePerS * windowMs / MS_PER_SECOND;
    }

    /** Returns the units by which this VM's bucket may be overdrawn. */
    private computeOverdraft(bucket: Bucket): number {
        return OVERDRAFT_TOLERANCE_FRACTION * this.computeTolerance(bucket) / this.countVms();
    }

    /**
     * Returns the rate that all VMs share: the quota's rate plus the part of the tolerance that is spread over a
     * window.
     */
    private computeSharedRate(bucket: Bucket): number {
        const spread = RATE_TOLERANCE_FRACTION * this.computeTolerance(bucket)
            / this.options.getTolerance().windowMs
            * MS_PER_SECOND;
        return bucket.quota.ratePerS + spread;
    }

    /**
     * Returns the part of its equal share that this VM keeps: no more than it needs, and its share by demand under
     * contention.
     */
    private computeKeptRate(bucket: Bucket): number {
        const equal = this.computeEqualShare(bucket);
        const minKept = MIN_KEPT_FRACTION * equal;
        return Math.min(
            equal,
            Math.max(
                minKept,
                Math.min(KEPT_DEMAND_FACTOR * bucket.demandPerSecond, this.computeDemandShare(bucket)),
            ),
        );
    }

    /**
     * Returns this VM's part of the shared rate by demand; VMs without a fresh report count with their equal shares.
     */
    private computeDemandShare(bucket: Bucket): number {
        const fresh = bucket.usage.listFreshReports();
        const unreported = Math.max(0, this.countVms() - 1 - fresh.length);
        const shared = this.computeSharedRate(bucket) - unreported * this.computeEqualShare(bucket);
        const demand = fresh.reduce((sum, { demandPerS }) => sum + demandPerS, bucket.demandPerSecond);
        return demand === 0 ? shared : shared * bucket.demandPerSecond / demand;
    }

    /** Returns the rate that this VM may use now: what it keeps plus its part of what other VMs lend. */
    private computeRate(bucket: Bucket): number {
        const equal = this.computeEqualShare(bucket);
        const kept = this.computeKeptRate(bucket);
        if (kept < equal) {
            return kept;
        }
        const fresh = bucket.usage.listFreshReports();
        const lentRate = fresh.reduce((sum, { keptPerS }) => sum + Math.max(0, equal - keptPerS), 0);
        const peerExcess = fresh.reduce(
            (sum, { demandPerS }) => sum + Math.max(0, KEPT_DEMAND_FACTOR * demandPerS - equal),
            0,
        );
        const ownExcess = Math.max(0, KEPT_DEMAND_FACTOR * bucket.demandPerSecond - equal);
        return equal + (ownExcess === 0 ? 0 : lentRate * ownExcess / (ownExcess + peerExcess));
    }

    private recordDemand(bucket: Bucket, units: number): void {
        this.decayDemand(bucket);
        bucket.demandPerSecond += units / DEMAND_TIME_CONSTANT_MS * MS_PER_SECOND;
    }

    private decayDemand(bucket: Bucket): void {
        const now = this.options.timers.now();
        bucket.demandPerSecond *= Math.exp(-(now - bucket.demandAt) / DEMAND_TIME_CONSTANT_MS);
        bucket.demandAt = now;
    }
}
