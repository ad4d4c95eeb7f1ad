/**
 * Forwards one request whose body has been read: waits for an instance, sends the request, relays the response, and
 * decides whether a failed attempt may be retried. Retries are limited by the route and by a retry budget.
 */
import { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { Placement, PlacementRequest, PlacementService, VersionPolicy } from "../placement/index.js";
import type { WorkMeter } from "../processor/index.js";
import type { Quarantine } from "../quarantine/index.js";
import type { TimerService } from "../time/index.js";
import type { RetryBudget } from "./admission-limits.js";
import { type AttemptOutcome } from "./attempt-outcome.js";
import { Attempt } from "./attempt.js";
import type { EndpointTransport } from "./endpoint-transport.js";
import type { HeaderCodec } from "./header-codec.js";
import { createPeerHeaders } from "./peer-headers.js";
import type { PeerSelector } from "./peer-selector.js";
import type { RelayPace } from "./relay-pace.js";
import { type CancelReason } from "./request-lifetime.js";
import type { RequestRegions } from "./request-regions.js";
import { isFingerprint, listTraits } from "./request-traits.js";
import type { ResponseWriter } from "./response-writer.js";
import {
    computeCallerTimeoutMs,
    computeRank,
    estimateEventCount,
    estimateWorkTokens,
    isRetryable,
    type RoutedRequest,
} from "./routed-request.js";
import { StreamRelay } from "./stream-relay.js";

/** Dependencies of the forwarder. */
export interface ForwarderOptions {
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly codec: HeaderCodec;
    readonly transport: EndpointTransport;
    readonly work?: WorkMeter;
    /** Turns in which streams are relayed; without them, each event is relayed at once. */
    readonly relayPace?: RelayPace;
    readonly placement: PlacementService;
    readonly versions: VersionPolicy;
    readonly regions: RequestRegions;
    readonly retryBudget: RetryBudget;
    readonly quarantine: Quarantine;
    /** Selects other VMs for requests whose instances this VM doesn't reach. */
    readonly peers: PeerSelector;
    /** Name of this VM, and the key that all VMs share. */
    readonly identity: { readonly vm: string; readonly peerKey: string; };
}

/** How a request ended. */
export interface ForwardSummary {
    /** Status sent to the caller; 0 when the response was aborted. */
    readonly status: number;
    readonly outcome: string;
    readonly instance: string;
    /** Number of sends to instances, including those that provably did not run the request. */
    readonly sends: number;
    /** Time from arrival until the first instance was chosen, in milliseconds. */
    readonly waitedMs: number;
    /** Time from arrival to the first event of a stream, in milliseconds; -1 without one. */
    readonly firstMs: number;
    /** Predicted time from the last dispatch to the first event or response, in milliseconds; -1 without a dispatch. */
    readonly predictedMs: number;
    /** Stream events that were sent to the caller. */
    readonly events: number;
    /** Longest event gap, in milliseconds. */
    readonly longestGapMs: number;
    /** True when an endpoint may have run the request. */
    readonly mayHaveRun: boolean;
    /** Why the last attempt failed; empty without a failure. */
    readonly reason: string;
}

/** Share of the caller's timeout for which a request may wait for an instance before it is refused. */
const MAX_WAIT_TIMEOUT_SHARE = 0.45;
/**
 * Multiple of the target latency for which a request may wait for an instance. After that it would occupy a slot that
 * another request needs to be on time.
 */
const MAX_WAIT_TARGET_FACTOR = 1.4;
const MIN_WAIT_LIMIT_MS = 600;
/** Retries after sends that provably did not run. They don't count as attempts, so this bounds the work for a request. */
const MAX_NOT_RUN_RETRIES = 2;
/** Weight of a workspace without a quota, beside others without one. */
const DEFAULT_WORKSPACE_WEIGHT = 1;
/** VMs that a request is passed on to, one after the other, until one of them can serve it. */
const MAX_PEER_SENDS = 3;

/** Progress of one request over its attempts. */
interface RequestProgress {
    readonly relay: StreamRelay;
    /** Traits of the request, by which those that crash instances are recognised. */
    readonly traits: readonly string[];
    readonly excludedInstances: Set<string>;
    /** Sends that an instance may have run. */
    attempts: number;
    notRunSends: number;
    peerSends: number;
    /** True when the last send was to another VM. */
    isAtPeer: boolean;
    /** Where the next attempt goes, if that was reserved within the retry budget. */
    reservedPlacement: Placement | undefined;
    /** True while a trial lets it pass though a trait of it is quarantined. */
    isTrial: boolean;
    waitedMs: number | undefined;
    instance: string;
    predictedMs: number;
    reason: string;
    /** True when the request goes to the new version of its service in a rollout. */
    readonly isCanary: boolean;
    readonly arrivedAt: number;
}

/** Forwards requests. */
export class Forwarder {
    private constructor(private readonly options: ForwarderOptions) {}

    /** Creates a forwarder. */
    static create(options: ForwarderOptions): Forwarder {
        return new Forwarder(options);
    }

    /** Forwards a request; resolves when the response is complete or aborted. */
    async forward(request: RoutedRequest, writer: ResponseWriter): Promise<ForwardSummary> {
        if (request.peer === undefined) {
            this.options.retryBudget.recordRequest(request.service);
        }
        const progress: RequestProgress = {
            relay: StreamRelay.create(writer, this.options.timers),
            traits: listTraits(request),
            arrivedAt: request.arrivedAt,
            excludedInstances: new Set(),
            attempts: 0,
            notRunSends: 0,
            peerSends: 0,
            isAtPeer: false,
            reservedPlacement: undefined,
            isTrial: false,
            waitedMs: undefined,
            instance: "",
            predictedMs: -1,
            reason: "",
            isCanary: this.options.versions.chooseCanary(request.service),
        };
        try {
            return await this.attemptUntilEnded(request, writer, progress);
        }
        finally {
            progress.reservedPlacement?.release(undefined, "no attempt followed");
        }
    }

    private async attemptUntilEnded(
        request: RoutedRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
    ): Promise<ForwardSummary> {
        for (;;) {
            const placement = this.findQuarantineError(progress)
                ?? await this.acquireUnlessObsolete(request, progress);
            if (placement instanceof SchedulerError) {
                return this.finishWithError(
                    writer,
                    progress,
                    this.createPlacementError(request, progress, placement),
                );
            }
            const outcome = await this.send(request, writer, progress, placement);
            const summary = this.evaluateOutcome(request, writer, progress, outcome);
            if (summary !== undefined) {
                return summary;
            }
        }
    }

    /**
     * While this VM reaches too few instances, takes a free slot on one of them or another VM, which may reach more. A
     * request that another VM has passed on goes no further. Undefined when the request is to wait for an instance.
     */
    private acquireWhenCutOff(
        request: RoutedRequest,
        progress: RequestProgress,
    ): Placement | SchedulerError | undefined {
        const { placement, peers } = this.options;
        const placementRequest = this.createPlacementRequest(request, progress);
        if (!placement.isCutOff(placementRequest)) {
            return undefined;
        }
        const placed = placement.tryAcquire(placementRequest)
            ?? (request.peer === undefined && progress.peerSends < MAX_PEER_SENDS
                ? peers.select({
                    service: request.service,
                    excludedIds: progress.excludedInstances,
                    allowedRegions: placementRequest.allowedRegions,
                    configurationVersion: request.configurationVersion,
                })
                : undefined);
        if (placed !== undefined) {
            progress.waitedMs ??= this.options.timers.now() - request.arrivedAt;
            return placed;
        }
        return request.peer === undefined
            ? undefined
            : SchedulerError.create("EndpointUnreachable", {
                endpoint: request.service,
                reason: "too few of its instances are reachable",
            }, { retryAfterMs: placement.computeRetryAfterMs(request.lifetime.remainingMs) });
    }

    /** Finds where to send the request; meanwhile it may be cancelled, or one of its traits quarantined. */
    private async acquireUnlessObsolete(
        request: RoutedRequest,
        progress: RequestProgress,
    ): Promise<Placement | SchedulerError> {
        const placement = this.takeReservedPlacement(request, progress)
            ?? this.acquireWhenCutOff(request, progress)
            ?? await this.acquire(request, progress);
        const { cancelReason } = request.lifetime;
        const error = cancelReason === undefined
            ? this.findQuarantineError(progress)
            : this.createCancelError(cancelReason, progress);
        if (placement instanceof SchedulerError) {
            return placement;
        }
        if (error === undefined) {
            progress.isTrial ||= this.options.quarantine.startTrials(progress.traits);
            return placement;
        }
        placement.release(undefined, error.message);
        return error;
    }

    /** Returns the reserved placement, unless the request may no longer go there. */
    private takeReservedPlacement(request: RoutedRequest, progress: RequestProgress): Placement | undefined {
        const { reservedPlacement } = progress;
        progress.reservedPlacement = undefined;
        if (
            reservedPlacement === undefined
            || this.options.placement.isPermitted(
                reservedPlacement,
                this.createPlacementRequest(request, progress),
            )
        ) {
            return reservedPlacement;
        }
        reservedPlacement.release(undefined, "the request may no longer go there");
        return undefined;
    }

    private findQuarantineError(progress: RequestProgress): SchedulerError | undefined {
        const quarantined = progress.isTrial
            ? undefined
            : this.options.quarantine.findRefusal(progress.traits);
        if (quarantined === undefined) {
            return undefined;
        }
        const { trait, remainingMs: retryAfterMs } = quarantined;
        const error = isFingerprint(trait)
            ? SchedulerError.create("RequestQuarantined", { request: trait }, { retryAfterMs })
            : SchedulerError.create("PromptQuarantined", { block: trait }, { retryAfterMs });
        progress.reason = error.message;
        return error;
    }

    private async acquire(
        request: RoutedRequest,
        progress: RequestProgress,
    ): Promise<Placement | SchedulerError> {
        const { timers, placement } = this.options;
        const placed = await placement.acquire(
            this.createPlacementRequest(request, progress),
            { subscribe: listener => request.lifetime.subscribe(listener) },
        );
        progress.waitedMs ??= timers.now() - request.arrivedAt;
        return placed.isOk() ? placed.value : placed.error;
    }

    /**
     * Waits for a slot for the next attempt and opens a connection to its instance, while the attempt before goes on: over a
     * link that holds up one response, other instances may be out of reach too. Undefined when there is no such instance, or
     * when the response can't be continued.
     */
    private async prepareRetry(
        request: RoutedRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        signal: AbortSignal,
    ): Promise<Placement | undefined> {
        const { transport, placement, retryBudget } = this.options;
        // A response that has started can be continued only as a stream.
        if ((writer.hasStarted && !progress.relay.hasStarted) || !retryBudget.canRetry(request.service)) {
            return undefined;
        }
        const placed = this.acquireWhenCutOff(request, progress)
            ?? (await placement.acquire(
                this.createPlacementRequest(request, progress, request.lifetime.deadlineAt),
                { subscribe: listener => subscribeToAbort(signal, listener) },
            )).unwrapOr(undefined);
        if (placed === undefined || placed instanceof SchedulerError) {
            return undefined;
        }
        if (await transport.open(placed.instance)) {
            return placed;
        }
        progress.excludedInstances.add(placed.instance.id);
        placed.release("unreachable", "no connection for the next attempt");
        return undefined;
    }

    private confirmRetry(request: RoutedRequest, progress: RequestProgress, next: Placement): boolean {
        if (!this.options.retryBudget.tryRetry(request.service)) {
            return false;
        }
        progress.reservedPlacement = next;
        return true;
    }

    /** Creates the request for a slot; by default it waits as long as the route's target latency allows. */
    private createPlacementRequest(
        request: RoutedRequest,
        progress: RequestProgress,
        waitUntil = this.computeWaitUntil(request, progress),
    ): PlacementRequest {
        const { regions } = this.options;
        const { metadata, route, workspace, lifetime } = request;
        return {
            requestId: metadata.attemptId,
            service: request.service,
            route: route.name,
            workspace: workspace?.name,
            workspaceWeight: workspace?.quota?.ratePerS ?? DEFAULT_WORKSPACE_WEIGHT,
            workTokens: estimateWorkTokens(request),
            // Read at each use, since the configuration may change while the request waits.
            get allowedRegions() {
                return regions.getAllowed(request);
            },
            rank: computeRank(route, workspace),
            isEngine: request.tokensPerEvent !== undefined,
            promptTokens: metadata.tokens?.prompt ?? 0,
            promptBlocks: metadata.promptBlocks,
            expectedEvents: estimateEventCount(request),
            remainingMs: lifetime.remainingMs,
            gapTargetMs: route.gapTargetMs,
            arrivedAt: request.arrivedAt,
            earlierAttemptsMs: request.earlierAttemptsMs,
            targetLatencyMs: route.targetLatencyMs,
            waitUntil,
            isCanary: progress.isCanary,
            excludedInstances: progress.excludedInstances,
        };
    }

    private computeWaitUntil(request: RoutedRequest, progress: RequestProgress): number {
        const { route, lifetime, arrivedAt } = request;
        const callerTimeoutMs = Math.min(computeCallerTimeoutMs(request), lifetime.remainingMs);
        return Math.max(arrivedAt, progress.attempts === 0 ? 0 : this.options.timers.now())
            + Math.min(
                callerTimeoutMs * MAX_WAIT_TIMEOUT_SHARE,
                Math.max(MIN_WAIT_LIMIT_MS, route.targetLatencyMs * MAX_WAIT_TARGET_FACTOR),
            );
    }

    private async send(
        request: RoutedRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        placement: Placement,
    ): Promise<AttemptOutcome> {
        progress.instance = placement.instance.id;
        progress.predictedMs = placement.predictedMs;
        progress.excludedInstances.add(placement.instance.id);
        progress.isAtPeer = placement.isPeer;
        if (placement.isPeer) {
            progress.peerSends += 1;
            this.options.logger.write("RequestPassedOn", {
                id: request.metadata.attemptId,
                service: request.service,
                to: placement.instance.id,
                sends: progress.peerSends,
                version: request.configurationVersion,
            });
        }
        try {
            return await Attempt.create({
                ...this.options,
                request,
                writer,
                relay: progress.relay,
                traits: progress.traits,
                placement,
                isLast: placement.isPeer || !isRetryable(request)
                    || progress.attempts + 1 >= request.route.maxAttempts,
                prepareRetry: signal => this.prepareRetry(request, writer, progress, signal),
                confirmRetry: next => this.confirmRetry(request, progress, next),
                createPeerHeaders: elapsedMs =>
                    createPeerHeaders(
                        {
                            vm: this.options.identity.vm,
                            elapsedMs,
                            allowedRegions: this.options.regions.getAllowed(request),
                            configurationVersion: request.configurationVersion,
                            isRepeatable: isRetryable(request),
                        },
                        this.options.identity.peerKey,
                    ),
            })
                .run();
        }
        finally {
            // Without effect unless the attempt threw.
            placement.release(undefined, "the attempt failed");
        }
    }

    /** Returns the summary when the request ends with this attempt; undefined when it is to be retried. */
    private evaluateOutcome(
        request: RoutedRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        outcome: AttemptOutcome,
    ): ForwardSummary | undefined {
        if (outcome.kind === "answered") {
            progress.attempts += 1;
            return this.summarize(progress, outcome.status, "answered", true);
        }
        progress.reason = outcome.reason;
        const isNotRun = outcome.kind === "not-run";
        // A trial is one request that reaches an instance.
        progress.isTrial &&= isNotRun && !outcome.hasArrived;
        progress.attempts += isNotRun ? 0 : 1;
        progress.notRunSends += isNotRun && !progress.isAtPeer ? 1 : 0;
        const { cancelReason } = request.lifetime;
        if (cancelReason !== undefined) {
            return this.finishWithError(writer, progress, this.createCancelError(cancelReason, progress));
        }
        if (isNotRun && progress.isAtPeer && outcome.cause === "full") {
            const { retryAfterMs = this.options.placement.computeRetryAfterMs() } = outcome;
            return this.finishWithError(
                writer,
                progress,
                SchedulerError.create("Overloaded", { tier: "any" }, { retryAfterMs }),
            );
        }
        const canRetry = isNotRun
            ? progress.notRunSends <= MAX_NOT_RUN_RETRIES
            // The other VM has used the attempts of a request that it sent to an instance.
            : !progress.isAtPeer && isRetryable(request)
                && progress.attempts < request.route.maxAttempts
                // A response that has started can be continued only as a stream.
                && (!writer.hasStarted || progress.relay.hasStarted)
                && !(outcome.isConnectionLost
                    && this.options.quarantine.isSuspicious(progress.traits));
        const isFree = isNotRun && !outcome.hasArrived;
        const isAllowed = isFree || progress.reservedPlacement !== undefined;
        if (canRetry && (isAllowed || this.options.retryBudget.tryRetry(request.service))) {
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

    private createFailure(progress: RequestProgress, reason: string): SchedulerError {
        const endpoint = progress.instance;
        const retryAfterMs = this.options.placement.computeRetryAfterMs();
        return progress.attempts === 0
            ? SchedulerError.create("EndpointUnreachable", { endpoint, reason }, { retryAfterMs })
            : SchedulerError.create("EndpointFailed", { endpoint, reason });
    }

    /**
     * Returns the error for a request that got no instance. Once it may have run, it can't be refused as not run any
     * more, unless running it again does no harm and the caller has received no event.
     */
    private createPlacementError(
        request: RoutedRequest,
        progress: RequestProgress,
        error: SchedulerError,
    ): SchedulerError {
        const { cancelReason } = request.lifetime;
        if (cancelReason !== undefined) {
            return this.createCancelError(cancelReason, progress);
        }
        const isQuarantined = error.name === "PromptQuarantined" || error.name === "RequestQuarantined";
        const canRefuse = !isQuarantined && isRetryable(request)
            && !progress.relay.eventCount;
        return progress.attempts === 0 || canRefuse
            ? error
            : this.createFailure(progress, error.message);
    }

    private createCancelError(reason: CancelReason, progress: RequestProgress): SchedulerError {
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
        progress: RequestProgress,
        error: SchedulerError,
    ): ForwardSummary {
        const status = writer.hasStarted ? 0 : error.entry.status;
        writer.sendError(error);
        return this.summarize(progress, status, error.name, progress.attempts > 0);
    }

    private summarize(
        progress: RequestProgress,
        status: number,
        outcome: string,
        mayHaveRun: boolean,
    ): ForwardSummary {
        return {
            status,
            outcome,
            instance: progress.instance,
            sends: progress.attempts + progress.notRunSends,
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

const subscribeToAbort = (signal: AbortSignal, listener: () => void): () => void => {
    if (signal.aborted) {
        listener();
    }
    signal.addEventListener("abort", listener, { once: true });
    return () => signal.removeEventListener("abort", listener);
};
