/** Keeps the load reports of the other VMs until they are too old to mean anything. */
import { create, fromBinary } from "@bufbuild/protobuf";
import {
    type CarriedReport,
    CarriedReportSchema,
    type LoadReport,
    LoadReportSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { TimerService } from "../time/index.js";
import { parseQueueName } from "./allowed-regions.js";
import type { ReportedPace } from "./learned-concurrency.js";
import { decodePace } from "./pace-reports.js";
import { PeerLoads } from "./peer-loads.js";

/** Age at which a report expires, in milliseconds; several report intervals. */
const MAX_AGE_MS = 2_500;
/** Age up to which a report is forwarded, in milliseconds. */
const MAX_FORWARD_AGE_MS = 1_000;
/** Maximum number of reports forwarded with one call; bounds its size. */
const MAX_FORWARDED_REPORTS = 16;

interface ReceivedReport {
    readonly report: LoadReport;
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

interface Totals {
    readonly validUntil: number;
    readonly byInstance: ReadonlyMap<string, InstanceLoad>;
    readonly pacesByInstance: ReadonlyMap<string, readonly ReportedPace[]>;
}

const NO_LOAD: InstanceLoad = { inFlight: 0, pendingTokens: 0, gapMs: 0 };

/** Holds the newest report of each other VM. */
export class PeerLoadReports extends PeerLoads {
    private readonly received = new Map<string, ReceivedReport>();
    /** Sums over all unexpired reports; computed again when a report arrives or expires. */
    private totals:
        | Totals
        | undefined;

    private constructor(private readonly ownVm: string, private readonly timers: TimerService) {
        super();
    }

    /** Creates a view without reports. */
    static create(ownVm: string, timers: TimerService): PeerLoadReports {
        return new PeerLoadReports(ownVm, timers);
    }

    /** Stores a report and returns it; undefined when it is this VM's own or not newer than the known one. */
    applyReport(carried: CarriedReport): LoadReport | undefined {
        const report = fromBinary(LoadReportSchema, carried.report);
        const known = this.received.get(report.vm)?.report;
        const isOutdated = known !== undefined && (known.incarnation > report.incarnation
            || (known.incarnation === report.incarnation && known.sequence >= report.sequence));
        if (report.vm === this.ownVm || isOutdated) {
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

    /** Reports of other VMs that are worth forwarding, newest first. */
    listToForward(): readonly CarriedReport[] {
        const now = this.timers.now();
        return [...this.received.values()]
            .filter(({ madeAt }) => now - madeAt <= MAX_FORWARD_AGE_MS)
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
        return this.sumQueues(rank, name => name === service);
    }

    override countWaitingInRegion(service: string, rank: number, region: string): number {
        return this.sumQueues(rank, name => {
            const queue = parseQueueName(name);
            return queue.service === service && queue.allowedRegions.includes(region);
        });
    }

    /** Number of waiting requests up to a rank in the queues with matching names. */
    private sumQueues(rank: number, isMatch: (queueName: string) => boolean): number {
        return this.sumReports(({ report }) =>
            report.queueServices.reduce(
                (count, name, index) =>
                    count + ((report.queueRanks[index] ?? 0) <= rank && isMatch(name)
                        ? report.queueWaiting[index] ?? 0
                        : 0),
                0,
            )
        );
    }

    private getTotals(): Totals {
        const now = this.timers.now();
        if (this.totals === undefined || now >= this.totals.validUntil) {
            const byInstance = new Map<string, InstanceLoad>();
            const pacesByInstance = new Map<string, ReportedPace[]>();
            for (const { loadByInstance, paces } of this.listUnexpired()) {
                for (const [instance, load] of loadByInstance) {
                    const total = byInstance.get(instance) ?? NO_LOAD;
                    byInstance.set(instance, {
                        inFlight: total.inFlight + load.inFlight,
                        pendingTokens: total.pendingTokens + load.pendingTokens,
                        gapMs: Math.max(total.gapMs, load.gapMs),
                    });
                }
                for (const pace of paces) {
                    const known = pacesByInstance.get(pace.instance) ?? [];
                    known.push(pace);
                    pacesByInstance.set(pace.instance, known);
                }
            }
            const oldestMadeAt = Math.min(...[...this.received.values()].map(({ madeAt }) => madeAt));
            this.totals = { validUntil: oldestMadeAt + MAX_AGE_MS, byInstance, pacesByInstance };
        }
        return this.totals;
    }

    private sumReports(count: (received: ReceivedReport) => number): number {
        return this.listUnexpired().reduce((total, received) => total + count(received), 0);
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
