/** Passes evidence about prompt blocks between this VM and the others. */
import { create } from "@bufbuild/protobuf";
import { type PromptBlockReport, PromptBlockReportSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { PromptBlockGossip } from "../membership/index.js";
import type { BlockReport, PromptQuarantine } from "../quarantine/index.js";

/** Evidence of one VM. */
export class GossipedQuarantine extends PromptBlockGossip {
    private constructor(private readonly quarantine: PromptQuarantine) {
        super();
    }

    /** Creates the gossip of a quarantine. */
    static create(quarantine: PromptQuarantine): GossipedQuarantine {
        return new GossipedQuarantine(quarantine);
    }

    override createReports(): readonly PromptBlockReport[] {
        return this.quarantine.listReports().map(({ block, losses, answeredAgeMs, quarantinedMs }) =>
            create(PromptBlockReportSchema, {
                block,
                instances: losses.map(({ instance }) => instance),
                lossAgesMs: losses.map(({ ageMs }) => encodeAge(ageMs)),
                answeredAgeMs: encodeOptionalAge(answeredAgeMs),
                quarantinedMs: encodeOptionalAge(quarantinedMs),
            })
        );
    }

    override applyReports(reports: readonly PromptBlockReport[], askedAt: number | undefined): void {
        this.quarantine.applyReports(reports.map(decodeReport), askedAt);
    }
}

const encodeAge = (ageMs: number): number => Math.max(0, Math.round(ageMs));

/** Encodes an age, plus one; 0 for none. */
const encodeOptionalAge = (ageMs: number | undefined): number =>
    ageMs === undefined ? 0 : encodeAge(ageMs) + 1;

const decodeOptionalAge = (encoded: number): number | undefined => encoded === 0 ? undefined : encoded - 1;

const decodeReport = (report: PromptBlockReport): BlockReport => ({
    block: report.block,
    losses: report.instances.map((instance, index) => ({ instance, ageMs: report.lossAgesMs[index] ?? 0 })),
    answeredAgeMs: decodeOptionalAge(report.answeredAgeMs),
    quarantinedMs: decodeOptionalAge(report.quarantinedMs),
});
