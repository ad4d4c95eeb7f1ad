/** Creates this VM's load reports for the gossip, and applies those of the other VMs. */
import { create, toBinary } from "@bufbuild/protobuf";
import type { InstanceDirectory } from "../discovery/index.js";
import {
    type CarriedReport,
    CarriedReportSchema,
    type LoadReport,
    LoadReportSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { ReportGossip } from "../membership/index.js";
import {
    encodePace,
    encodeUse,
    formatQueueName,
    type LearnedConcurrency,
    type LoadReportContent,
    type PeerLoadReports,
    type PlacementService,
} from "../placement/index.js";
import type { SharedQuotaLimiter, WorkspaceUsage } from "../quotas/index.js";
import { type RolloutProgress, type RolloutService, rolloutStateSchema } from "../rollouts/index.js";
import type { TimerService } from "../time/index.js";

/** Time for which a report of this VM is sent again, in milliseconds; shorter than the fastest rounds of gossip are apart. */
const OWN_REPORT_LIFETIME_MS = 100;

/** Sources of this VM's report, and the parts that the other VMs' reports are applied to. */
export interface ReportServiceOptions {
    readonly timers: TimerService;
    readonly self: string;
    readonly directory: InstanceDirectory;
    readonly placement: PlacementService;
    readonly quotaLimiter: SharedQuotaLimiter;
    readonly rollouts: RolloutService;
    readonly reports: PeerLoadReports;
    /** Source of the pace of instances; without it, none is reported. */
    readonly learnedConcurrency?: LearnedConcurrency;
}

/** Creates and applies the reports of one VM. */
export class ReportService extends ReportGossip {
    private sequence = 0;
    private own: { readonly encoded: Uint8Array; readonly madeAt: number; } | undefined;

    private constructor(private readonly options: ReportServiceOptions) {
        super();
    }

    /** Creates the service. */
    static create(options: ReportServiceOptions): ReportService {
        return new ReportService(options);
    }

    override createReports(
        incarnation: bigint,
        received: readonly CarriedReport[],
    ): readonly CarriedReport[] {
        const now = this.options.timers.now();
        if (this.own === undefined || now - this.own.madeAt >= OWN_REPORT_LIFETIME_MS) {
            this.sequence += 1;
            this.own = {
                encoded: toBinary(LoadReportSchema, this.createOwnReport(incarnation)),
                madeAt: now,
            };
        }
        const { encoded, madeAt } = this.own;
        return [
            create(CarriedReportSchema, { report: encoded, ageMs: Math.round(now - madeAt) }),
            ...this.options.reports.listToForward(received),
        ];
    }

    override applyReports(received: readonly CarriedReport[]): void {
        const { reports, quotaLimiter, placement, rollouts } = this.options;
        const fresh = received.flatMap(carried => reports.applyReport(carried) ?? []);
        fresh.forEach(report =>
            quotaLimiter.applyPeerUsage(report.vm, report.incarnation, listQuotaUsage(report))
        );
        fresh.forEach(report => rollouts.applyReports(report.vm, report.rollouts.flatMap(parseRollout)));
        if (fresh.length > 0) {
            placement.dispatchAllQueues();
        }
    }

    private createOwnReport(incarnation: bigint): LoadReport {
        const { self, directory, placement, quotaLimiter, rollouts } = this.options;
        const busy = directory.list().filter(({ id }) => placement.countInFlight(id) > 0);
        const queues = placement.listQueueLengths();
        const usage = quotaLimiter.listUsage();
        return create(LoadReportSchema, {
            vm: self,
            incarnation,
            sequence: this.sequence,
            instances: busy.map(({ id }) => id),
            inFlight: busy.map(({ id }) => placement.countInFlight(id)),
            pendingTokens: busy.map(({ id }) => Math.round(placement.countPendingPromptTokens(id))),
            instanceGapMs: busy.map(instance => placement.getEventGapMs(instance)),
            queueServices: queues.map(({ service, allowedRegions }) =>
                formatQueueName(service, allowedRegions)
            ),
            queueRanks: queues.map(({ rank }) => rank),
            queueWaiting: queues.map(({ count }) => count),
            workspaces: usage.map(({ workspace }) => workspace),
            workspaceKeptPerS: usage.map(({ keptPerS }) => Math.round(keptPerS)),
            workspaceDemandPerS: usage.map(({ demandPerS }) => Math.round(demandPerS)),
            workspaceUsedUnits: usage.map(({ usedUnits }) => Math.max(0, Math.round(usedUnits))),
            workspaceKnownUnits: usage.map(({ knownUnits }) => Math.max(0, Math.round(knownUnits))),
            rollouts: rollouts.listReports().map(({ evidence, ...report }) => ({
                ...report,
                routes: evidence.map(({ route }) => route),
                good: evidence.map(({ good }) => good),
                bad: evidence.map(({ bad }) => bad),
            })),
            workspaceShares: placement.listWorkspaceUses().map(({ service, rank, uses }) => ({
                service,
                rank,
                workspaces: [...uses.keys()],
                dispatched: [...uses.values()].map(({ perWeight }) => encodeUse(perWeight)),
                waiting: [...uses.values()].map(({ waiting }) => waiting),
            })),
            paces: (this.options.learnedConcurrency?.listReports() ?? []).map(encodePace),
        });
    }
}

const listQuotaUsage = (report: LoadReportContent): readonly WorkspaceUsage[] =>
    report.workspaces.map((workspace, index) => ({
        workspace,
        keptPerS: report.workspaceKeptPerS[index] ?? 0,
        demandPerS: report.workspaceDemandPerS[index] ?? 0,
        usedUnits: report.workspaceUsedUnits[index] ?? 0,
        knownUnits: report.workspaceKnownUnits[index] ?? 0,
    }));

/** Parses a rollout report. Returns an empty list if this version of the program doesn't know the state. */
const parseRollout = (report: LoadReportContent["rollouts"][number]): readonly RolloutProgress[] => {
    const state = rolloutStateSchema.safeParse(report.state);
    return state.success
        ? [{
            service: report.service,
            version: report.version,
            state: state.data,
            isBad: report.isBad,
            elapsedMs: report.elapsedMs,
            evidence: report.routes.map((route, index) => ({
                route,
                good: report.good[index] ?? 0,
                bad: report.bad[index] ?? 0,
            })),
        }]
        : [];
};
