/** Distinguishes errors of another VM from responses of instances that it relays. */
import { errorCatalogue, type ErrorName, isErrorName } from "../errors/index.js";
import { type AttemptOutcome, createFailedOutcome } from "./attempt-outcome.js";
import type { ResponseHead } from "./endpoint-transport.js";
import { VM_ERROR_HEADER } from "./peer-headers.js";

/** Errors by which another VM says that it can't serve any request for the service now. */
const UNABLE_PEER_ERRORS: ReadonlySet<ErrorName> = new Set([
    "ClientMemoryExhausted",
    "ConfigurationStale",
    "ConfigurationUnavailable",
    "EndpointUnreachable",
    "NoEndpoint",
    "NotPermitted",
    "Stopping",
    "TooManyStreams",
    "UploadTooSlow",
]);
/** Errors of another VM that any VM would respond with. */
const FINAL_PEER_ERRORS: ReadonlySet<ErrorName> = new Set([
    "Overloaded",
    "PromptQuarantined",
    "RequestQuarantined",
]);
const MILLISECONDS_PER_SECOND = 1_000;

/** Returns the outcome of an error that another VM itself responded with; undefined for an instance's response. */
export const findPeerError = ({ status, headers }: ResponseHead): AttemptOutcome | undefined => {
    const name = headers[VM_ERROR_HEADER];
    if (typeof name !== "string" || !isErrorName(name)) {
        return undefined;
    }
    const reason = `the other VM failed: ${name}`;
    const retryAfterS = Number(headers["retry-after"]);
    return errorCatalogue[name].notRun
        ? {
            kind: "not-run",
            reason,
            cause: FINAL_PEER_ERRORS.has(name)
                ? "full"
                : UNABLE_PEER_ERRORS.has(name)
                ? "unreachable"
                : "request",
            hasArrived: false,
            retryAfterMs: Number.isFinite(retryAfterS) ? retryAfterS * MILLISECONDS_PER_SECOND : undefined,
        }
        : createFailedOutcome(`${reason}, status ${status}`);
};
