/**
 * The right to dispatch one request. It is used up before the first byte is written, and comes back only with a
 * proof that the endpoint never ran the request, so that a second dispatch can't be written by accident.
 */

import { SchedulerError } from "../errors/index.js";

/** Proof that the endpoint did not run a request and will not. */
export type NotRunProof =
    /** No connection was made, so no byte was sent. */
    | "no-connection"
    /** The endpoint said that it had not seen the request, and will refuse it from now on. */
    | "cancelled-before-arrival";

/** Shows that a permit was used. Only a permit makes one; the index exports its type alone. */
export class ConsumedPermit {
    /** Called by DispatchPermit only. */
    constructor(readonly requestId: string) {}

    /** Gives the right to dispatch back. The proof has to name why the request can't have run. */
    restore(proof: NotRunProof): DispatchPermit {
        return DispatchPermit.create(this.requestId, proof);
    }
}

/** A permit that can be used once. */
export class DispatchPermit {
    private isConsumed = false;

    private constructor(
        readonly requestId: string,
        /** Why an earlier permit of the same request came back, if there was one. */
        readonly proof: NotRunProof | undefined,
    ) {}

    /** Creates the permit of a new request, or of one that provably did not run. */
    static create(requestId: string, proof: NotRunProof | undefined = undefined): DispatchPermit {
        return new DispatchPermit(requestId, proof);
    }

    /** Uses the permit up. Throws InternalError when that was done before or the permit was destroyed. */
    consume(): ConsumedPermit {
        if (this.isConsumed) {
            throw SchedulerError.create("InternalError", { reason: "the dispatch permit was used before" });
        }
        this.isConsumed = true;
        return new ConsumedPermit(this.requestId);
    }

    /** Gives up the right to dispatch for good. */
    discard(): void {
        this.isConsumed = true;
    }
}
