/** A request on its way through the gateway, and the forms that placement and endpoints need. */
import type { Caller, SelectorMatch } from "../config/index.js";
import type { EndpointRequest } from "../endpoints/index.js";
import type { CallerRequest, EngineRequest } from "./caller-request.js";
import type { DispatchRequest } from "./dispatcher.js";
import type { OpenRequest } from "./open-requests.js";

/** A request after it was matched. */
export interface RequestContext<Request extends CallerRequest> {
    readonly id: string;
    readonly caller: Caller;
    readonly request: Request;
    readonly match: SelectorMatch;
    readonly receivedAt: number;
    readonly deadlineAt: number;
    readonly openRequest: OpenRequest;
    /** Aborted when the caller leaves or a request of a higher tier takes the room. */
    readonly signal: AbortSignal;
    /** Aborted when a request of a higher tier takes the room. */
    readonly evictionSignal: AbortSignal;
}

/** What placement needs of a call; `engineRequest` is undefined for plain services. */
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

/** The request as it goes to an endpoint. */
export const createEndpointRequest = (id: string, request: CallerRequest): EndpointRequest => ({
    id,
    method: request.kind === "engine" ? "POST" : request.method,
    path: request.kind === "engine" ? "/v1/chat/completions" : request.path,
    contentType: request.contentType,
    body: request.body,
    idempotencyKey: request.idempotencyKey,
});
