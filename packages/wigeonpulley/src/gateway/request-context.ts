/** State of an admitted request, and its conversion into requests to the dispatcher and to endpoints. */
import type { Caller, SelectorMatch } from "../config/index.js";
import type { EndpointRequest } from "../endpoints/index.js";
import type { CallerRequest, EngineRequest } from "./caller-request.js";
import type { DispatchRequest } from "./dispatcher.js";
import type { OpenRequest } from "./open-requests.js";

/** An admitted request with its selector and limits. */
export interface RequestContext<Request extends CallerRequest> {
    readonly id: string;
    readonly caller: Caller;
    readonly request: Request;
    readonly match: SelectorMatch;
    /** Monotonic time in milliseconds. */
    readonly receivedAt: number;
    /** Monotonic time in milliseconds. */
    readonly deadlineAt: number;
    readonly openRequest: OpenRequest;
    /** Aborted when the caller disconnects or the request is evicted. */
    readonly signal: AbortSignal;
    /** Aborted when the request is evicted in favour of one of a higher tier. */
    readonly evictionSignal: AbortSignal;
}

/** Creates the dispatcher's view of a request; `engineRequest` is undefined for plain services. */
export const createDispatchRequest = (
    context: RequestContext<CallerRequest>,
    engineRequest: EngineRequest | undefined,
): DispatchRequest => ({
    id: context.id,
    caller: context.caller.name,
    match: context.match,
    deadlineAt: context.deadlineAt,
    allowedMs: context.deadlineAt - context.receivedAt,
    promptTokens: engineRequest?.promptTokens ?? 0,
    answerTokens: engineRequest === undefined
        ? 0
        : engineRequest.maximumTokens ?? context.match.selector.expectedTokens,
    prefixBlocks: engineRequest?.prefixBlocks ?? [],
    signal: context.signal,
});

/** Creates the request that is sent to an endpoint. */
export const createEndpointRequest = (id: string, request: CallerRequest): EndpointRequest => ({
    id,
    method: request.kind === "engine" ? "POST" : request.method,
    path: request.kind === "engine" ? "/v1/chat/completions" : request.path,
    contentType: request.contentType,
    body: request.body,
    idempotencyKey: request.idempotencyKey,
    account: request.account,
});
