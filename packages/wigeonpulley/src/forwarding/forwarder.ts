/**
 * Serves one request from its last byte to the last byte of its answer: waits for an instance, sends the request, passes
 * the answer back, and decides whether it may be sent again.
 */
import { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { Placement, PlacementService, VersionPolicy } from "../placement/index.js";
import type { TimerService } from "../time/index.js";
import type { RetryBudget } from "./admission-limits.js";
import { Attempt, type AttemptOutcome } from "./attempt.js";
import type { EndpointTransport } from "./endpoint-transport.js";
import type { HeaderCodec } from "./header-codec.js";
import { type CancelReason } from "./request-lifetime.js";
import type { ResponseWriter } from "./response-writer.js";
import {
    computeCallerTimeoutMs,
    computeRank,
    estimateEventCount,
    isRetryable,
    type RoutedRequest,
} from "./routed-request.js";
import { StreamRelay } from "./stream-relay.js";

/** What the forwarder is built from. */
export interface ForwarderOptions {
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly codec: HeaderCodec;
    readonly transport: EndpointTransport;
    readonly placement: PlacementService;
    readonly versions: VersionPolicy;
    readonly retryBudget: RetryBudget;
}

/** How a request ended. */
export interface ForwardSummary {
    /** Status sent to the caller; 0 when the connection was cut. */
    readonly status: number;
    readonly outcome: string;
    readonly instance: string;
    /** Endpoints that the request was sent to. */
    readonly sends: number;
    /** Time until the first endpoint was chosen, in milliseconds. */
    readonly waitedMs: number;
    /** Time until the first byte of the answer came, in milliseconds; -1 without one. */
    readonly firstMs: number;
    /** Expected time from the last dispatch to the first byte, in milliseconds; -1 without a dispatch. */
    readonly predictedMs: number;
    /** Events of a stream that the caller got. */
    readonly events: number;
    /** Longest time between two events, in milliseconds. */
    readonly longestGapMs: number;
    /** True when an endpoint may have run the request. */
    readonly mayHaveRun: boolean;
    /** Why the last send failed; empty without a failure. */
    readonly reason: string;
}

/** Share of the caller's patience for which a request may wait before it is told to come back. */
const WAIT_SHARE = 0.45;
/** Times the target latency for which a request may wait; later it holds a place that another one needs to be on time. */
const WAIT_TARGETS = 1.4;
const WAIT_SHORTEST_MS = 600;
/** Sends that endpoints refused unread and that do not count as attempts; bounds the work for one request. */
const MOST_REFUSED_SENDS = 2;

/** Progress of one request. */
interface Progress {
    readonly relay: StreamRelay;
    readonly excluded: Set<string>;
    /** Sends that an endpoint may have run. */
    attempts: number;
    refusedSends: number;
    waitedMs: number | undefined;
    instance: string;
    predictedMs: number;
    reason: string;
    /** True when the request tries a new version of its service. */
    readonly isTrial: boolean;
    readonly arrivedAt: number;
}

/** Forwards requests. */
export class Forwarder {
    private constructor(private readonly options: ForwarderOptions) {}

    /** Creates a forwarder. */
    static create(options: ForwarderOptions): Forwarder {
        return new Forwarder(options);
    }

    /** Serves a request; resolves when its answer is complete or cut. */
    async forward(request: RoutedRequest, writer: ResponseWriter): Promise<ForwardSummary> {
        this.options.retryBudget.recordRequest(request.service);
        const progress: Progress = {
            relay: StreamRelay.create(writer, this.options.timers),
            arrivedAt: request.arrivedAt,
            excluded: new Set(),
            attempts: 0,
            refusedSends: 0,
            waitedMs: undefined,
            instance: "",
            predictedMs: -1,
            reason: "",
            isTrial: this.options.versions.chooseCanary(request.service),
        };
        for (;;) {
            const placement = await this.acquire(request, progress);
            if (placement instanceof SchedulerError) {
                return this.finishWithError(writer, progress, this.explain(request, progress, placement));
            }
            const outcome = await this.send(request, writer, progress, placement);
            const end = this.judge(request, writer, progress, outcome);
            if (end !== undefined) {
                return end;
            }
        }
    }

    private async acquire(request: RoutedRequest, progress: Progress): Promise<Placement | SchedulerError> {
        const { timers, placement } = this.options;
        const { metadata, route, workspace, lifetime } = request;
        const patienceMs = Math.min(computeCallerTimeoutMs(request), lifetime.remainingMs);
        const placed = await placement.acquire({
            requestId: metadata.attemptId,
            service: request.service,
            route: route.name,
            rank: computeRank(route, workspace),
            isEngine: request.tokensPerEvent !== undefined,
            promptTokens: metadata.tokens?.prompt ?? 0,
            promptBlocks: metadata.promptParts,
            expectedEvents: estimateEventCount(request),
            remainingMs: lifetime.remainingMs,
            gapTargetMs: route.gapTargetMs,
            arrivedAt: request.arrivedAt,
            earlierAttemptsMs: request.earlierAttemptsMs,
            targetLatencyMs: route.targetLatencyMs,
            waitUntil: Math.max(request.arrivedAt, progress.attempts === 0 ? 0 : timers.now())
                + Math.min(
                    patienceMs * WAIT_SHARE,
                    Math.max(WAIT_SHORTEST_MS, route.targetLatencyMs * WAIT_TARGETS),
                ),
            isCanary: progress.isTrial,
            excludedInstances: progress.excluded,
        }, { subscribe: listener => lifetime.subscribe(listener) });
        progress.waitedMs ??= timers.now() - request.arrivedAt;
        return placed.isOk() ? placed.value : placed.error;
    }

    private send(
        request: RoutedRequest,
        writer: ResponseWriter,
        progress: Progress,
        placement: Placement,
    ): Promise<AttemptOutcome> {
        progress.instance = placement.instance.id;
        progress.predictedMs = placement.predictedMs;
        progress.excluded.add(placement.instance.id);
        return Attempt.create({ ...this.options, request, writer, relay: progress.relay, placement }).run();
    }

    /** Decides what follows an attempt: the end of the request, or another attempt when it returns undefined. */
    private judge(
        request: RoutedRequest,
        writer: ResponseWriter,
        progress: Progress,
        outcome: AttemptOutcome,
    ): ForwardSummary | undefined {
        if (outcome.kind === "answered") {
            progress.attempts += 1;
            return this.summarize(progress, outcome.status, "answered", true);
        }
        progress.reason = outcome.reason;
        const isNotRun = outcome.kind === "not-run";
        progress.attempts += isNotRun ? 0 : 1;
        progress.refusedSends += isNotRun ? 1 : 0;
        const { cancelReason } = request.lifetime;
        if (cancelReason !== undefined) {
            return this.finishWithError(writer, progress, this.createEndError(cancelReason, progress));
        }
        const mayGoOn = isNotRun
            ? progress.refusedSends <= MOST_REFUSED_SENDS
            : isRetryable(request.route) && progress.attempts < request.route.maxAttempts;
        if (mayGoOn && this.options.retryBudget.tryRetry(request.service)) {
            this.options.logger.write("RequestRepeated", {
                id: request.metadata.attemptId,
                instance: progress.instance,
                reason: outcome.reason,
                attempts: progress.attempts,
                lastEventId: progress.relay.lastEventId ?? "",
            });
            return undefined;
        }
        if (outcome.kind === "failed" && outcome.forwardResponse !== undefined && !writer.hasStarted) {
            outcome.forwardResponse();
            return this.summarize(progress, outcome.status, outcome.reason, true);
        }
        return this.finishWithError(writer, progress, this.createFailure(progress, outcome.reason));
    }

    private createFailure(progress: Progress, reason: string): SchedulerError {
        const endpoint = progress.instance;
        const retryAfterMs = this.options.placement.computeRetryAfterMs();
        return progress.attempts === 0
            ? SchedulerError.create("EndpointUnreachable", { endpoint, reason }, { retryAfterMs })
            : SchedulerError.create("EndpointFailed", { endpoint, reason });
    }

    /** A request that was sent before can't be refused as not run any more. */
    private explain(request: RoutedRequest, progress: Progress, error: SchedulerError): SchedulerError {
        const { cancelReason } = request.lifetime;
        if (cancelReason !== undefined) {
            return this.createEndError(cancelReason, progress);
        }
        return progress.attempts === 0 || isRetryable(request.route) && !progress.relay.eventCount
            ? error
            : this.createFailure(progress, error.message);
    }

    private createEndError(reason: CancelReason, progress: Progress): SchedulerError {
        if (reason === "caller-gone") {
            return SchedulerError.create("RequestCancelled", {});
        }
        const retryAfterMs = this.options.placement.computeRetryAfterMs();
        if (progress.attempts > 0) {
            return SchedulerError.create("DeadlineExceeded", {});
        }
        return reason === "shutdown"
            ? SchedulerError.create("Stopping", {}, { retryAfterMs })
            : SchedulerError.create("Overloaded", { tier: "any" }, { retryAfterMs });
    }

    private finishWithError(
        writer: ResponseWriter,
        progress: Progress,
        error: SchedulerError,
    ): ForwardSummary {
        const status = writer.hasStarted ? 0 : error.entry.status;
        writer.sendError(error);
        return this.summarize(progress, status, error.name, progress.attempts > 0);
    }

    private summarize(
        progress: Progress,
        status: number,
        outcome: string,
        mayHaveRun: boolean,
    ): ForwardSummary {
        return {
            status,
            outcome,
            instance: progress.instance,
            sends: progress.attempts + progress.refusedSends,
            waitedMs: Math.round(progress.waitedMs ?? 0),
            firstMs: Math.round(
                progress.relay.firstEventAt === undefined
                    ? -1
                    : progress.relay.firstEventAt - progress.arrivedAt,
            ),
            predictedMs: Math.round(progress.predictedMs),
            events: progress.relay.eventCount,
            longestGapMs: Math.round(progress.relay.longestGapMs),
            mayHaveRun,
            reason: outcome === "answered" ? "" : progress.reason,
        };
    }
}
