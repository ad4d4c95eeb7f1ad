/** Makes this VM's reports for the others, and takes theirs over. */
import { create } from "@bufbuild/protobuf";
import type { InstanceDirectory } from "../discovery/index.js";
import { type LoadReport, LoadReportSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { ReportExchange } from "../membership/index.js";
import type { LoadReports, PlacementService } from "../placement/index.js";
import type { QuotaLedger } from "../quotas/index.js";

/** The parts that are reported on. */
export interface ReportServiceOptions {
    readonly self: string;
    readonly directory: InstanceDirectory;
    readonly placement: PlacementService;
    readonly quotas: QuotaLedger;
    readonly reports: LoadReports;
}

/** Reports of one VM. */
export class ReportService extends ReportExchange {
    private sequence = 0;

    private constructor(private readonly options: ReportServiceOptions) {
        super();
    }

    /** Creates the service. */
    static create(options: ReportServiceOptions): ReportService {
        return new ReportService(options);
    }

    override createReports(incarnation: bigint): readonly LoadReport[] {
        const { self, directory, placement, quotas, reports } = this.options;
        this.sequence += 1;
        const own = create(LoadReportSchema, {
            vm: self,
            incarnation,
            sequence: this.sequence,
            instances: directory.list().flatMap(({ id }) => {
                const inFlight = placement.countInFlight(id);
                const pendingTokens = Math.round(placement.countPendingTokens(id));
                return inFlight > 0 ? [{ instance: id, inFlight, pendingTokens }] : [];
            }),
            queues: placement.listWaiting().map(({ service, rank, count }) => ({ service, rank, waiting: count })),
            quotas: quotas.listUse().map(({ workspace, taken, demandPerS }) => ({
                workspace,
                taken: BigInt(Math.max(0, Math.round(taken))),
                demandPerS: Math.round(demandPerS),
            })),
        });
        return [own, ...reports.listToPassOn()];
    }

    override applyReports(received: readonly LoadReport[]): void {
        const { reports, quotas, placement } = this.options;
        let isNew = false;
        for (const report of received) {
            if (reports.apply(report)) {
                isNew = true;
                quotas.applyUse(
                    report.vm,
                    report.incarnation,
                    report.quotas.map(({ workspace, taken, demandPerS }) => ({
                        workspace,
                        taken: Number(taken),
                        demandPerS,
                    })),
                );
            }
        }
        if (isNew) {
            placement.pumpAll();
        }
    }
}
