/** Outcome of one attempt: a request sent to one instance, or through another VM. */

/** How an attempt ended. */
export type AttemptOutcome =
    | { readonly kind: "answered"; readonly status: number; }
    /** The endpoint provably did not run the request. */
    | {
        readonly kind: "not-run";
        readonly reason: string;
        /** Whether the target refused it for lack of capacity or could not serve any, or neither. */
        readonly cause: "full" | "unreachable" | "request";
        /** False when the request never left this VM. */
        readonly hasArrived: boolean;
        /** Time after which a VM that was asked instead of the instance wants the caller to retry, in milliseconds. */
        readonly retryAfterMs?: number | undefined;
    }
    | {
        readonly kind: "failed";
        readonly reason: string;
        readonly status: number;
        /** True when the endpoint closed the connection before its response was complete. */
        readonly isConnectionLost: boolean;
        /** Sends the endpoint's own error response to the caller; undefined when there is none. */
        readonly forwardResponse: (() => void) | undefined;
    };

/** Creates the outcome of an attempt that may have run. */
export const createFailedOutcome = (reason: string, isConnectionLost = false): AttemptOutcome => ({
    kind: "failed",
    reason,
    status: 0,
    isConnectionLost,
    forwardResponse: undefined,
});
