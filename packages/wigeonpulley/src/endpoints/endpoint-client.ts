/** Interface through which gateways and schedulers call endpoints. */
import type { Result } from "ts-results-es";
import * as z from "zod";
import type { ByteAccount } from "../clients/index.js";
import type { Endpoint } from "../config/index.js";
import type { SchedulerError } from "../errors/index.js";
import type { ConsumedPermit, DispatchPermit } from "./dispatch-permit.js";

/** A request as it is sent to an endpoint. */
export interface EndpointRequest {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly contentType: string;
    readonly body: string;
    /** Forwarded so that services can deduplicate requests themselves. */
    readonly idempotencyKey: string | undefined;
    /** Account that a response is charged to while it is collected and until it is sent; undefined when nothing bounds it. */
    readonly account?: ByteAccount | undefined;
}

/** One event of an engine's stream. */
export interface EngineEvent {
    /** Position in the response, from 0. */
    readonly sequence: number;
    readonly data: string;
}

/** An open stream of an engine. */
export interface EngineStream {
    /** Id of the request that the engine reports in its response. */
    readonly requestId: string;
    /** Ends after the last event; throws when the connection is lost. */
    readonly events: AsyncIterable<EngineEvent>;
    /** Closes the connection. The engine continues the request. */
    readonly close: () => void;
}

/** The complete response of a plain service. */
export interface ServiceResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** A dispatch that failed. */
export type DispatchFailure =
    /** The request provably did not arrive; the permit is restored. */
    | { readonly kind: "not-sent"; readonly permit: DispatchPermit; readonly error: SchedulerError; }
    /** The request may have arrived. */
    | {
        readonly kind: "maybe-sent";
        readonly consumedPermit: ConsumedPermit;
        readonly error: SchedulerError;
    }
    /** The endpoint responded that it does not accept the request. */
    | { readonly kind: "rejected"; readonly error: SchedulerError; };

/** A request whose response an engine has started. */
export interface StartedStream {
    readonly consumedPermit: ConsumedPermit;
    readonly stream: EngineStream;
}

/** Result of a dispatch. */
export type DispatchResult<Value> = Result<Value, DispatchFailure>;

/** Outcome of a cancellation. */
export type CancelOutcome = "never-seen" | "cancelled" | "finished";

/** Data of the last event of a stream. */
export const END_OF_STREAM = "[DONE]";

/** Load and cache report of an endpoint; it may be out of date. */
export const endpointReportSchema = z.object({
    serves: z.string(),
    version: z.string(),
    running: z.number().int(),
    waiting: z.number().int(),
    /** Hashes of blocks that were evicted from the cache since the last report; may be incomplete. */
    evictedBlocks: z.array(z.number().int()).default([]),
});

/** A report. */
export type EndpointReport = z.infer<typeof endpointReportSchema>;

/** Client of all endpoints. */
export abstract class EndpointClient {
    /** Starts a request on a model engine. Resolves when the engine has started its response. */
    abstract dispatchToEngine(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
    ): Promise<DispatchResult<StartedStream>>;

    /** Runs a request on a plain service. Resolves with the complete response; fails as maybe-sent if `signal` aborts. */
    abstract dispatchToService(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
        signal: AbortSignal,
    ): Promise<DispatchResult<ServiceResponse>>;

    /**
     * Reopens the stream of a request at an event, without running the request again.
     * Undefined when the engine does not know the request. Fails with EndpointFailed.
     */
    abstract resume(
        endpoint: Endpoint,
        requestId: string,
        sequence: number,
    ): Promise<Result<EngineStream | undefined, SchedulerError>>;

    /** Cancels a request; the endpoint refuses one that arrives later. Fails with EndpointFailed. */
    abstract cancel(endpoint: Endpoint, requestId: string): Promise<Result<CancelOutcome, SchedulerError>>;

    /** Reads an endpoint's report. Fails with EndpointFailed. */
    abstract readReport(endpoint: Endpoint): Promise<Result<EndpointReport, SchedulerError>>;
}
