/**
 * Serves requests for plain services. A request that must not run twice is claimed in the log first; its replays get
 * the recorded response.
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { ClaimHandle, ClaimService } from "../claims/index.js";
import type { EndpointClient, ServiceResponse } from "../endpoints/index.js";
import { createProblemBody, SchedulerError } from "../errors/index.js";
import { Outcome } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { computeDigest } from "../hashing/index.js";
import type { MetricsRegistry } from "../metrics/index.js";
import type { TicketClient } from "../scheduling/index.js";
import type { TimerService } from "../time/index.js";
import type { ServiceRequest } from "./caller-request.js";
import type { Dispatcher } from "./dispatcher.js";
import { createDispatchRequest, createEndpointRequest, type RequestContext } from "./request-context.js";

/** Dependencies of a service request handler. */
export interface ServiceRequestHandlerOptions {
    readonly timers: TimerService;
    readonly metrics: MetricsRegistry;
    readonly tickets: TicketClient;
    readonly endpoints: EndpointClient;
    readonly claims: ClaimService;
    readonly dispatcher: Dispatcher;
}

/** A response with its complete body. */
export interface BufferedResponse extends ServiceResponse {
    readonly kind: "whole";
    readonly requestId: string;
}

/** Handles the service requests of one gateway. */
export class ServiceRequestHandler {
    private constructor(private readonly options: ServiceRequestHandlerOptions) {}

    /** Creates a handler. */
    static create(options: ServiceRequestHandlerOptions): ServiceRequestHandler {
        return new ServiceRequestHandler(options);
    }

    /**
     * Serves a request. One that is not idempotent is claimed first, and a replay gets the recorded response.
     * Finishes the open request in every case.
     */
    async serve(context: RequestContext<ServiceRequest>): Promise<Result<BufferedResponse, SchedulerError>> {
        const { id, caller, request, match, openRequest } = context;
        if (match.selector.idempotent || request.idempotencyKey === undefined) {
            const response = await this.runRequest(context);
            openRequest.finish();
            return response;
        }
        const key = computeDigest(`${caller.workspace}\n${request.idempotencyKey}`);
        const digest = computeDigest(
            `${request.method}\n${request.service}\n${request.path}\n${request.body}`,
        );
        const decision = await this.options.claims.claim(key, digest, context.deadlineAt);
        if (decision.isErr()) {
            openRequest.finish();
            return decision;
        }
        if (decision.value.kind === "repeat") {
            openRequest.finish();
            return Ok({ kind: "whole", requestId: id, ...decision.value.answer });
        }
        const response = await this.runRequest(context);
        // The request stays open until its outcome is recorded, so that a graceful shutdown waits for the log.
        void this.recordOutcome(decision.value.claim, response).finally(openRequest.finish);
        return response;
    }

    /** Records the outcome of a claimed request in the log: released if it did not run, completed otherwise. */
    private recordOutcome(
        claim: ClaimHandle,
        response: Result<BufferedResponse, SchedulerError>,
    ): Promise<void> {
        const { claims } = this.options;
        if (response.isOk()) {
            const { status, contentType, body } = response.value;
            return claims.complete(claim, status, contentType, body);
        }
        if (response.error.entry.notRun) {
            return claims.release(claim);
        }
        const problem = createProblemBody(SchedulerError.create("OutcomeUnknown", {}));
        return claims.complete(claim, problem.status, "application/problem+json", JSON.stringify(problem));
    }

    private async runRequest(
        context: RequestContext<ServiceRequest>,
    ): Promise<Result<BufferedResponse, SchedulerError>> {
        const { timers, tickets, metrics, endpoints } = this.options;
        const { id, request, match, receivedAt, deadlineAt } = context;
        const deadline = new AbortController();
        const cancelDeadline = timers.schedule(deadlineAt - timers.now(), () => deadline.abort());
        const dispatched = await this.options.dispatcher.dispatch(
            createDispatchRequest(context, undefined),
            (endpoint, permit) => {
                context.openRequest.recordDispatch();
                const endpointRequest = createEndpointRequest(id, request);
                return endpoints.dispatchToService(endpoint, permit, endpointRequest, deadline.signal);
            },
        );
        cancelDeadline();
        if (dispatched.isErr()) {
            return Err(
                deadline.signal.aborted && !dispatched.error.entry.notRun
                    ? SchedulerError.create("DeadlineExceeded", {})
                    : dispatched.error,
            );
        }
        const { slot, response, dispatchedAt } = dispatched.value;
        const durationMs = Math.round(timers.now() - dispatchedAt);
        tickets.release(slot, {
            outcome: Outcome.COMPLETED,
            firstTokenMs: durationMs,
            tokens: 1,
            durationMs,
        });
        metrics.recordPhase(match.tier.name, "total", timers.now() - receivedAt);
        metrics.recordRequest(match.tier.name, "completed");
        return Ok({ kind: "whole", requestId: id, ...response });
    }
}
