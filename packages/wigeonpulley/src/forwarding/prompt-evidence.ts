/** Evidence that one attempt gives about the blocks of its prompt: answered, or lost with the connection. */
import type { EventLogger } from "../logging/index.js";
import type { Placement } from "../placement/index.js";
import type { PromptQuarantine } from "../quarantine/index.js";
import { computeFingerprint } from "./request-fingerprint.js";
import type { RoutedRequest } from "./routed-request.js";

/** Dependencies of the evidence. */
export interface PromptEvidenceOptions {
    readonly logger: EventLogger;
    readonly quarantine: PromptQuarantine;
    readonly request: RoutedRequest;
    readonly placement: Placement;
}

/**
 * Events of an engine's response that clear the blocks of its prompt. An engine that crashes under a block crashes as it
 * begins to answer.
 */
const CLEARING_EVENT_COUNT = 4;

/** Evidence of one attempt. */
export class PromptEvidence {
    private isCleared = false;

    private constructor(private readonly options: PromptEvidenceOptions) {}

    /** Creates the evidence of an attempt without a response. */
    static create(options: PromptEvidenceOptions): PromptEvidence {
        return new PromptEvidence(options);
    }

    /** Records the number of events that the attempt has relayed. */
    recordEvents(count: number): void {
        if (count >= CLEARING_EVENT_COUNT) {
            this.recordAnswer();
        }
    }

    /** Records a response that is known to be complete. One that ends with its connection may have been cut off by a crash. */
    recordEnd(endsWithConnection: boolean): void {
        if (!endsWithConnection) {
            this.recordAnswer();
        }
    }

    /** Records that the instance closed the connection after the attempt had relayed `events` events. */
    recordConnectionLoss(reason: string, events: number): void {
        const { logger, quarantine, request, placement: { instance } } = this.options;
        const { metadata } = request;
        if (!this.isCleared) {
            quarantine.recordLoss(metadata.promptBlocks, instance);
        }
        logger.write("InstanceConnectionLost", {
            id: metadata.attemptId,
            instance: instance.id,
            reason,
            events,
            promptBlocks: metadata.promptBlocks.map(({ id }) => id).join(","),
            request: computeFingerprint(request),
        });
    }

    private recordAnswer(): void {
        if (!this.isCleared) {
            this.isCleared = true;
            this.options.quarantine.recordAnswer(this.options.request.metadata.promptBlocks);
        }
    }
}
