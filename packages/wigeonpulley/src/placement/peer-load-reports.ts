/** Keeps the load reports of the other VMs until they are too old to mean anything. */
import { create } from "@bufbuild/protobuf";
import { type CarriedReport, CarriedReportSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { TimerService } from "../time/index.js";
import { parseQueueName } from "./allowed-regions.js";
import type { ReportedPace } from "./learned-concurrency.js";
import { decodePace } from "./pace-reports.js";
import { PeerLoads } from "./peer-loads.js";
import { decodeLoadReport, type LoadReportContent } from "./report-decoder.js";
import { isNewerReport, readReportHeader, type ReportHeader } from "./report-header.js";
import { decodeUse, type WorkspaceUse } from "./workspace-use.js";

/** Age at which a report expires, in milliseconds; several report intervals. */
const MAX_AGE_MS = 2_500;
/** Age up to which a report is forwarded, in milliseconds. */
const MAX_FORWARD_AGE_MS = 1_000;
/** Maximum number of reports forwarded with one call; bounds its size. */
const MAX_FORWARDED_REPORTS = 16;

interface ReceivedReport {
    readonly report: LoadReportContent;
    readonly encoded: Uint8Array;
    /** Monotonic time at which the report was made, in milliseconds. */
    readonly madeAt: number;
    readonly loadByInstance: ReadonlyMap<string, InstanceLoad>;
    readonly paces: readonly ReportedPace[];
}

interface InstanceLoad {
    readonly inFlight: number;
    readonly pendingTokens: number;
    /** Event gap that the VM observed, in milliseconds; 0 when it observed none. In totals the longest of all VMs. */
    readonly gapMs: number;
}

const NO_LOAD: InstanceLoad = { inFlight: 0, pendingTokens: 0, gapMs: 0 };
const NO_USE: WorkspaceUse = { perWeight: 0, waiting: 0 };
const NO_WAITING: ReadonlyMap<number, number> = new Map();
const NO_USES: ReadonlyMap<number, WorkspaceUse> = new Map();

/** Sums over reports. */
interface ReportTotals {
    /** Monotonic time at which the first of the reports expires, in milliseconds. */
    readonly validUntil: number;
    /** Mean of the monotonic times at which the reports were made, in milliseconds; undefined without reports. */
    readonly meanMadeAt: number | undefined;
    readonly byInstance: ReadonlyMap<string, InstanceLoad>;
    readonly pacesByInstance: ReadonlyMap<string, readonly ReportedPace[]>;
    /** Number of waiting requests by service, then by rank. */
    readonly waiting: ReadonlyMap<string, ReadonlyMap<number, number>>;
    /** True when some of the queues are bound to regions. */
    readonly hasBoundQueues: boolean;
    /** Uses by service, by rank, then by the hash of the workspace's name. */
    readonly workspaceUses: ReadonlyMap<string, ReadonlyMap<number, ReadonlyMap<number, WorkspaceUse>>>;
}

/** Holds the newest report of each other VM. */
export class PeerLoadReports extends PeerLoads {
    private readonly received = new Map<string, ReceivedReport>();
    /** Sums over all unexpired reports; computed again when a report arrives or expires. */
    private totals: ReportTotals | undefined;

    private constructor(private readonly ownVm: string, private readonly timers: TimerService) {
        super();
    }

    /** Creates a view without reports. */
    static create(ownVm: string, timers: TimerService): PeerLoadReports {
        return new PeerLoadReports(ownVm, timers);
    }

    /** Stores a report and returns it; undefined when it is this VM's own or not newer than the known one. */
    applyReport(carried: CarriedReport): LoadReportContent | undefined {
        // Most reports come several times, from several VMs.
        if (!this.isNews(readReportHeader(carried.report))) {
            return undefined;
        }
        const report = decodeLoadReport(carried.report);
        if (!this.isNews(report)) {
            return undefined;
        }
        this.totals = undefined;
        this.received.set(report.vm, {
            report,
            encoded: carried.report,
            madeAt: this.timers.now() - carried.ageMs,
            loadByInstance: new Map(
                report.instances.map((instance, index) => [instance, {
                    inFlight: report.inFlight[index] ?? 0,
                    pendingTokens: report.pendingTokens[index] ?? 0,
                    gapMs: report.instanceGapMs[index] ?? 0,
                }]),
            ),
            paces: report.paces.map(decodePace),
        });
        return report;
    }

    /** Reports of other VMs that are worth forwarding to a VM which holds others, newest first. */
    listToForward(held: readonly CarriedReport[] = []): readonly CarriedReport[] {
        const now = this.timers.now();
        const heldByVm = new Map(held.map(({ report }) => {
            const header = readReportHeader(report);
            return [header.vm, header];
        }));
        return [...this.received.values()]
            .filter(({ report, madeAt }) => {
                const other = heldByVm.get(report.vm);
                return now - madeAt <= MAX_FORWARD_AGE_MS
                    && (other === undefined || isNewerReport(report, other));
            })
            .sort((left, right) => right.madeAt - left.madeAt)
            .slice(0, MAX_FORWARDED_REPORTS)
            .map(({ encoded, madeAt }) =>
                create(CarriedReportSchema, { report: encoded, ageMs: Math.max(0, Math.round(now - madeAt)) })
            );
    }

    /** Returns what other VMs report of the pace of an instance. */
    listPaces(instance: string): readonly ReportedPace[] {
        return this.getTotals().pacesByInstance.get(instance) ?? [];
    }

    override countInFlight(instance: string): number {
        return this.getTotals().byInstance.get(instance)?.inFlight ?? 0;
    }

    override countPendingPromptTokens(instance: string): number {
        return this.getTotals().byInstance.get(instance)?.pendingTokens ?? 0;
    }

    override getEventGapMs(instance: string): number | undefined {
        const gapMs = this.getTotals().byInstance.get(instance)?.gapMs ?? 0;
        return gapMs === 0 ? undefined : gapMs;
    }

    override countWaiting(service: string, rank: number): number {
        let count = 0;
        for (const [other, waiting] of this.listWaiting(service)) {
            count += other <= rank ? waiting : 0;
        }
        return count;
    }

    override countWaitingInRegion(service: string, rank: number, region: string): number {
        let count = 0;
        const { waiting: waitingByQueue, hasBoundQueues } = this.getTotals();
        if (!hasBoundQueues) {
            return 0;
        }
        for (const [name, byRank] of waitingByQueue) {
            const queue = parseQueueName(name);
            if (queue.service === service && queue.allowedRegions.includes(region)) {
                byRank.forEach((waiting, other) => {
                    count += other <= rank ? waiting : 0;
                });
            }
        }
        return count;
    }

    override listWaiting(service: string): ReadonlyMap<number, number> {
        return this.getTotals().waiting.get(service) ?? NO_WAITING;
    }

    override getReportAgeMs(): number {
        const now = this.timers.now();
        return now - (this.getTotals().meanMadeAt ?? now);
    }

    override listWorkspaceUses(service: string, rank: number): ReadonlyMap<number, WorkspaceUse> {
        return this.getTotals().workspaceUses.get(service)?.get(rank) ?? NO_USES;
    }

    private isNews(header: ReportHeader): boolean {
        const known = this.received.get(header.vm)?.report;
        return header.vm !== this.ownVm && (known === undefined || isNewerReport(header, known));
    }

    private getTotals(): ReportTotals {
        if (this.totals === undefined || this.timers.now() >= this.totals.validUntil) {
            const reports = this.listUnexpired();
            const waiting = sumWaiting(reports);
            const oldestMadeAt = Math.min(...reports.map(({ madeAt }) => madeAt));
            this.totals = {
                validUntil: oldestMadeAt + MAX_AGE_MS,
                meanMadeAt: reports.length === 0
                    ? undefined
                    : reports.reduce((sum, { madeAt }) => sum + madeAt, 0) / reports.length,
                byInstance: sumInstanceLoads(reports),
                pacesByInstance: groupPaces(reports),
                waiting,
                hasBoundQueues: [...waiting.keys()].some(name =>
                    parseQueueName(name).allowedRegions.length > 0
                ),
                workspaceUses: sumWorkspaceUses(reports),
            };
        }
        return this.totals;
    }

    private listUnexpired(): readonly ReceivedReport[] {
        const oldestMadeAt = this.timers.now() - MAX_AGE_MS;
        for (const [vm, { madeAt }] of this.received) {
            if (madeAt < oldestMadeAt) {
                this.received.delete(vm);
            }
        }
        return [...this.received.values()];
    }
}

const sumInstanceLoads = (reports: readonly ReceivedReport[]): ReadonlyMap<string, InstanceLoad> => {
    const byInstance = new Map<string, InstanceLoad>();
    for (const { loadByInstance } of reports) {
        for (const [instance, load] of loadByInstance) {
            const total = byInstance.get(instance) ?? NO_LOAD;
            byInstance.set(instance, {
                inFlight: total.inFlight + load.inFlight,
                pendingTokens: total.pendingTokens + load.pendingTokens,
                gapMs: Math.max(total.gapMs, load.gapMs),
            });
        }
    }
    return byInstance;
};

const groupPaces = (reports: readonly ReceivedReport[]): ReportTotals["pacesByInstance"] => {
    const byInstance = new Map<string, ReportedPace[]>();
    for (const pace of reports.flatMap(({ paces }) => paces)) {
        const known = byInstance.get(pace.instance) ?? [];
        known.push(pace);
        byInstance.set(pace.instance, known);
    }
    return byInstance;
};

const sumWaiting = (reports: readonly ReceivedReport[]): ReportTotals["waiting"] => {
    const byService = new Map<string, Map<number, number>>();
    for (const { report } of reports) {
        report.queueServices.forEach((service, index) => {
            const byRank = byService.get(service) ?? new Map<number, number>();
            const rank = report.queueRanks[index] ?? 0;
            byRank.set(rank, (byRank.get(rank) ?? 0) + (report.queueWaiting[index] ?? 0));
            byService.set(service, byRank);
        });
    }
    return byService;
};

const sumWorkspaceUses = (reports: readonly ReceivedReport[]): ReportTotals["workspaceUses"] => {
    const byService = new Map<string, Map<number, Map<number, WorkspaceUse>>>();
    for (
        const { service, rank, workspaces, dispatched, waiting } of reports.flatMap(({ report }) =>
            report.workspaceShares
        )
    ) {
        const byRank = byService.get(service) ?? new Map<number, Map<number, WorkspaceUse>>();
        const uses = byRank.get(rank) ?? new Map<number, WorkspaceUse>();
        workspaces.forEach((workspace, index) => {
            const total = uses.get(workspace) ?? NO_USE;
            uses.set(workspace, {
                perWeight: total.perWeight + decodeUse(dispatched[index] ?? 0),
                waiting: total.waiting + (waiting[index] ?? 0),
            });
        });
        byRank.set(rank, uses);
        byService.set(service, byRank);
    }
    return byService;
};
