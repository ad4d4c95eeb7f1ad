/** Serves callers' requests: matches them to a selector, admits, claims, schedules and dispatches them. */
import * as Option from "fp-ts/lib/Option.js";
import { Err, Ok, type Result } from "ts-results-es";
import type { ClaimService } from "../claims/index.js";
import { type Caller, type ConfigurationVersion, type Endpoint, matchSelector } from "../config/index.js";
import {
    type DispatchPermit,
    type DispatchResult,
    type EndpointClient,
    type EndpointRequest,
    type EngineEvent,
    type EngineStream,
} from "../endpoints/index.js";
import { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { MetricsRegistry } from "../metrics/index.js";
import type { RandomSource } from "../random/index.js";
import type { Slot, TicketClient } from "../scheduling/index.js";
import type { TimerService } from "../time/index.js";
import type { CallerRequest, EngineRequest, ServiceRequest } from "./caller-request.js";
import { Dispatcher } from "./dispatcher.js";
import { EngineResponse } from "./engine-response.js";
import type { InterTokenLatencyRecorder } from "./inter-token-latency-recorder.js";
import type { OpenRequest, OpenRequests } from "./open-requests.js";
import { createDispatchRequest, createEndpointRequest, type RequestContext } from "./request-context.js";
import { NEVER_RAN, ResponseReader } from "./response-reader.js";
import type { ResumeTokenSigner } from "./resume-token-signer.js";
import { RetryBudgets } from "./retry-budgets.js";
import { type BufferedResponse, ServiceRequestHandler } from "./service-request-handler.js";

/** Dependencies and limits of a gateway. */
export interface GatewayOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly metrics: MetricsRegistry;
    readonly tickets: TicketClient;
    readonly endpoints: EndpointClient;
    readonly claims: ClaimService;
    readonly resumeTokens: ResumeTokenSigner;
    readonly latencyRecorder: InterTokenLatencyRecorder;
    readonly openRequests: OpenRequests;
    readonly getConfiguration: () => ConfigurationVersion | undefined;
    readonly findEndpointGroup: (endpoint: string) => string | undefined;
    /** Time without an event after which a stream is resumed on a new connection, in milliseconds. */
    readonly streamSilenceMs: number;
    /** Validity of a resume token, in milliseconds. */
    readonly resumeTokenMs: number;
}

/** A response that is streamed to the caller. */
export interface StreamedResponse {
    readonly kind: "stream";
    readonly requestId: string;
    /** Part of each event identifier, which has the form `<sequence>.<resumeToken>`. */
    readonly resumeToken: string;
    readonly response: EngineResponse;
}

/** A successful response to a caller. */
export type GatewayResponse = StreamedResponse | BufferedResponse;

/** Retry-after of a refusal when no better estimate exists, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Metrics label of requests that were refused before they had a tier. */
const NO_TIER = "none";

/** An engine's response whose first event has arrived. */
interface StartedResponse {
    readonly reader: ResponseReader;
    readonly first: EngineEvent;
}

/** Serves and resumes the requests of callers on one VM. */
export class Gateway {
    private readonly dispatcher: Dispatcher;
    private readonly serviceRequestHandler: ServiceRequestHandler;
    private isStopping = false;

    private constructor(private readonly options: GatewayOptions) {
        this.dispatcher = Dispatcher.create({
            tickets: options.tickets,
            timers: options.timers,
            logger: options.logger,
            retryBudgets: RetryBudgets.create(),
            findEndpoint: name => this.findEndpoint(name),
        });
        this.serviceRequestHandler = ServiceRequestHandler.create({
            ...options,
            dispatcher: this.dispatcher,
        });
    }

    /** Creates a gateway that accepts requests at once. */
    static create(options: GatewayOptions): Gateway {
        return new Gateway(options);
    }

    /** Refuses all further requests with Stopping; open ones continue. */
    stopAccepting(): void {
        this.isStopping = true;
    }

    /** Serves a request. An error with `notRun` in its catalogue entry means that no endpoint ran it or will run it. */
    async serve(caller: Caller, request: CallerRequest): Promise<Result<GatewayResponse, SchedulerError>> {
        const context = this.admitRequest(caller, request);
        if (context.isErr()) {
            this.options.metrics.recordRequest(NO_TIER, context.error.name);
            return context;
        }
        const { id, match, evictionSignal } = context.value;
        const response = context.value.request.kind === "engine"
            ? await this.serveEngine(context.value as RequestContext<EngineRequest>)
            : await this.serviceRequestHandler.serve(context.value as RequestContext<ServiceRequest>);
        if (response.isOk()) {
            return response;
        }
        const error = evictionSignal.aborted && response.error.name === "RequestCancelled"
            ? SchedulerError.create("Overloaded", { tier: match.tier.name }, {
                retryAfterMs: DEFAULT_RETRY_AFTER_MS,
            })
            : response.error;
        this.options.logger.write("RequestRefused", { id, error: error.name });
        this.options.metrics.recordRequest(match.tier.name, error.name);
        return Err(error);
    }

    /**
     * Continues a stream after the event with the given identifier, whichever VM served it before.
     * Fails with ResumeTokenInvalid, ResumeUnavailable or EndpointFailed.
     */
    async resume(caller: Caller, eventIdentifier: string): Promise<Result<StreamedResponse, SchedulerError>> {
        const { resumeTokens, timers, tickets, openRequests } = this.options;
        const position = resumeTokens.verify(eventIdentifier, caller.name, timers.readWallClock());
        if (Option.isNone(position)) {
            return Err(SchedulerError.create("ResumeTokenInvalid", {}));
        }
        const { payload, sequence } = position.value;
        const endpoint = this.findEndpoint(payload.endpoint);
        const group = this.options.findEndpointGroup(payload.endpoint);
        const openRequest = openRequests.tryAdmit({
            tier: payload.tier,
            isDurable: true,
            evict: () => undefined,
        });
        openRequest?.recordDispatch();
        const unavailable = SchedulerError.create("ResumeUnavailable", { endpoint: payload.endpoint });
        if (endpoint === undefined || group === undefined || openRequest === undefined) {
            openRequest?.finish();
            return Err(unavailable);
        }
        const reader = this.createReader(endpoint, payload.id, sequence + 1, undefined);
        const first = await reader.read();
        if (first.isErr() || first.value === NEVER_RAN || first.value === undefined) {
            openRequest.finish();
            return Err(first.isErr() ? first.error : unavailable);
        }
        const slot: Slot = {
            id: payload.id,
            group,
            endpoint: endpoint.name,
            tier: payload.tier,
            expectedMs: 0,
        };
        tickets.registerSlot(slot);
        const now = timers.now();
        const times = { receivedAt: now, dispatchedAt: now };
        const started = { reader, first: first.value };
        const response = this.createResponse(
            slot,
            started,
            this.getTierName(payload.tier),
            times,
            openRequest,
        );
        return Ok({
            kind: "stream",
            requestId: payload.id,
            resumeToken: resumeTokens.sign(payload),
            response,
        });
    }

    /** Matches the request, checks it and counts it as open, so that only valid requests reach the scheduler. */
    private admitRequest<Request extends CallerRequest>(
        caller: Caller,
        request: Request,
    ): Result<RequestContext<Request>, SchedulerError> {
        const { timers, random, openRequests, getConfiguration } = this.options;
        const version = getConfiguration();
        if (this.isStopping) {
            return Err(SchedulerError.create("Stopping", {}, { retryAfterMs: DEFAULT_RETRY_AFTER_MS }));
        }
        if (version === undefined) {
            return Err(
                SchedulerError.create("ConfigurationUnavailable", {}, {
                    retryAfterMs: DEFAULT_RETRY_AFTER_MS,
                }),
            );
        }
        const serves = request.kind === "engine" ? request.model : request.service;
        const match = matchSelector(version.configuration, caller, request.labels, serves);
        if (Option.isNone(match)) {
            const labels = JSON.stringify({ ...request.labels, serves });
            return Err(SchedulerError.create("NoSelectorMatches", { labels }));
        }
        const { tier, selector } = match.value;
        if (!selector.idempotent && request.idempotencyKey === undefined) {
            return Err(SchedulerError.create("KeyRequired", {}));
        }
        const eviction = new AbortController();
        const openRequest = openRequests.tryAdmit({
            tier: match.value.tierIndex,
            isDurable: tier.durable,
            evict: () => eviction.abort(),
        });
        if (openRequest === undefined) {
            const limit = openRequests.computeLimit({ isDurable: tier.durable });
            return Err(
                SchedulerError.create("TooManyStreams", { limit }, { retryAfterMs: DEFAULT_RETRY_AFTER_MS }),
            );
        }
        const receivedAt = timers.now();
        const allowedMs = Math.min(request.deadlineMs ?? tier.deadlineMs, tier.deadlineMs);
        const deadlineAt = receivedAt + allowedMs;
        const id = random.createIdentifier();
        const signal = AbortSignal.any([request.signal, eviction.signal]);
        const context = {
            id,
            caller,
            request,
            match: match.value,
            receivedAt,
            deadlineAt,
            openRequest,
            signal,
        };
        return Ok({ ...context, evictionSignal: eviction.signal });
    }

    private async serveEngine(
        context: RequestContext<EngineRequest>,
    ): Promise<Result<GatewayResponse, SchedulerError>> {
        const { resumeTokens, timers, metrics } = this.options;
        const { id, caller, request, match, receivedAt, openRequest } = context;
        const dispatched = await this.dispatcher.dispatch(
            createDispatchRequest(context, request),
            (endpoint, permit) => {
                openRequest.recordDispatch();
                return this.dispatchToEngine(endpoint, permit, createEndpointRequest(id, request));
            },
        );
        if (dispatched.isErr()) {
            openRequest.finish();
            return dispatched;
        }
        const { slot, endpoint, response: started, dispatchedAt } = dispatched.value;
        metrics.recordPhase(match.tier.name, "queue", dispatchedAt - receivedAt);
        const response = this.createResponse(
            slot,
            started,
            match.tier.name,
            { receivedAt, dispatchedAt },
            openRequest,
        );
        const resumeToken = resumeTokens.sign({
            id,
            endpoint: endpoint.name,
            caller: caller.name,
            tier: match.tierIndex,
            expiresAt: timers.readWallClock() + this.options.resumeTokenMs,
        });
        return Ok({ kind: "stream", requestId: id, resumeToken, response });
    }

    /**
     * Dispatches to an engine and waits for the first event.
     * If the connection was lost, the engine is asked whether the request arrived before the dispatch counts as failed.
     */
    private async dispatchToEngine(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
    ): Promise<DispatchResult<StartedResponse>> {
        const dispatched = await this.options.endpoints.dispatchToEngine(endpoint, permit, request);
        const started = dispatched.isOk() ? dispatched.value : dispatched.error;
        if ("kind" in started && started.kind !== "maybe-sent") {
            return Err(started);
        }
        const { consumedPermit } = started;
        const reader = this.createReader(
            endpoint,
            request.id,
            0,
            "stream" in started ? started.stream : undefined,
        );
        const first = await reader.read();
        if (first.isErr()) {
            return Err({ kind: "maybe-sent", consumedPermit, error: first.error });
        }
        if (first.value === NEVER_RAN || first.value === undefined) {
            const error = SchedulerError.create("EndpointUnreachable", {
                endpoint: endpoint.name,
                reason: "the request did not arrive",
            });
            return Err({
                kind: "not-sent",
                permit: consumedPermit.restore("cancelled-before-arrival"),
                error,
            });
        }
        return Ok({ reader, first: first.value });
    }

    private createResponse(
        slot: Slot,
        { reader, first }: StartedResponse,
        tier: string,
        times: { readonly receivedAt: number; readonly dispatchedAt: number; },
        openRequest: OpenRequest,
    ): EngineResponse {
        const { tickets, latencyRecorder, metrics, timers } = this.options;
        return EngineResponse.create(
            {
                reader,
                slot,
                tier,
                ...times,
                tickets,
                latencyRecorder,
                metrics,
                timers,
                onEnd: openRequest.finish,
            },
            first,
        );
    }

    private createReader(
        endpoint: Endpoint,
        requestId: string,
        firstSequence: number,
        stream: EngineStream | undefined,
    ): ResponseReader {
        const { endpoints, timers, logger, streamSilenceMs } = this.options;
        return ResponseReader.create({
            endpoints,
            timers,
            logger,
            endpoint,
            requestId,
            streamSilenceMs,
            firstSequence,
        }, stream);
    }

    private findEndpoint(name: string): Endpoint | undefined {
        return this.options.getConfiguration()?.configuration.endpoints.find(endpoint =>
            endpoint.name === name
        );
    }

    private getTierName(index: number): string {
        return this.options.getConfiguration()?.configuration.tiers[index]?.name ?? "unknown";
    }
}
