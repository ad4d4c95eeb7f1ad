/**
 * Forwarding: sends requests of routes to instances and relays their responses, byte for byte.
 * Decides whether a request may be retried; does not decide the order of requests or the choice of instances.
 */
export {
    AdmissionCheck,
    type AdmissionCheckOptions,
    type AdmittedRequest,
    type RequestTarget,
} from "./admission-check.js";
export { QuotaLimiter, type QuotaState, RetryBudget } from "./admission-limits.js";
export { type AttemptOutcome } from "./attempt-outcome.js";
export { Attempt, type AttemptOptions } from "./attempt.js";
export { CallerRetryDetector } from "./caller-retry-detector.js";
export { ConnectionPool, type ConnectionPoolOptions } from "./connection-pool.js";
export {
    EndpointExchange,
    EndpointTransport,
    type ExchangeFailure,
    isExchangeFailure,
    type OutgoingRequest,
    type ResponseHead,
} from "./endpoint-transport.js";
export { EventSplitter, type StreamEvent } from "./event-splitter.js";
export { Forwarder, type ForwarderOptions, type ForwardSummary } from "./forwarder.js";
export { FrontServer, type FrontServerOptions } from "./front-server.js";
export {
    type DispatchMetadata,
    HeaderCodec,
    type ParsedHeaders,
    type PeerMetadata,
    type PromptPrefixBlock,
    type RequestMetadata,
    type ResponseMetadata,
} from "./header-codec.js";
export { listForwardedRequestHeaders, listForwardedResponseHeaders } from "./hop-by-hop.js";
export {
    type ArrivedRequest,
    type DelaySource,
    LateAdmission,
    type LateAdmissionOptions,
} from "./late-admission.js";
export { PeerSelector, type PeerSelectorOptions, type RequestPeer } from "./peer-selector.js";
export { RelayPace } from "./relay-pace.js";
export { type CancelReason, RequestLifetime } from "./request-lifetime.js";
export { RequestRegions } from "./request-regions.js";
export { listTraits } from "./request-traits.js";
export { ResponseWriter } from "./response-writer.js";
export {
    computeCallerTimeoutMs,
    computeRank,
    countQuotaUnits,
    isRetryable,
    type RoutedRequest,
} from "./routed-request.js";
export { StreamRelay } from "./stream-relay.js";
export { UndiciTransport } from "./undici-transport.js";
