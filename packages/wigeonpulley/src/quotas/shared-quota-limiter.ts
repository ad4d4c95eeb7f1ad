/**
 * Quotas of workspaces over all VMs. Each VM has an equal share of a quota's rate. A VM that needs less tells the others
 * how much it keeps, and those that need more divide the rest by their demand, for as long as what they were told is
 * fresh. So the sum stays within the quota while VMs are cut off, frozen or started anew: a share that is not confirmed
 * falls back to the VM that it belongs to. A share is a token bucket, so that a VM that forgets what it used does little
 * harm. Besides, nothing is admitted beyond the bound by what this VM knows of the use of all VMs in the window.
 */
import { QuotaLimiter, type QuotaState } from "../forwarding/index.js";
import type { Quota } from "../routing/index.js";
import type { TimerService } from "../time/index.js";
import { UsageTracker, type WorkspaceUsage } from "./usage-tracker.js";

/** What the ledger is built from. */
export interface SharedQuotaLimiterOptions {
    readonly timers: TimerService;
    /** VMs that may use quotas, this one included. */
    readonly countVms: () => number;
    /** By how much a workspace may exceed its quota in a window, over all VMs: units, a share, and the window. */
    readonly getTolerance: () => {
        readonly slack: number;
        readonly overrun: number;
        readonly windowMs: number;
    };
}

/** Time constant of the demand, in milliseconds. */
const DEMAND_WINDOW_MS = 2_000;
/** Demand is known only roughly, so a VM keeps this much more than it needs. */
const KEEP_FACTOR = 1.5;
/** Part of its equal share that a VM keeps without any demand, so that a first request is not refused. */
const KEEP_LEAST = 0.25;
/** Part of the tolerance that is spread over the window and so raises the rate that all VMs divide. */
const RATE_SHARE = 0.8;
/**
 * Part of the tolerance that all buckets together may be overdrawn by. Requests are large against a VM's share, and one
 * that is let through is paid back; what remains of the tolerance covers what VMs do not know of each other.
 */
const OVERDRAFT_SHARE = 0.15;
/** Part of the bound up to which known use is admitted; the rest covers what VMs admit between two reports. */
const KNOWN_SHARE = 0.9;
/** Part of the divided rate up to which the demand of all VMs refuses nobody. */
const UNCONTENDED_SHARE = 0.8;
const MS_PER_S = 1_000;

interface Account {
    quota: Quota;
    level: number;
    filledAt: number;
    demandPerS: number;
    demandAt: number;
    readonly use: UsageTracker;
}

/** Ledger of one VM. */
export class SharedQuotaLimiter extends QuotaLimiter {
    private readonly accounts = new Map<string, Account>();

    private constructor(private readonly options: SharedQuotaLimiterOptions) {
        super();
    }

    /** Creates a ledger without use. */
    static create(options: SharedQuotaLimiterOptions): SharedQuotaLimiter {
        return new SharedQuotaLimiter(options);
    }

    override tryConsume(workspace: string, quota: Quota, units: number): boolean {
        const account = this.findAccount(workspace, quota);
        this.noteDemand(account, units);
        this.fill(account);
        const isWithinShare = account.level + this.computeOverdraft(account) > 0
            || this.isUncontended(account);
        if (!isWithinShare || this.computeKnown(account) + units > KNOWN_SHARE * this.computeBound(account)) {
            return false;
        }
        account.level -= units;
        account.use.add(units);
        return true;
    }

    override refund(workspace: string, units: number): void {
        const account = this.accounts.get(workspace);
        if (account !== undefined) {
            account.level += units;
            account.use.add(-units);
        }
    }

    override getState(workspace: string): QuotaState {
        const account = this.accounts.get(workspace);
        return account === undefined
            ? { level: 0, ratePerS: 0, knownUnits: 0, boundUnits: 0 }
            : {
                level: Math.round(account.level),
                ratePerS: Math.round(this.computeRate(account)),
                knownUnits: Math.round(this.computeKnown(account)),
                boundUnits: Math.round(this.computeBound(account)),
            };
    }

    override estimateWaitMs(workspace: string, quota: Quota, units: number): number {
        const account = this.findAccount(workspace, quota);
        // The caller's next try reaches another VM, so the whole deficit of this VM's bucket says little.
        const missing = Math.min(units, Math.max(0, -account.level));
        return missing / this.computeRate(account) * MS_PER_S;
    }

    /** What this VM tells the others. */
    listUsage(): readonly WorkspaceUsage[] {
        return [...this.accounts].map(([workspace, account]) => {
            this.decayDemand(account);
            return {
                workspace,
                keptPerS: this.computeKept(account),
                demandPerS: account.demandPerS,
                usedUnits: account.use.sumLocal(this.options.getTolerance().windowMs),
                knownUnits: this.computeSeen(account),
            };
        });
    }

    /** Takes another VM's report over; a workspace that it does not name is one that it has not used. */
    applyPeerUsage(vm: string, incarnation: bigint, uses: readonly WorkspaceUsage[]): void {
        const { windowMs } = this.options.getTolerance();
        const useByWorkspace = new Map(uses.map(use => [use.workspace, use]));
        for (const [workspace, account] of this.accounts) {
            const unused = {
                workspace,
                keptPerS: KEEP_LEAST * this.computeEqualRate(account),
                demandPerS: 0,
                usedUnits: 0,
                knownUnits: 0,
            };
            account.use.applyPeerReport(vm, incarnation, useByWorkspace.get(workspace) ?? unused, windowMs);
        }
    }

    private findAccount(workspace: string, quota: Quota): Account {
        const known = this.accounts.get(workspace);
        if (known !== undefined) {
            known.quota = quota;
            return known;
        }
        const now = this.options.timers.now();
        const account: Account = {
            quota,
            level: quota.burst / this.countVms(),
            filledAt: now,
            demandPerS: 0,
            demandAt: now,
            use: UsageTracker.create(this.options.timers),
        };
        this.accounts.set(workspace, account);
        return account;
    }

    private fill(account: Account): void {
        const now = this.options.timers.now();
        const rate = this.computeRate(account);
        const filled = account.level + rate * (now - account.filledAt) / MS_PER_S;
        account.level = Math.min(this.computeBurst(account), filled);
        account.filledAt = now;
    }

    private countVms(): number {
        return Math.max(1, this.options.countVms());
    }

    private computeEqualRate(account: Account): number {
        return this.computeDividedRate(account) / this.countVms();
    }

    /** The part of the burst that goes with this VM's part of the rate. */
    private computeBurst(account: Account): number {
        return account.quota.burst * this.computeRate(account) / this.computeDividedRate(account);
    }

    /** True while all VMs together ask for so little that a bucket's ups and downs need refuse nobody. */
    private isUncontended(account: Account): boolean {
        const fresh = account.use.listFreshReports();
        const unheard = Math.max(0, this.countVms() - 1 - fresh.length) * this.computeEqualRate(account);
        const demand = fresh.reduce((sum, { demandPerS }) => sum + demandPerS, account.demandPerS + unheard);
        return demand < UNCONTENDED_SHARE * this.computeDividedRate(account);
    }

    /** Units that all VMs together may use in a window. */
    private computeBound(account: Account): number {
        const { ratePerS, burst } = account.quota;
        const { windowMs, overrun } = this.options.getTolerance();
        return ratePerS * windowMs / MS_PER_S + burst * (1 + overrun) + this.computeTolerance(account);
    }

    /** Units used in the window as far as this VM knows; a VM that is not heard may use an equal part of the bound. */
    private computeSeen(account: Account): number {
        const part = KNOWN_SHARE * this.computeBound(account) / this.countVms();
        return account.use.estimateTotal(this.options.getTolerance().windowMs, this.countVms(), part);
    }

    /** The most that this VM or one that it hears knows of: a VM that started anew has forgotten its own use. */
    private computeKnown(account: Account): number {
        return Math.max(
            this.computeSeen(account),
            ...account.use.listFreshReports().map(({ knownUnits }) => knownUnits),
        );
    }

    /** Units by which a workspace may exceed its quota in a window, over all VMs. */
    private computeTolerance({ quota }: Account): number {
        const { slack, overrun, windowMs } = this.options.getTolerance();
        return slack + overrun * quota.ratePerS * windowMs / MS_PER_S;
    }

    /** Units by which this VM's bucket may be overdrawn. */
    private computeOverdraft(account: Account): number {
        return OVERDRAFT_SHARE * this.computeTolerance(account) / this.countVms();
    }

    /** The rate that all VMs divide: the quota's, and the part of the tolerance that goes with a window. */
    private computeDividedRate(account: Account): number {
        const spread = RATE_SHARE * this.computeTolerance(account) / this.options.getTolerance().windowMs
            * MS_PER_S;
        return account.quota.ratePerS + spread;
    }

    /** What this VM keeps of its own equal share: at most what it needs, and its part by demand while VMs compete. */
    private computeKept(account: Account): number {
        const equal = this.computeEqualRate(account);
        const least = KEEP_LEAST * equal;
        return Math.min(
            equal,
            Math.max(least, Math.min(KEEP_FACTOR * account.demandPerS, this.computePart(account))),
        );
    }

    /** This VM's part of the divided rate by its demand; VMs that are not heard count with their equal rates. */
    private computePart(account: Account): number {
        const fresh = account.use.listFreshReports();
        const unheard = Math.max(0, this.countVms() - 1 - fresh.length);
        const shared = this.computeDividedRate(account) - unheard * this.computeEqualRate(account);
        const demand = fresh.reduce((sum, { demandPerS }) => sum + demandPerS, account.demandPerS);
        return demand === 0 ? shared : shared * account.demandPerS / demand;
    }

    /** The rate that this VM may use now: what it keeps, and its part of what the others lend. */
    private computeRate(account: Account): number {
        const equal = this.computeEqualRate(account);
        const kept = this.computeKept(account);
        if (kept < equal) {
            return kept;
        }
        const fresh = account.use.listFreshReports();
        const lent = fresh.reduce((sum, { keptPerS }) => sum + Math.max(0, equal - keptPerS), 0);
        const wanted = fresh.reduce(
            (sum, { demandPerS }) => sum + Math.max(0, KEEP_FACTOR * demandPerS - equal),
            0,
        );
        const own = Math.max(0, KEEP_FACTOR * account.demandPerS - equal);
        return equal + (own === 0 ? 0 : lent * own / (own + wanted));
    }

    private noteDemand(account: Account, units: number): void {
        this.decayDemand(account);
        account.demandPerS += units / DEMAND_WINDOW_MS * MS_PER_S;
    }

    private decayDemand(account: Account): void {
        const now = this.options.timers.now();
        account.demandPerS *= Math.exp(-(now - account.demandAt) / DEMAND_WINDOW_MS);
        account.demandAt = now;
    }
}
