/** How a gateway and a scheduler talk to endpoints. */
import type { Result } from "ts-results-es";
import { z } from "zod";
import type { Endpoint } from "../config/index.js";
import type { SchedulerError } from "../errors/index.js";
import type { ConsumedPermit, DispatchPermit } from "./dispatch-permit.js";

/** A request as it goes to an endpoint. */
export interface EndpointRequest {
    readonly id: string;
    readonly method: string;
    readonly path: string;
    readonly contentType: string;
    readonly body: string;
    /** Passed on so that services can deduplicate by themselves. */
    readonly idempotencyKey: string | undefined;
}

/** One event of an engine's stream. */
export interface EngineEvent {
    /** Position in the answer, from 0. */
    readonly sequence: number;
    readonly data: string;
}

/** An open stream of an engine. */
export interface EngineStream {
    /** Identifier that the engine gives for the request it answers. */
    readonly requestId: string;
    /** Ends after the last event; throws when the connection is lost. */
    readonly events: AsyncIterable<EngineEvent>;
    /** Closes the connection. The engine goes on with the request. */
    readonly close: () => void;
}

/** A whole answer of a plain service. */
export interface ServiceResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
}

/** A dispatch that failed. */
export type DispatchFailure =
    /** The request provably did not arrive; the permit is usable again. */
    | { readonly kind: "not-sent"; readonly permit: DispatchPermit; readonly error: SchedulerError; }
    /** The request may have arrived. */
    | { readonly kind: "maybe-sent"; readonly used: ConsumedPermit; readonly error: SchedulerError; }
    /** The endpoint answered that it does not accept the request. */
    | { readonly kind: "rejected"; readonly error: SchedulerError; };

/** A request that an engine has begun to answer. */
export interface StartedStream {
    readonly used: ConsumedPermit;
    readonly stream: EngineStream;
}

/** Result of a dispatch. */
export type DispatchResult<Value> = Result<Value, DispatchFailure>;

/** What became of a cancellation. */
export type CancelOutcome = "never-seen" | "cancelled" | "finished";

/** Data of the last event of a stream. */
export const END_OF_STREAM = "[DONE]";

/** Load and cache report of an endpoint; it lags behind the truth. */
export const endpointReportSchema = z.object({
    serves: z.string(),
    version: z.string(),
    running: z.number().int(),
    waiting: z.number().int(),
    /** Hashes of blocks that left the cache since the last report; may have gaps. */
    evictedBlocks: z.array(z.number().int()).default([]),
});

/** A report. */
export type EndpointReport = z.infer<typeof endpointReportSchema>;

/** Client of all endpoints. */
export abstract class EndpointClient {
    /** Starts a request on a model engine. Resolves when the engine has begun to answer. */
    abstract dispatchToEngine(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
    ): Promise<DispatchResult<StartedStream>>;

    /** Runs a request on a plain service. Resolves with the whole answer. */
    abstract dispatchToService(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
        signal: AbortSignal,
    ): Promise<DispatchResult<ServiceResponse>>;

    /**
     * Opens the answer to a request again at an event. Never runs the request.
     * Undefined when the engine does not know the request. Fails with EndpointFailed.
     */
    abstract resume(
        endpoint: Endpoint,
        requestId: string,
        sequence: number,
    ): Promise<Result<EngineStream | undefined, SchedulerError>>;

    /** Cancels a request; one that never arrived is refused from then on. Fails with EndpointFailed. */
    abstract cancel(endpoint: Endpoint, requestId: string): Promise<Result<CancelOutcome, SchedulerError>>;

    /** Reads an endpoint's report. Fails with EndpointFailed. */
    abstract readReport(endpoint: Endpoint): Promise<Result<EndpointReport, SchedulerError>>;
}
