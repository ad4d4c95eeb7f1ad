/** Passes evidence about traits of requests and rate limits of instances between this VM and the others. */
import { create } from "@bufbuild/protobuf";
import {
    type InstanceLimitReport,
    InstanceLimitReportSchema,
    LiveInstanceReportSchema,
    type PromptBlockReport,
    PromptBlockReportSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { type Evidence, EvidenceGossip } from "../membership/index.js";
import type { InstanceRateLimits, LimitReport } from "../placement/index.js";
import type { Quarantine, SuspectReport } from "../quarantine/index.js";

/** Evidence of one VM. */
export class GossipedEvidence extends EvidenceGossip {
    private constructor(
        private readonly quarantine: Quarantine,
        private readonly rateLimits: InstanceRateLimits,
    ) {
        super();
    }

    /** Creates the gossip of what a quarantine and the limits of instances know. */
    static create(quarantine: Quarantine, rateLimits: InstanceRateLimits): GossipedEvidence {
        return new GossipedEvidence(quarantine, rateLimits);
    }

    override createEvidence(): Evidence {
        return {
            promptBlocks: this.quarantine.listReports().map(encodeSuspectReport),
            instanceLimits: this.rateLimits.listReports().map(encodeLimitReport),
            liveInstances: this.quarantine.listLiveInstances().map(({ instance, ageMs }) =>
                create(LiveInstanceReportSchema, { instance, ageMs: Math.ceil(ageMs) })
            ),
        };
    }

    override applyEvidence(
        { promptBlocks, instanceLimits, liveInstances }: Evidence,
        askedAt: number | undefined,
    ): void {
        this.quarantine.applyReports(promptBlocks.map(decodeSuspectReport), askedAt);
        // After the losses that they withdraw.
        this.quarantine.applyLiveInstances(liveInstances, askedAt);
        this.rateLimits.applyReports(instanceLimits.map(decodeLimitReport), askedAt);
    }
}

const encodeAge = (ageMs: number): number => Math.max(0, Math.round(ageMs));

/** Encodes an age, plus one; 0 for none. */
const encodeOptionalAge = (ageMs: number | undefined): number =>
    ageMs === undefined ? 0 : encodeAge(ageMs) + 1;

const decodeOptionalAge = (encoded: number): number | undefined => encoded === 0 ? undefined : encoded - 1;

const encodeSuspectReport = (
    { trait, losses, depth, answeredAgeMs, quarantinedMs }: SuspectReport,
): PromptBlockReport =>
    create(PromptBlockReportSchema, {
        block: trait,
        instances: losses.map(({ instance }) => instance),
        lossAgesMs: losses.map(({ ageMs }) => encodeAge(ageMs)),
        depth,
        answeredAgeMs: encodeOptionalAge(answeredAgeMs),
        quarantinedMs: encodeOptionalAge(quarantinedMs),
    });

const decodeSuspectReport = (report: PromptBlockReport): SuspectReport => ({
    trait: report.block,
    losses: report.instances.map((instance, index) => ({ instance, ageMs: report.lossAgesMs[index] ?? 0 })),
    depth: report.depth,
    answeredAgeMs: decodeOptionalAge(report.answeredAgeMs),
    quarantinedMs: decodeOptionalAge(report.quarantinedMs),
});

const encodeLimitReport = ({ instance, limitPerS, ageMs }: LimitReport): InstanceLimitReport =>
    create(InstanceLimitReportSchema, {
        instance,
        limitPerS: limitPerS ?? 0,
        hasEnded: limitPerS === undefined,
        ageMs: encodeAge(ageMs),
    });

const decodeLimitReport = (
    { instance, limitPerS, hasEnded, ageMs }: InstanceLimitReport,
): LimitReport => ({
    instance,
    limitPerS: hasEnded ? undefined : limitPerS,
    ageMs,
});
