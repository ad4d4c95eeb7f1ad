/** Acquires a slot for a request and dispatches it there; retries only when the endpoint provably did not run it. */
import { Err, Ok, type Result } from "ts-results-es";
import type { Endpoint, SelectorMatch } from "../config/index.js";
import { DispatchPermit, type DispatchResult } from "../endpoints/index.js";
import { SchedulerError } from "../errors/index.js";
import { Outcome } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { EventLogger } from "../logging/index.js";
import type { Slot, SlotRequest, TicketClient } from "../scheduling/index.js";
import type { TimerService } from "../time/index.js";
import type { RetryBudgets } from "./retry-budgets.js";

/** Dependencies of a dispatcher. */
export interface DispatcherOptions {
    readonly tickets: TicketClient;
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly retryBudgets: RetryBudgets;
    readonly findEndpoint: (name: string) => Endpoint | undefined;
}

/** A request that needs a slot and a dispatch. */
export interface DispatchRequest {
    readonly id: string;
    readonly caller: string;
    readonly match: SelectorMatch;
    /** Monotonic time of the deadline, in milliseconds. */
    readonly deadlineAt: number;
    /** Time from the arrival to the deadline, in milliseconds. */
    readonly allowedMs: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly prefixBlocks: readonly number[];
    readonly signal: AbortSignal;
}

/** A request that an endpoint accepted. */
export interface DispatchedRequest<Response> {
    readonly slot: Slot;
    readonly endpoint: Endpoint;
    readonly response: Response;
    /** Monotonic time of the dispatch, in milliseconds. */
    readonly dispatchedAt: number;
}

/** Measurements of a slot that no response came from. */
const NO_MEASUREMENTS = { firstTokenMs: 0, tokens: 0, durationMs: 0 };

/** Retry-after when no endpoint could be reached, in milliseconds. */
const UNREACHABLE_RETRY_AFTER_MS = 1_000;

/** Dispatches the requests of one gateway. */
export class Dispatcher {
    private constructor(private readonly options: DispatcherOptions) {}

    /** Creates a dispatcher. */
    static create(options: DispatcherOptions): Dispatcher {
        return new Dispatcher(options);
    }

    /**
     * Acquires slots and dispatches until an endpoint has accepted the request or the caller's retry budget is used up.
     * `send` may return a permit only with a proof that the request did not run; any other failure is returned
     * without a retry.
     */
    async dispatch<Response>(
        request: DispatchRequest,
        send: (endpoint: Endpoint, permit: DispatchPermit) => Promise<DispatchResult<Response>>,
    ): Promise<Result<DispatchedRequest<Response>, SchedulerError>> {
        const { tickets, timers, logger, retryBudgets } = this.options;
        const excludedEndpoints: string[] = [];
        let permit = DispatchPermit.create(request.id);
        for (;;) {
            const slotRequest: SlotRequest = { ...request, excludedEndpoints };
            const acquired = await tickets.acquire(slotRequest);
            if (acquired.isErr()) {
                permit.discard();
                return acquired;
            }
            const slot = acquired.value;
            const endpoint = this.options.findEndpoint(slot.endpoint);
            if (endpoint === undefined || request.signal.aborted) {
                tickets.release(slot, { outcome: Outcome.UNUSED, ...NO_MEASUREMENTS });
                if (request.signal.aborted) {
                    permit.discard();
                    return Err(SchedulerError.create("RequestCancelled", {}));
                }
                excludedEndpoints.push(slot.endpoint);
                continue;
            }
            logger.write("RequestDispatched", {
                id: request.id,
                endpoint: endpoint.name,
                tier: request.match.tier.name,
            });
            retryBudgets.deposit(request.caller);
            const dispatchedAt = timers.now();
            const result = await send(endpoint, permit);
            if (result.isOk()) {
                return Ok({ slot, endpoint, response: result.value, dispatchedAt });
            }
            const failure = result.error;
            const outcome = failure.kind === "not-sent" ? Outcome.NOT_SENT : Outcome.FAILED;
            tickets.release(slot, { outcome, ...NO_MEASUREMENTS });
            if (failure.kind !== "not-sent") {
                return Err(failure.error);
            }
            logger.write("DispatchReturned", {
                id: request.id,
                endpoint: endpoint.name,
                reason: failure.error.message,
            });
            if (!retryBudgets.tryWithdraw(request.caller)) {
                failure.permit.discard();
                const reason = "the retry budget is used up";
                return Err(SchedulerError.create(
                    "EndpointUnreachable",
                    { endpoint: endpoint.name, reason },
                    { retryAfterMs: UNREACHABLE_RETRY_AFTER_MS },
                ));
            }
            excludedEndpoints.push(endpoint.name);
            permit = failure.permit;
        }
    }
}
