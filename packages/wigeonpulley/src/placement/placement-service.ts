/**
 * Assigns each request an instance or queues it until a slot is free. Requests queue here because endpoints admit in
 * order of arrival and don't know priority ranks.
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { Evacuations, Instance, InstanceDirectory } from "../discovery/index.js";
import { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import { measureWork, type WorkMeter } from "../processor/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";
import { type AdmissionRefusal, forecastAdmission } from "./admission-forecast.js";
import { DataCentreRegions, formatQueueName } from "./allowed-regions.js";
import type { ColdInstances } from "./cold-instances.js";
import { type HomePolicy, NoHomes } from "./home-policy.js";
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
import { computeForecastRetryDelayMs, computeRetryDelayMs } from "./retry-delay.js";
import { computeStartTags, computeTurnWeights, countPeersAhead } from "./share-order.js";
import { BRITTLE_FACTOR, SlotClaims } from "./slot-claims.js";
import { SlotTurnover } from "./slot-turnover.js";
import type { VersionPolicy } from "./version-policy.js";
import {
    countByRankAndWorkspace,
    hashWorkspace,
    type SharedRequest,
    WorkspaceShares,
} from "./workspace-shares.js";
import { type RankUses, selectReportedUses } from "./workspace-use.js";

/** Records what is dispatched. */
export interface DispatchMetrics {
    /** Counts tokens of work that were dispatched for a workspace. */
    readonly recordDispatchedTokens: (workspace: string, tokens: number) => void;
}

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
    /** Homes of prompt blocks; none by default. */
    readonly homes?: HomePolicy;
    readonly work?: WorkMeter;
    readonly dataCentre: string;
    readonly region: string;
    /** Region by data centre. */
    readonly regions: Readonly<Record<string, string>>;
    readonly metrics?: DispatchMetrics;
    /** Whether room within a rank is shared by workspace; true when absent. */
    readonly workspaceShares?: { readonly enabled: boolean; };
    /** Whether requests are refused at arrival by a forecast; true when absent. */
    readonly admissionForecast?: { readonly enabled: boolean; };
}

/** Share of the target latency within which a request has to start to be on time; the rest is for its first event. */
const START_SHARE = 0.75;
/** Interval at which waiting requests are checked again when no event triggers a check, in milliseconds. */
const RECHECK_INTERVAL_MS = 50;
/** Share of an instance's slots in use from which slots count as scarce. */
const CONTENDED_SHARE = 0.7;
/**
 * Free slots for which the VMs together claim one at each check. Within the second until reports show the claims, about as
 * many checks follow, so that the free slots are claimed about once.
 */
const SLOTS_PER_CLAIM = 20;
/** Ratio of a workspace's use to another's from which the other's later requests go ahead of its own. */
const LASTING_EXCESS = 1.5;

interface Waiter extends QueuedRequest, SharedRequest {
    readonly request: PlacementRequest;
    /** Monotonic time at which it was added to the queue, in milliseconds. */
    readonly queuedAt: number;
    /** Number of checks at which a slot was free for it and left to other VMs. */
    leftToPeers: number;
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
    readonly shares: WorkspaceShares;
    readonly turnover: SlotTurnover;
}

/** Why a request isn't placed: for lack of an instance, or because other VMs may take the free slot. */
type PlacementFailure = ChoiceFailure | "left-to-peers";

/** State of this VM in one dispatch. */
interface DispatchRound {
    /** Number of waiting requests. */
    readonly waiting: number;
    /** Instance of which a request of this VM has just released a slot, until the slot is used again. */
    readonly freedInstance: string | undefined;
    /** Waiting requests by rank, then by the hash of the workspace's name. */
    readonly waitingByRank: ReadonlyMap<number, ReadonlyMap<number, number>>;
}

/** Queues and dispatches the requests of one VM. */
export class PlacementService {
    readonly health: InstanceHealth;
    private readonly queues = new Map<string, ServiceQueue>();
    private readonly claims: SlotClaims;
    private readonly loads: InstanceLoads;
    private readonly chooser: InstanceChooser;
    private readonly regions: DataCentreRegions;
    private readonly homes: HomePolicy;
    private isRecheckScheduled = false;

    private constructor(private readonly options: PlacementServiceOptions) {
        this.health = InstanceHealth.create(options.timers, options.logger);
        this.loads = InstanceLoads.create(options.timers, options.peers);
        this.regions = DataCentreRegions.create(options.regions);
        this.homes = options.homes ?? NoHomes.create();
        this.claims = SlotClaims.create(options);
        this.chooser = InstanceChooser.create({
            ...options,
            loads: this.loads,
            health: this.health,
            regions: this.regions,
            homes: this.homes,
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
            this.writeRefusal(queue, { request, arrivedAt: request.arrivedAt, leftToPeers: 0 }, []);
            return Promise.resolve(Err(this.createRefusal(request, [])));
        }
        reservation.recordRequest(request.rank, timers.now());
        return new Promise(resolve => {
            let unsubscribe = (): void => undefined;
            let cancelTimeout = (): void => undefined;
            const waiter: Waiter = {
                request,
                queuedAt: timers.now(),
                leftToPeers: 0,
                rank: request.rank,
                workspace: request.workspace,
                workspaceWeight: request.workspaceWeight,
                workTokens: request.workTokens,
                // A request that came back goes ahead of new ones of its rank and workspace.
                arrivedAt: request.arrivedAt - (this.isForecasting ? request.earlierAttemptsMs : 0),
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
            const refusal = this.isForecasting && queue.has(waiter)
                ? this.forecastRefusal(waiter)
                : undefined;
            if (refusal !== undefined) {
                this.refuse(queue, waiter, refusal);
            }
            else if (queue.has(waiter)) {
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
        const placement = this.place(request, rank, createRound([request], undefined));
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

    /** Time for which the first request of a rank has been waiting for a slot of a service, in milliseconds; 0 without one. */
    getLongestWaitMs(service: string, rank: number): number {
        const waiting = this.queues.get(service)?.queue.list().find(waiter => waiter.rank === rank);
        return waiting === undefined ? 0 : this.options.timers.now() - waiting.queuedAt;
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

    /**
     * This VM's part of the workspaces' uses, for its report: only of services for which requests wait somewhere, because
     * the order matters only there.
     */
    listWorkspaceUses(): readonly RankUses[] {
        if (!this.isSharing) {
            return [];
        }
        const now = this.options.timers.now();
        return selectReportedUses(
            [...this.queues]
                .filter(([service, { queue }]) =>
                    queue.length > 0
                    || this.options.peers.countWaiting(service, Number.POSITIVE_INFINITY) > 0
                )
                .flatMap(([, { queue, shares }]) => shares.listOwnUses(queue.list(), now)),
        );
    }

    /** Randomised delay after which a refused caller should retry, in milliseconds. */
    computeRetryAfterMs(remainingMs?: number): number {
        return computeRetryDelayMs(this.options.random, remainingMs);
    }

    private get isSharing(): boolean {
        return this.options.workspaceShares?.enabled ?? true;
    }

    private get isForecasting(): boolean {
        return this.options.admissionForecast?.enabled ?? true;
    }

    /** Returns the order of workspaces within a rank; undefined where it doesn't matter. */
    private getShareOrder(
        shares: WorkspaceShares,
        now: number,
    ): ((waiters: readonly Waiter[]) => ReadonlyMap<Waiter, number>) | undefined {
        return this.isSharing ? waiters => computeStartTags(waiters, shares, now) : undefined;
    }

    private dispatchQueue(service: string, freedInstance?: string): void {
        measureWork(this.options.work, "placement", () => this.dispatchWaiting(service, freedInstance));
    }

    private dispatchWaiting(service: string, freedInstance: string | undefined): void {
        const { queue, fairness, shares, turnover } = this.getQueue(service);
        const now = this.options.timers.now();
        if (queue.length === 0 && !this.isForecasting) {
            return;
        }
        const closedRegions = new Set<string>();
        const round = createRound(this.isSharing ? queue.list() : [], freedInstance);
        let unusedFreedInstance = freedInstance;
        const order = queue.listInDispatchOrder(
            now,
            rank => fairness.computeEffectiveRank(rank, now),
            this.getShareOrder(shares, now),
        );
        for (const waiter of order) {
            if (isClosed(waiter.request, closedRegions)) {
                continue;
            }
            const effectiveRank = fairness.computeEffectiveRank(waiter.rank, now);
            const placement = this.place(waiter.request, effectiveRank, {
                ...round,
                waiting: queue.length,
                freedInstance: unusedFreedInstance,
            }, closedRegions);
            if (placement instanceof Placement) {
                unusedFreedInstance = undefined;
                queue.remove(waiter);
                fairness.recordOutcome(waiter.rank, true, now);
                turnover.recordStart(
                    waiter.rank,
                    hashWorkspace(waiter.workspace),
                    waiter.latestOnTimeStartAt >= now,
                    now,
                );
                waiter.settle(Ok(placement));
            }
            else if (placement !== "unsuitable" && waiter.request.excludedInstances.size === 0) {
                waiter.leftToPeers += placement === "left-to-peers" ? 1 : 0;
                const { allowedRegions } = waiter.request;
                if (allowedRegions === undefined) {
                    break;
                }
                // Requests behind it may go elsewhere, but don't take the slots in its regions that it waits for.
                allowedRegions.forEach(region => closedRegions.add(region));
            }
        }
        if (this.isForecasting) {
            const isAnyWaiting = queue.length > 0
                || this.options.peers.countWaiting(service, Number.POSITIVE_INFINITY) > 0;
            turnover.recordWaiting(isAnyWaiting, now);
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
        round: DispatchRound,
        closedRegions: ReadonlySet<string> = new Set(),
    ): Placement | PlacementFailure {
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
            if (!this.isTurnOfThisVm(request.service, effectiveRank, choice, round)) {
                return "left-to-peers";
            }
            const region = this.regions.getRegion(choice.instance.dataCentre);
            if (
                region === undefined
                || this.isTurnInRegion(request, effectiveRank, region, choice, round, computeUsedLimit)
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
        { instance }: InstanceChoice,
        round: DispatchRound,
        computeLimit: (instance: Instance) => number,
    ): boolean {
        const { service } = request;
        const countWaiting = (worstRank: number): number =>
            this.options.peers.countWaitingInRegion(service, worstRank, region);
        const better = countWaiting(Math.ceil(rank) - 1);
        const others = countWaiting(Math.ceil(rank)) - better;
        if (better + others === 0) {
            return true;
        }
        const free = this.chooser.countFreeSlots(request, region, computeLimit);
        if (better > 0 && free <= better) {
            return false;
        }
        const isFreedInRegion = this.options.directory.listOfService(service).some(({ id, dataCentre }) =>
            id === round.freedInstance && this.regions.getRegion(dataCentre) === region
        );
        return others === 0 || free > others
            || this.claims.canReuse(instance, isFreedInRegion ? round.freedInstance : undefined)
            || this.claims.tryClaim(instance, {
                queue: formatQueueName(service, [region]),
                free: free - better,
                own: round.waiting,
                others,
                slotTimeMs: this.getQueue(service).turnover.computeSlotTimeMs(this.options.timers.now()),
            });
    }

    /**
     * Leaves scarce slots to other VMs' requests of better ranks, and shares the rest with those of the same rank. A slot
     * that this VM has just freed is its own to use again, because the others learn of it only with the next report; it is
     * left to them as far as its workspaces are above their shares. At an instance that fails when it has to turn away too
     * many requests, only the slot that was freed there is used again.
     */
    private isTurnOfThisVm(
        service: string,
        rank: number,
        { instance, freeSlots: free }: InstanceChoice,
        round: DispatchRound,
    ): boolean {
        const { peers, random, timers, rateLimits } = this.options;
        const better = peers.countWaiting(service, Math.ceil(rank) - 1);
        if (better > 0 && free <= better) {
            return false;
        }
        const others = peers.countWaiting(service, Math.ceil(rank)) - better;
        if (others === 0 || free > others) {
            return true;
        }
        const now = timers.now();
        const canReuse = this.claims.canReuse(instance, round.freedInstance);
        const { shares, turnover } = this.getQueue(service);
        if (!this.isSharing) {
            return canReuse || this.claims.tryClaim(instance, {
                queue: service,
                free: free - better,
                own: round.waiting,
                others,
                slotTimeMs: turnover.computeSlotTimeMs(now),
            });
        }
        const waitingOfRank = round.waitingByRank.get(rank) ?? new Map<number, number>();
        const weights = computeTurnWeights(waitingOfRank, rank, others, shares, now);
        if (canReuse) {
            return random.pickFraction() < weights.best;
        }
        const own = round.waiting - sumCounts(waitingOfRank) + weights.own;
        const claims = rateLimits.isBrittle(instance) ? BRITTLE_FACTOR : Math.max(1, free / SLOTS_PER_CLAIM);
        return random.pickFraction() * (own + weights.others) < own * claims;
    }

    private occupy(request: PlacementRequest, choice: InstanceChoice): Placement {
        const { instance, uncachedTokens } = choice;
        this.writeHomes(request, choice);
        const pendingPromptTokens = this.chooser.countPendingPromptTokens(instance.id);
        const predictedMs = this.chooser.predictFirstResponseMs(
            instance,
            request,
            pendingPromptTokens + uncachedTokens,
        );
        const occupiedAt = this.options.timers.now();
        this.options.learnedConcurrency?.recordDispatch(instance, this.chooser.countInFlight(instance));
        this.loads.occupy(instance, request, uncachedTokens);
        this.homes.recordPrompt(request);
        this.options.rateLimits.recordDispatch(instance);
        this.options.coldInstances.recordDispatch(instance);
        this.health.recordDispatch(instance.id);
        this.options.versions.recordDispatch(instance);
        const { shares } = this.getQueue(request.service);
        if (this.isSharing) {
            shares.recordDispatch(request, occupiedAt);
        }
        if (request.workspace !== undefined) {
            this.options.metrics?.recordDispatchedTokens(request.workspace, request.workTokens);
        }
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
                if (outcome === "full" || outcome === "unreachable") {
                    shares.removeDispatch(request, occupiedAt, this.options.timers.now());
                }
                if (outcome === "success") {
                    const slotTimeMs = this.options.timers.now() - occupiedAt;
                    const { fairness, turnover } = this.getQueue(request.service);
                    fairness.recordSlotTime(request.rank, slotTimeMs);
                    turnover.recordSlotTime(slotTimeMs, this.options.timers.now());
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

    private writeHomes(
        request: PlacementRequest,
        { instance, uncachedTokens, homeDepth, homes }: InstanceChoice,
    ): void {
        if (homes === undefined) {
            return;
        }
        const { blocks, depths, canBeHome } = homes;
        const depth = Math.max(...depths);
        const { share = 0, likelihood = 0 } = blocks[depth - 1] ?? {};
        this.options.logger.write("PromptHomesWeighed", {
            id: request.requestId,
            instance: instance.id,
            blocks: blocks.length,
            depth,
            homes: depths.filter(value => value === depth).length,
            candidates: canBeHome.filter(value => value).length,
            homeDepth,
            share: Number(share.toFixed(3)),
            likelihood: Number(likelihood.toFixed(3)),
            promptTokens: request.promptTokens,
            uncachedTokens: Math.round(uncachedTokens),
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
        // An instance that turned the request away has freed no slot.
        this.dispatchQueue(service, outcome === "full" || outcome === "unreachable" ? undefined : id);
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
        return this.options.directory.listOfService(request.service).filter(instance =>
            this.chooser.isInAllowedRegion(instance, request)
        );
    }

    private isUsable({ id, state, dataCentre }: Instance): boolean {
        return state === "ready" && this.health.canUse(id)
            && !this.options.evacuations.isEvacuated(dataCentre);
    }

    /** Returns why a waiting request is refused at its arrival; undefined when it stays in the queue. */
    private forecastRefusal(waiter: Waiter): AdmissionRefusal | undefined {
        const { request, rank, latestOnTimeStartAt } = waiter;
        // A request that was sent before is not refused early, because that attempt would be wasted. The rate at which the slots
        // of some regions are freed is not known.
        if (request.excludedInstances.size > 0 || request.allowedRegions !== undefined) {
            return undefined;
        }
        const { queue, fairness, shares, turnover } = this.getQueue(request.service);
        const now = this.options.timers.now();
        const { isBrittle, inFlight, slots } = this.observeCapacity(request.service);
        const getRank = (other: number): number => fairness.computeEffectiveRank(other, now);
        const effectiveRank = getRank(rank);
        const isBetter = (other: number): boolean => getRank(other) < effectiveRank;
        const order = queue.listInDispatchOrder(
            now,
            getRank,
            this.getShareOrder(shares, now),
        );
        const ownAhead = order.indexOf(waiter);
        const others = queue.list().filter(other => other !== waiter);
        const ofRank = others.filter(other => other.rank === rank);
        const ownAheadLate = others.filter(other => isBetter(other.rank)).length + ofRank.length;
        const peers = this.options.peers.listWaiting(request.service);
        const peersBetter = sumCounts(new Map([...peers].filter(([other]) => isBetter(other))));
        const peersOfRank = peers.get(rank) ?? 0;
        const startTag = this.getShareOrder(shares, now)?.(order).get(waiter) ?? 0;
        const isBelow = (workspace: number): boolean =>
            shares.computeUse(rank, workspace, now) * LASTING_EXCESS < startTag;
        // Late requests of other VMs are as frequent as here, as far as known.
        const onTimeShare = (ofRank.filter(other => other.latestOnTimeStartAt >= now).length + 1)
            / (ofRank.length + 1);
        return forecastAdmission({
            now,
            latestOnTimeStartAt,
            waitUntil: request.waitUntil,
            aheadOnTime: ownAhead + peersBetter
                + countPeersAhead(waiter, startTag, peersOfRank, shares, now) * onTimeShare,
            aheadLate: Math.max(ownAhead, ownAheadLate) + peersBetter + peersOfRank,
            overtakingOnTime: turnover.computeOvertakingShare(
                (other, workspace, isOnTime) => other === rank && isOnTime && isBelow(workspace),
                now,
            ),
            overtakingLate: turnover.computeOvertakingShare(
                (other, unused, isOnTime) => isBetter(other) || (other === rank && isOnTime),
                now,
            ),
            // The slots that brittle instances offer change with each request that they turn away.
            freedPerS: isBrittle ? undefined : turnover.estimateFreedPerS(inFlight, now),
            isIdle: inFlight * 2 < slots && others.length === 0 && sumCounts(peers) === 0,
            isWorseRankWaiting: others.some(other => getRank(other.rank) > effectiveRank)
                || [...peers].some(([other, count]) => count > 0 && getRank(other) > effectiveRank),
        });
    }

    /** Requests in flight and slots of the service's usable instances; their changes make forecasts uncertain. */
    private observeCapacity(
        service: string,
    ): { readonly isBrittle: boolean; readonly inFlight: number; readonly slots: number; } {
        const usable = this.options.directory.listOfService(service).filter(({ id, state }) =>
            state === "ready" && this.health.isTrusted(id)
        );
        const slots = usable.reduce((sum, instance) => sum + instance.slots, 0);
        this.getQueue(service).turnover.recordCapacity(usable.length, slots, this.options.timers.now());
        return {
            isBrittle: usable.some(instance => this.options.rateLimits.isBrittle(instance)),
            inFlight: usable.reduce((sum, instance) => sum + this.chooser.countInFlight(instance), 0),
            slots,
        };
    }

    private refuse(queue: RankQueue<Waiter>, waiter: Waiter, refusal?: AdmissionRefusal): void {
        queue.remove(waiter);
        const { service, rank, excludedInstances } = waiter.request;
        const instances = this.listRegistered(waiter.request).filter(({ id }) => !excludedInstances.has(id));
        const error = this.createRefusal(
            waiter.request,
            instances,
            this.computeRefusalRetryMs(waiter, refusal),
        );
        if (error.name !== "RegionUnavailable") {
            // Slots of other regions don't help such a request, so its rank is not given more of them.
            this.getQueue(service).fairness.recordOutcome(rank, false, this.options.timers.now());
        }
        this.writeRefusal(queue, waiter, instances, refusal);
        waiter.settle(Err(error));
    }

    /** Delay after which the caller of a request that is refused now should retry, in milliseconds. */
    private computeRefusalRetryMs(
        { request, queuedAt }: Waiter,
        refusal: AdmissionRefusal | undefined,
    ): number {
        const remainingMs = request.remainingMs - (this.options.timers.now() - queuedAt);
        return refusal === undefined
            ? this.computeRetryAfterMs(remainingMs)
            : computeForecastRetryDelayMs(
                this.options.random,
                remainingMs,
                refusal.roomInMs,
                request.earlierAttemptsMs > 0,
            );
    }

    /** Creates the error of a request that got none of the `instances` to which it may go. */
    private createRefusal(
        request: PlacementRequest,
        instances: readonly Instance[],
        retryAfterMs = this.computeRetryAfterMs(request.remainingMs),
    ): SchedulerError {
        const { service, rank, allowedRegions } = request;
        const retry = { retryAfterMs };
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
        { request, arrivedAt, leftToPeers }: Pick<Waiter, "request" | "arrivedAt" | "leftToPeers">,
        instances: readonly Instance[],
        refusal?: AdmissionRefusal,
    ): void {
        const { timers, logger } = this.options;
        const usable = instances.filter(instance => this.isUsable(instance));
        logger.write("RequestNotPlaced", {
            id: request.requestId,
            service: request.service,
            rank: request.rank,
            waitedMs: Math.round(timers.now() - request.arrivedAt),
            ahead: queue.countAhead(request.rank, arrivedAt),
            instances: usable.length,
            inFlight: usable.reduce((sum, instance) => sum + this.chooser.countInFlight(instance), 0),
            places: usable.reduce((sum, { slots }) => sum + slots, 0),
            limited: usable.filter(instance =>
                !this.options.rateLimits.canSend(instance, this.loads.countInFlight(instance.id))
                || !this.options.coldInstances.canSend(instance)
            ).length,
            workspace: request.workspace ?? "",
            forecastMs: Math.round(refusal?.waitMs ?? -1),
            freedPerS: Math.round(refusal?.freedPerS ?? -1),
            peersWaiting: this.options.peers.countWaiting(request.service, request.rank),
            leftToPeers,
            sharePercent: this.getQueue(request.service).shares.computeSharePercent(request, timers.now()),
        });
    }

    private applyDirectory(): void {
        const ids = new Set(this.options.directory.list().map(instance => instance.id));
        this.health.retain(ids);
        this.loads.retain(ids);
        this.homes.retain(ids);
        this.options.learnedConcurrency?.retain(ids);
        this.options.rateLimits.retain(this.options.directory.list());
        this.queues.forEach((unused, service) => this.observeCapacity(service));
        this.dispatchAllQueues();
    }

    private getQueue(service: string): ServiceQueue {
        const serviceQueue = this.queues.get(service)
            ?? {
                queue: RankQueue.create<Waiter>(),
                reservation: RankReservation.create(),
                fairness: RankFairness.create(),
                shares: WorkspaceShares.create(service, this.options.peers),
                turnover: SlotTurnover.create(),
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

const createRound = (
    requests: readonly SharedRequest[],
    freedInstance: string | undefined,
): DispatchRound => ({
    waiting: requests.length,
    freedInstance,
    waitingByRank: countByRankAndWorkspace(requests),
});

const sumCounts = (counts: ReadonlyMap<number, number>): number =>
    [...counts.values()].reduce((sum, count) => sum + count, 0);
