/** Passes evidence about prompt blocks between this VM and the others. */
import { create } from "@bufbuild/protobuf";
import { type PromptBlockReport, PromptBlockReportSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { type Evidence, EvidenceGossip } from "../membership/index.js";
import type { BlockReport, PromptQuarantine } from "../quarantine/index.js";

/** Evidence of one VM. */
export class GossipedEvidence extends EvidenceGossip {
    private constructor(private readonly quarantine: PromptQuarantine) {
        super();
    }

    /** Creates the gossip of what a quarantine knows. */
    static create(quarantine: PromptQuarantine): GossipedEvidence {
        return new GossipedEvidence(quarantine);
    }

    override createEvidence(): Evidence {
        return { promptBlocks: this.quarantine.listReports().map(encodeBlockReport) };
    }

    override applyEvidence({ promptBlocks }: Evidence, askedAt: number | undefined): void {
        this.quarantine.applyReports(promptBlocks.map(decodeBlockReport), askedAt);
    }
}

const encodeAge = (ageMs: number): number => Math.max(0, Math.round(ageMs));

/** Encodes an age, plus one; 0 for none. */
const encodeOptionalAge = (ageMs: number | undefined): number =>
    ageMs === undefined ? 0 : encodeAge(ageMs) + 1;

const decodeOptionalAge = (encoded: number): number | undefined => encoded === 0 ? undefined : encoded - 1;

const encodeBlockReport = (
    { block, losses, answeredAgeMs, quarantinedMs }: BlockReport,
): PromptBlockReport =>
    create(PromptBlockReportSchema, {
        block,
        instances: losses.map(({ instance }) => instance),
        lossAgesMs: losses.map(({ ageMs }) => encodeAge(ageMs)),
        answeredAgeMs: encodeOptionalAge(answeredAgeMs),
        quarantinedMs: encodeOptionalAge(quarantinedMs),
    });

const decodeBlockReport = (report: PromptBlockReport): BlockReport => ({
    block: report.block,
    losses: report.instances.map((instance, index) => ({ instance, ageMs: report.lossAgesMs[index] ?? 0 })),
    answeredAgeMs: decodeOptionalAge(report.answeredAgeMs),
    quarantinedMs: decodeOptionalAge(report.quarantinedMs),
});
