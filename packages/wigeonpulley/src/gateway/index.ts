/**
 * Gateway: takes callers' requests, dispatches each at most once and carries its whole answer back.
 * Decides when a dispatch may be repeated; may not decide which request goes first.
 */
export { ResponseReader, NEVER_RAN } from "./response-reader.js";
export {
    type CallerRequest,
    type EngineRequest,
    hashPrefixBlocks,
    parseChatBody,
    parseHeaders,
    type ServiceRequest,
} from "./caller-request.js";
export { type ResponseItem, EngineResponse } from "./engine-response.js";
export { type GatewayResponse, Gateway, type GatewayOptions, type StreamedResponse } from "./gateway.js";
export { HttpServer, type HttpServerOptions, type OperatorHandlers } from "./http-server.js";
export { OpenRequests } from "./open-requests.js";
export { InterTokenLatencyRecorder } from "./inter-token-latency-recorder.js";
export { ResumeTokenSigner, type SigningKey, type ResumeTokenPayload } from "./resume-token-signer.js";
export { RetryBudgets } from "./retry-budgets.js";
export { type BufferedResponse } from "./service-request-handler.js";
