/**
 * Gateway: takes callers' requests, dispatches each at most once and carries its whole answer back.
 * Decides when a dispatch may be repeated; may not decide which request goes first.
 */
export { AnswerReader, NEVER_RAN } from "./answer-reader.js";
export {
    type CallerRequest,
    type EngineRequest,
    hashPrefixBlocks,
    parseChatBody,
    parseHeaders,
    type ServiceRequest,
} from "./caller-request.js";
export { type AnswerItem, EngineAnswer } from "./engine-answer.js";
export { type Answer, Gateway, type GatewayOptions, type StreamAnswer } from "./gateway.js";
export { HttpServer, type HttpServerOptions, type OperatorQueries } from "./http-server.js";
export { OpenRequests } from "./open-requests.js";
export { PaceRecorder } from "./pace-recorder.js";
export { ResumeTokens, type SigningKey, type TokenPayload } from "./resume-token.js";
export { RetryBudgets } from "./retry-budget.js";
export { type WholeAnswer } from "./service-requests.js";
