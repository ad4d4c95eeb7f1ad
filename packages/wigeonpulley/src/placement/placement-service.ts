/**
 * Assigns each request an instance or queues it until a slot is free. Requests queue here because endpoints admit in
 * order of arrival and don't know priority ranks.
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { Evacuations, Instance, InstanceDirectory } from "../discovery/index.js";
import { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";
import { DataCentreRegions, formatQueueName } from "./allowed-regions.js";
import type { ColdInstances } from "./cold-instances.js";
import { type ChoiceFailure, type InstanceChoice, InstanceChooser } from "./instance-chooser.js";
import { InstanceHealth } from "./instance-health.js";
import { InstanceLoads } from "./instance-loads.js";
import type { InstanceRateLimits } from "./instance-rate-limits.js";
import type { LearnedConcurrency } from "./learned-concurrency.js";
import type { PaceObservation } from "./pace-observation.js";
import type { PeerLoads } from "./peer-loads.js";
import type { PlacementRequest, WaitCancellation } from "./placement-request.js";
import { InstancePlacement, Placement, type ReleaseOutcome } from "./placement.js";
import { RankFairness } from "./rank-fairness.js";
import { type QueuedRequest, RankQueue } from "./rank-queue.js";
import { RankReservation } from "./rank-reservation.js";
import { computeRetryDelayMs } from "./retry-delay.js";
import type { VersionPolicy } from "./version-policy.js";

/** Options of the service. */
export interface PlacementServiceOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly directory: InstanceDirectory;
    readonly evacuations: Evacuations;
    readonly peers: PeerLoads;
    readonly rateLimits: InstanceRateLimits;
    readonly coldInstances: ColdInstances;
    /** Concurrency that instances take well; without it, only their slots limit it. */
    readonly learnedConcurrency?: LearnedConcurrency;
    readonly versions: VersionPolicy;
    readonly dataCentre: string;
    readonly region: string;
    /** Region by data centre. */
    readonly regions: Readonly<Record<string, string>>;
}

/** Share of the target latency within which a request has to start to be on time; the rest is for its first event. */
const START_SHARE = 0.75;
/** Interval at which waiting requests are checked again when no event triggers a check, in milliseconds. */
const RECHECK_INTERVAL_MS = 50;
/** Share of an instance's slots in use from which slots count as scarce. */
const CONTENDED_SHARE = 0.7;

interface Waiter extends QueuedRequest {
    readonly request: PlacementRequest;
    readonly settle: (result: Result<Placement, SchedulerError>) => void;
}

/** Number of a service's waiting requests with the same rank and allowed regions. */
export interface QueueLength {
    readonly service: string;
    readonly rank: number;
    readonly count: number;
    /** Regions to which the requests are bound, sorted; absent for requests that may go anywhere. */
    readonly allowedRegions?: readonly string[];
}

interface ServiceQueue {
    readonly queue: RankQueue<Waiter>;
    readonly reservation: RankReservation;
    readonly fairness: RankFairness;
}

/** Queues and dispatches the requests of one VM. */
export class PlacementService {
    readonly health: InstanceHealth;
    private readonly queues = new Map<string, ServiceQueue>();
    private readonly loads: InstanceLoads;
    private readonly chooser: InstanceChooser;
    private readonly regions: DataCentreRegions;
    private isRecheckScheduled = false;

    private constructor(private readonly options: PlacementServiceOptions) {
        this.health = InstanceHealth.create(options.timers, options.logger);
        this.loads = InstanceLoads.create(options.timers, options.peers);
        this.regions = DataCentreRegions.create(options.regions);
        this.chooser = InstanceChooser.create({
            ...options,
            loads: this.loads,
            health: this.health,
            regions: this.regions,
        });
        options.directory.subscribe(() => this.applyDirectory());
        options.evacuations.subscribe(() => this.dispatchAllQueues());
    }

    /** Creates empty queues. */
    static create(options: PlacementServiceOptions): PlacementService {
        return new PlacementService(options);
    }

    /**
     * Waits for a slot on an instance. Fails with NoEndpoint, RegionUnavailable, Overloaded or RequestCancelled; in each
     * case the request has not been sent. RegionUnavailable comes at once when no wait can help.
     */
    acquire(
        request: PlacementRequest,
        cancellation: WaitCancellation,
    ): Promise<Result<Placement, SchedulerError>> {
        const { timers } = this.options;
        const { queue, reservation } = this.getQueue(request.service);
        if (this.isOutOfReach(request)) {
            this.writeRefusal(queue, request, []);
            return Promise.resolve(Err(this.createRefusal(request, [])));
        }
        reservation.recordRequest(request.rank, timers.now());
        return new Promise(resolve => {
            let unsubscribe = (): void => undefined;
            let cancelTimeout = (): void => undefined;
            const waiter: Waiter = {
                request,
                rank: request.rank,
                arrivedAt: request.arrivedAt,
                latestOnTimeStartAt: request.arrivedAt - request.earlierAttemptsMs
                    + request.targetLatencyMs * START_SHARE,
                settle: result => {
                    unsubscribe();
                    cancelTimeout();
                    resolve(result);
                },
            };
            queue.add(waiter);
            this.dispatchQueue(request.service);
            if (queue.has(waiter)) {
                cancelTimeout = timers.schedule(
                    request.waitUntil - timers.now(),
                    () => this.refuse(queue, waiter),
                );
                unsubscribe = cancellation.subscribe(() => {
                    queue.remove(waiter);
                    waiter.settle(Err(SchedulerError.create("RequestCancelled", {})));
                });
            }
        });
    }

    /**
     * Occupies a slot at once; undefined when the request would have to wait. For requests that needn't wait here,
     * since another VM can serve them.
     */
    tryAcquire(request: PlacementRequest): Placement | undefined {
        const { queue, fairness } = this.getQueue(request.service);
        if (queue.length > 0) {
            return undefined;
        }
        const rank = fairness.computeEffectiveRank(request.rank, this.options.timers.now());
        const placement = this.place(request, rank, 1);
        return placement instanceof Placement ? placement : undefined;
    }

    /**
     * True while this VM reaches fewer than half of the instances that a request may use. Then other VMs may still reach
     * them.
     */
    isCutOff(request: PlacementRequest): boolean {
        const ready = this.listRegistered(request).filter(instance =>
            instance.state === "ready" && this.chooser.isPermitted(instance, request)
        );
        return ready.filter(({ id }) => this.health.isUnreachable(id)).length * 2 > ready.length;
    }

    /**
     * True when the request may go where it was placed: its regions, or the evacuated data centres, may have changed since.
     * A VM in an evacuated data centre still passes requests on.
     */
    isPermitted({ instance, isPeer }: Placement, request: PlacementRequest): boolean {
        return isPeer
            ? this.chooser.isInAllowedRegion(instance, request)
            : this.chooser.isPermitted(instance, request);
    }

    /** Dispatches every waiting request that can be placed now, for example after a load report of another VM. */
    dispatchAllQueues(): void {
        this.queues.forEach((unused, service) => this.dispatchQueue(service));
    }

    /** True while slots are so scarce that other VMs need a load report of this VM soon. */
    isContended(): boolean {
        return [...this.queues.values()].some(({ queue }) => queue.length > 0)
            || this.options.directory.list().some(instance =>
                this.countInFlight(instance.id) > 0
                && this.chooser.countInFlight(instance) >= instance.slots * CONTENDED_SHARE
            );
    }

    /** Number of requests that this VM has in flight at an instance. */
    countInFlight(instance: string): number {
        return this.loads.countInFlight(instance);
    }

    /** Prompt tokens that this VM has sent to an instance and that await prefill. */
    countPendingPromptTokens(instance: string): number {
        return this.loads.countPendingPromptTokens(instance);
    }

    /** Event gap that this VM observed on an instance's streams, in milliseconds; 0 when it observed none. */
    getEventGapMs(instance: Instance): number {
        return Math.round(this.loads.getLatencyModel(instance).observedEventGapMs ?? 0);
    }

    /** Number of waiting requests by service, rank and the regions to which they are bound, if any. */
    listQueueLengths(): readonly QueueLength[] {
        return [...this.queues].flatMap(([service, { queue }]) => countByRankAndRegions(service, queue));
    }

    /** Randomised delay after which a refused caller should retry, in milliseconds. */
    computeRetryAfterMs(remainingMs?: number): number {
        return computeRetryDelayMs(this.options.random, remainingMs);
    }

    private dispatchQueue(service: string): void {
        const { queue, fairness } = this.getQueue(service);
        const now = this.options.timers.now();
        const closedRegions = new Set<string>();
        for (
            const waiter of queue.listInDispatchOrder(now, rank => fairness.computeEffectiveRank(rank, now))
        ) {
            if (isClosed(waiter.request, closedRegions)) {
                continue;
            }
            const effectiveRank = fairness.computeEffectiveRank(waiter.rank, now);
            const placement = this.place(waiter.request, effectiveRank, queue.length, closedRegions);
            if (placement instanceof Placement) {
                queue.remove(waiter);
                fairness.recordOutcome(waiter.rank, true, now);
                waiter.settle(Ok(placement));
            }
            else if (placement === "no-place" && waiter.request.excludedInstances.size === 0) {
                const { allowedRegions } = waiter.request;
                if (allowedRegions === undefined) {
                    break;
                }
                // Requests behind it may go elsewhere, but don't take the slots in its regions that it waits for.
                allowedRegions.forEach(region => closedRegions.add(region));
            }
        }
        this.scheduleRecheck(queue);
    }

    private scheduleRecheck(queue: RankQueue<Waiter>): void {
        if (queue.length > 0 && !this.isRecheckScheduled) {
            this.isRecheckScheduled = true;
            this.options.timers.schedule(RECHECK_INTERVAL_MS, () => {
                this.isRecheckScheduled = false;
                this.dispatchAllQueues();
            });
        }
    }

    private place(
        request: PlacementRequest,
        effectiveRank: number,
        waiting: number,
        closedRegions: ReadonlySet<string> = new Set(),
    ): Placement | ChoiceFailure {
        const { peers } = this.options;
        const { reservation } = this.getQueue(request.service);
        const now = this.options.timers.now();
        const closed = new Set(closedRegions);
        const computeLimit = (instance: Instance): number =>
            closed.has(this.regions.getRegion(instance.dataCentre) ?? "")
                ? 0
                : reservation.computeInFlightLimit(effectiveRank, instance, now);
        for (;;) {
            const { choice, computeUsedLimit } = this.chooseWithinLearned(request, computeLimit);
            if (typeof choice === "string") {
                return choice;
            }
            const countWaiting = (rank: number): number => peers.countWaiting(request.service, rank);
            if (!this.isTurnOfThisVm(effectiveRank, choice.freeSlots, waiting, countWaiting)) {
                return "no-place";
            }
            const region = this.regions.getRegion(choice.instance.dataCentre);
            if (
                region === undefined
                || this.isTurnInRegion(request, effectiveRank, region, waiting, computeUsedLimit)
            ) {
                return this.occupy(request, choice);
            }
            closed.add(region);
        }
    }

    /** Chooses within the learned limits; if no instance has a free slot, where one request more is to be tried. */
    private chooseWithinLearned(request: PlacementRequest, computeLimit: (instance: Instance) => number): {
        readonly choice: InstanceChoice | ChoiceFailure;
        readonly computeUsedLimit: (instance: Instance) => number;
    } {
        const { learnedConcurrency: learned } = this.options;
        if (learned === undefined) {
            return { choice: this.chooser.choose(request, computeLimit), computeUsedLimit: computeLimit };
        }
        const computeLearned = (instance: Instance): number =>
            Math.min(computeLimit(instance), learned.getLimit(instance));
        const choice = this.chooser.choose(request, computeLearned);
        if (choice !== "no-place" || learned.limitedCount === 0) {
            return { choice, computeUsedLimit: computeLearned };
        }
        const computeProbe = (instance: Instance): number =>
            Math.min(computeLimit(instance), learned.getProbeLimit(instance));
        return { choice: this.chooser.choose(request, computeProbe), computeUsedLimit: computeProbe };
    }

    /** Shares the slots of a region with other VMs' requests that can go nowhere else. */
    private isTurnInRegion(
        request: PlacementRequest,
        rank: number,
        region: string,
        waiting: number,
        computeLimit: (instance: Instance) => number,
    ): boolean {
        const countWaiting = (worstRank: number): number =>
            this.options.peers.countWaitingInRegion(request.service, worstRank, region);
        return countWaiting(Math.ceil(rank)) === 0 || this.isTurnOfThisVm(
            rank,
            this.chooser.countFreeSlots(request, region, computeLimit),
            waiting,
            countWaiting,
        );
    }

    /**
     * Leaves scarce slots to other VMs' requests of better ranks, and shares the rest with those of the same rank.
     * `countWaiting` returns the number of their requests up to a rank.
     */
    private isTurnOfThisVm(
        rank: number,
        free: number,
        waiting: number,
        countWaiting: (rank: number) => number,
    ): boolean {
        const { random } = this.options;
        const better = countWaiting(Math.ceil(rank) - 1);
        if (better > 0 && free <= better) {
            return false;
        }
        const others = countWaiting(Math.ceil(rank)) - better;
        return others === 0 || free > others || random.pickFraction() * (waiting + others) < waiting;
    }

    private occupy(request: PlacementRequest, { instance, uncachedTokens }: InstanceChoice): Placement {
        const pendingPromptTokens = this.chooser.countPendingPromptTokens(instance.id);
        const predictedMs = this.chooser.predictFirstResponseMs(
            instance,
            request,
            pendingPromptTokens + uncachedTokens,
        );
        const occupiedAt = this.options.timers.now();
        this.options.learnedConcurrency?.recordDispatch(instance, this.chooser.countInFlight(instance));
        this.loads.occupy(instance, request, uncachedTokens);
        this.options.rateLimits.recordDispatch(instance);
        this.options.coldInstances.recordDispatch(instance);
        this.health.recordDispatch(instance.id);
        this.options.versions.recordDispatch(instance);
        return InstancePlacement.create({
            timers: this.options.timers,
            loads: this.loads,
            rateLimits: this.options.rateLimits,
            instance,
            uncachedTokens,
            pendingPromptTokens,
            predictedMs,
            pace: this.startPaceObservation(instance, request),
            onRelease: (outcome, reason, firstEventMs) => {
                if (outcome === "success") {
                    const slotTimeMs = this.options.timers.now() - occupiedAt;
                    this.getQueue(request.service).fairness.recordSlotTime(request.rank, slotTimeMs);
                }
                if (outcome === "success" || outcome === "failure") {
                    this.options.versions.recordOutcome(
                        instance,
                        request.route,
                        outcome === "success" ? firstEventMs : undefined,
                    );
                }
                this.release(instance, outcome, reason);
            },
        });
    }

    private startPaceObservation(
        instance: Instance,
        { isEngine }: PlacementRequest,
    ): PaceObservation | undefined {
        const model = this.loads.getLatencyModel(instance);
        return this.options.learnedConcurrency?.startObservation(instance, {
            isEngine,
            countInFlight: () => this.chooser.countInFlight(instance),
            readPrefill: () => ({
                sentTokens: this.loads.countSentPromptTokens(instance.id),
                pendingElsewhere: this.options.peers.countPendingPromptTokens(instance.id),
            }),
            estimatePrefillMs: tokens => model.estimatePrefillMs(tokens),
        });
    }

    private release(instance: Instance, outcome: ReleaseOutcome, reason: string): void {
        const { id, service } = instance;
        this.loads.release(instance, outcome === "full");
        if (outcome === "full") {
            this.options.rateLimits.recordRejection(instance);
        }
        if (outcome === undefined || outcome === "full") {
            this.health.recordInconclusive(id);
        }
        else {
            this.health.recordOutcome(service, id, outcome, reason);
        }
        this.dispatchQueue(service);
    }

    /** True when the request can't be served however long it waits: no instance is registered where it may go. */
    private isOutOfReach(request: PlacementRequest): boolean {
        const { allowedRegions } = request;
        return allowedRegions !== undefined
            && (allowedRegions.size === 0
                || (this.options.directory.isLoaded && this.listRegistered(request).length === 0));
    }

    /** Instances of the request's service in its regions, whatever their state is. */
    private listRegistered(request: PlacementRequest): readonly Instance[] {
        return this.options.directory.list().filter(instance =>
            instance.service === request.service && this.chooser.isInAllowedRegion(instance, request)
        );
    }

    private isUsable({ id, state, dataCentre }: Instance): boolean {
        return state === "ready" && this.health.canUse(id)
            && !this.options.evacuations.isEvacuated(dataCentre);
    }

    private refuse(queue: RankQueue<Waiter>, waiter: Waiter): void {
        queue.remove(waiter);
        const { service, rank, excludedInstances } = waiter.request;
        const instances = this.listRegistered(waiter.request).filter(({ id }) => !excludedInstances.has(id));
        const error = this.createRefusal(waiter.request, instances);
        if (error.name !== "RegionUnavailable") {
            // Slots of other regions don't help such a request, so its rank is not given more of them.
            this.getQueue(service).fairness.recordOutcome(rank, false, this.options.timers.now());
        }
        this.writeRefusal(queue, waiter.request, instances);
        waiter.settle(Err(error));
    }

    /** Creates the error of a request that got none of the `instances` to which it may go. */
    private createRefusal(request: PlacementRequest, instances: readonly Instance[]): SchedulerError {
        const { service, rank, allowedRegions } = request;
        const retry = { retryAfterMs: this.computeRetryAfterMs(request.remainingMs) };
        if (allowedRegions !== undefined && !instances.some(instance => this.isUsable(instance))) {
            const regions = [...allowedRegions].toSorted().join(", ");
            return SchedulerError.create("RegionUnavailable", { target: service, regions }, retry);
        }
        return instances.length > 0
            ? SchedulerError.create("Overloaded", { tier: String(rank) }, retry)
            : SchedulerError.create("NoEndpoint", { target: service }, retry);
    }

    private writeRefusal(
        queue: RankQueue<Waiter>,
        request: PlacementRequest,
        instances: readonly Instance[],
    ): void {
        const { timers, logger } = this.options;
        const usable = instances.filter(instance => this.isUsable(instance));
        logger.write("RequestNotPlaced", {
            id: request.requestId,
            service: request.service,
            rank: request.rank,
            waitedMs: Math.round(timers.now() - request.arrivedAt),
            ahead: queue.countAhead(request.rank, request.arrivedAt),
            instances: usable.length,
            inFlight: usable.reduce((sum, instance) => sum + this.chooser.countInFlight(instance), 0),
            places: usable.reduce((sum, { slots }) => sum + slots, 0),
            limited: usable.filter(instance =>
                !this.options.rateLimits.canSend(instance, this.loads.countInFlight(instance.id))
                || !this.options.coldInstances.canSend(instance)
            ).length,
        });
    }

    private applyDirectory(): void {
        const ids = new Set(this.options.directory.list().map(instance => instance.id));
        this.health.retain(ids);
        this.loads.retain(ids);
        this.options.learnedConcurrency?.retain(ids);
        this.options.rateLimits.retain(this.options.directory.list());
        this.dispatchAllQueues();
    }

    private getQueue(service: string): ServiceQueue {
        const serviceQueue = this.queues.get(service)
            ?? {
                queue: RankQueue.create<Waiter>(),
                reservation: RankReservation.create(),
                fairness: RankFairness.create(),
            };
        this.queues.set(service, serviceQueue);
        return serviceQueue;
    }
}

/** True when a request can go to closed regions only. */
const isClosed = ({ allowedRegions }: PlacementRequest, closedRegions: ReadonlySet<string>): boolean =>
    allowedRegions !== undefined && [...allowedRegions].every(region => closedRegions.has(region));

const countByRankAndRegions = (service: string, queue: RankQueue<Waiter>): readonly QueueLength[] => {
    const lengths = new Map<string, QueueLength>();
    queue.list().forEach(({ rank, request: { allowedRegions } }) => {
        const regions = allowedRegions === undefined ? [] : [...allowedRegions].toSorted();
        const key = `${rank} ${formatQueueName(service, regions)}`;
        const count = (lengths.get(key)?.count ?? 0) + 1;
        lengths.set(key, {
            service,
            rank,
            count,
            ...(regions.length > 0 ? { allowedRegions: regions } : {}),
        });
    });
    return [...lengths.values()];
};
