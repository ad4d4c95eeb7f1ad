/** Evidence that one attempt gives about the traits of its request: answered, or lost with the connection. */
import type { EventLogger } from "../logging/index.js";
import type { Placement } from "../placement/index.js";
import type { Quarantine } from "../quarantine/index.js";
import type { ResponseHead } from "./endpoint-transport.js";
import type { RoutedRequest } from "./routed-request.js";

/** Dependencies of the evidence. */
export interface AttemptEvidenceOptions {
    readonly logger: EventLogger;
    readonly quarantine: Quarantine;
    readonly request: RoutedRequest;
    /** Traits of the request. */
    readonly traits: readonly string[];
    readonly placement: Placement;
}

/** Events of a response that clear the traits of its request. An instance that crashes under one crashes as it begins. */
const CLEARING_EVENT_COUNT = 4;
const HTTP_SERVER_ERROR = 500;

/** Evidence of one attempt. */
export class AttemptEvidence {
    private isCleared = false;

    private constructor(private readonly options: AttemptEvidenceOptions) {}

    /** Creates the evidence of an attempt without a response. */
    static create(options: AttemptEvidenceOptions): AttemptEvidence {
        return new AttemptEvidence(options);
    }

    /** Records that a part of the response has arrived. */
    recordProgress(sentAt: number): void {
        this.options.quarantine.recordResponse(this.options.placement.instance, sentAt);
    }

    /** Records the number of events that the attempt has relayed. */
    recordEvents(count: number): void {
        if (count >= CLEARING_EVENT_COUNT) {
            this.recordAnswer();
        }
    }

    /**
     * Records the end of a response. One that ends with its connection may have been cut off by a crash, and an error of
     * the instance may have come before it began with the request.
     */
    recordEnd({ status, endsWithConnection }: ResponseHead): void {
        if (!endsWithConnection && status < HTTP_SERVER_ERROR) {
            this.recordAnswer();
        }
    }

    /** Records that the instance closed the connection after the attempt had relayed `events` events. */
    recordConnectionLoss(reason: string, events: number): void {
        const { logger, quarantine, request: { metadata }, traits, placement: { instance } } = this.options;
        if (!this.isCleared) {
            quarantine.recordLoss(traits, instance);
        }
        logger.write("InstanceConnectionLost", {
            id: metadata.attemptId,
            instance: instance.id,
            reason,
            events,
            promptBlocks: metadata.promptBlocks.map(({ id }) => id).join(","),
            request: traits.at(-1) ?? "",
        });
    }

    private recordAnswer(): void {
        if (!this.isCleared) {
            this.isCleared = true;
            this.options.quarantine.recordAnswer(this.options.traits);
        }
    }
}
