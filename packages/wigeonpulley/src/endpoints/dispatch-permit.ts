/**
 * Single-use permit to dispatch one request. It is consumed before the first byte is written and restored only with a
 * proof that the endpoint never ran the request, so that code can't dispatch a request twice by accident.
 */

import { SchedulerError } from "../errors/index.js";

/** Proof that the endpoint did not run a request and will not. */
export type NotRunProof =
    /** No connection was made, so no byte was sent. */
    | "no-connection"
    /** The endpoint reported that it had not received the request, and refuses it from then on. */
    | "cancelled-before-arrival";

/** A permit after its use. Only a permit creates one; the index exports the type alone. */
export class ConsumedPermit {
    /** Called by DispatchPermit only. */
    constructor(readonly requestId: string) {}

    /** Restores the permit. The proof states why the request can't have run. */
    restore(proof: NotRunProof): DispatchPermit {
        return DispatchPermit.create(this.requestId, proof);
    }
}

/** Permit that can be consumed once. */
export class DispatchPermit {
    private isConsumed = false;

    private constructor(
        readonly requestId: string,
        /** Proof with which an earlier permit of the request was restored; undefined for the first permit. */
        readonly proof: NotRunProof | undefined,
    ) {}

    /** Creates the permit of a new request, or of one that provably did not run. */
    static create(requestId: string, proof: NotRunProof | undefined = undefined): DispatchPermit {
        return new DispatchPermit(requestId, proof);
    }

    /** Consumes the permit. Throws InternalError when it was consumed or discarded before. */
    consume(): ConsumedPermit {
        if (this.isConsumed) {
            throw SchedulerError.create("InternalError", { reason: "the dispatch permit was used before" });
        }
        this.isConsumed = true;
        return new ConsumedPermit(this.requestId);
    }

    /** Invalidates the permit. */
    discard(): void {
        this.isConsumed = true;
    }
}
