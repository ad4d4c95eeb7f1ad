/**
 * Endpoints: the clients of engines and plain services, and the permit that prevents a second dispatch.
 * Decides whether a failed dispatch provably did not arrive; does not choose endpoints.
 */
export { type ConsumedPermit, DispatchPermit, type NotRunProof } from "./dispatch-permit.js";
export {
    type CancelOutcome,
    type DispatchFailure,
    type DispatchResult,
    END_OF_STREAM,
    EndpointClient,
    type EndpointReport,
    endpointReportSchema,
    type EndpointRequest,
    type EngineEvent,
    type EngineStream,
    type ServiceResponse,
    type StartedStream,
} from "./endpoint-client.js";
export { HttpEndpointClient, type HttpEndpointOptions } from "./http-endpoint-client.js";
