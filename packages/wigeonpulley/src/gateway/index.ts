/**
 * Gateway: accepts callers' requests, dispatches each at most once and relays the complete response.
 * Decides when a dispatch may be retried; the schedulers decide the order of requests.
 */
export {
    type CallerRequest,
    type EngineRequest,
    hashPrefixBlocks,
    parseChatBody,
    parseHeaders,
    type ServiceRequest,
} from "./caller-request.js";
export { EngineResponse, type ResponseItem } from "./engine-response.js";
export { Gateway, type GatewayOptions, type GatewayResponse, type StreamedResponse } from "./gateway.js";
export { HttpServer, type HttpServerOptions, type OperatorHandlers } from "./http-server.js";
export { InterTokenLatencyRecorder } from "./inter-token-latency-recorder.js";
export { OpenRequests } from "./open-requests.js";
export { NEVER_RAN, ResponseReader } from "./response-reader.js";
export { type ResumeTokenPayload, ResumeTokenSigner, type SigningKey } from "./resume-token-signer.js";
export { RetryBudgets } from "./retry-budgets.js";
export { type BufferedResponse } from "./service-request-handler.js";
