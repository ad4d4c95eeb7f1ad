/**
 * Gives each request an instance, or lets it wait for one. Endpoints admit in order of arrival and know no ranks, so
 * whatever has to wait waits here.
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { Instance, InstanceDirectory } from "../discovery/index.js";
import { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";
import { type ChoiceFailure, type InstanceChoice, InstanceChooser } from "./instance-chooser.js";
import { InstanceHealth } from "./instance-health.js";
import { InstanceLoads } from "./instance-loads.js";
import type { PeerLoads } from "./peer-loads.js";
import type { PlacementRequest, WaitCancellation } from "./placement-request.js";
import { Placement, type ReleaseOutcome } from "./placement.js";
import { RankFairness } from "./rank-fairness.js";
import { type QueuedRequest, RankQueue } from "./rank-queue.js";
import { RankReservation } from "./rank-reservation.js";
import { computeRetryDelayMs } from "./retry-delay.js";
import type { VersionPolicy } from "./version-policy.js";

/** What the service is built from. */
export interface PlacementServiceOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly directory: InstanceDirectory;
    readonly peers: PeerLoads;
    readonly versions: VersionPolicy;
    readonly dataCentre: string;
    readonly region: string;
    /** Region by data centre. */
    readonly regions: Readonly<Record<string, string>>;
}

/** Part of the target latency in which a request has to start to be on time; the rest is for its first event. */
const START_SHARE = 0.75;
/** Interval at which waiting requests are looked at again without an event, in milliseconds. */
const RECHECK_MS = 50;
/** Share of an instance's slots in use from which places count as scarce. */
const CONTENDED_SHARE = 0.7;
interface Waiter extends QueuedRequest {
    readonly demand: PlacementRequest;
    readonly settle: (outcome: Result<Placement, SchedulerError>) => void;
}

interface ServiceQueue {
    readonly line: RankQueue<Waiter>;
    readonly headroom: RankReservation;
    readonly balance: RankFairness;
}

/** Queues and places of one VM. */
export class PlacementService {
    readonly health: InstanceHealth;
    private readonly queues = new Map<string, ServiceQueue>();
    private readonly loads: InstanceLoads;
    private readonly chooser: InstanceChooser;
    private isRecheckPlanned = false;

    private constructor(private readonly options: PlacementServiceOptions) {
        this.health = InstanceHealth.create(options.timers, options.logger);
        this.loads = InstanceLoads.create(options.timers, options.peers);
        this.chooser = InstanceChooser.create({ ...options, loads: this.loads, health: this.health });
        options.directory.subscribe(() => this.applyDirectory());
    }

    /** Creates empty queues. */
    static create(options: PlacementServiceOptions): PlacementService {
        return new PlacementService(options);
    }

    /** Waits for an instance. Fails with NoEndpoint or Overloaded; the request has not run then. */
    acquire(demand: PlacementRequest, control: WaitCancellation): Promise<Result<Placement, SchedulerError>> {
        const { timers } = this.options;
        const { line, headroom } = this.findQueue(demand.service);
        headroom.recordRequest(demand.rank, timers.now());
        return new Promise(resolve => {
            let unsubscribe = (): void => undefined;
            let cancelTimeout = (): void => undefined;
            const waiter: Waiter = {
                demand,
                rank: demand.rank,
                arrivedAt: demand.arrivedAt,
                latestOnTimeStartAt: demand.arrivedAt - demand.earlierAttemptsMs
                    + demand.targetLatencyMs * START_SHARE,
                settle: outcome => {
                    unsubscribe();
                    cancelTimeout();
                    resolve(outcome);
                },
            };
            line.add(waiter);
            this.pump(demand.service);
            if (line.has(waiter)) {
                cancelTimeout = timers.schedule(
                    demand.waitUntil - timers.now(),
                    () => this.refuse(line, waiter),
                );
                unsubscribe = control.subscribe(() => {
                    line.remove(waiter);
                    waiter.settle(Err(SchedulerError.create("RequestCancelled", {})));
                });
            }
        });
    }

    /** Looks at all queues again, for example because other VMs told of their load. */
    dispatchAllQueues(): void {
        this.queues.forEach((queue, service) => this.pump(service));
    }

    /** True while places are so scarce that other VMs have to know of this VM's load soon. */
    isContended(): boolean {
        return [...this.queues.values()].some(({ line }) => line.length > 0)
            || this.options.directory.list().some(instance =>
                this.countInFlight(instance.id) > 0
                && this.chooser.countInFlight(instance) >= instance.slots * CONTENDED_SHARE
            );
    }

    /** Own requests at an instance. */
    countInFlight(instance: string): number {
        return this.loads.countInFlight(instance);
    }

    /** Own prompt tokens that an instance has still to read. */
    countPendingPromptTokens(instance: string): number {
        return this.loads.countPendingPromptTokens(instance);
    }

    /** Time between two events that this VM saw of an instance's streams, in milliseconds; 0 when it saw none. */
    getEventGapMs(instance: Instance): number {
        return Math.round(this.loads.getLatencyModel(instance).observedEventGapMs ?? 0);
    }

    /** Waiting requests by service and rank. */
    listQueueLengths(): readonly {
        readonly service: string;
        readonly rank: number;
        readonly count: number;
    }[] {
        return [...this.queues].flatMap(([service, { line }]) =>
            [...line.countByRank()].map(([rank, count]) => ({ service, rank, count }))
        );
    }

    /** Delay after which a refused caller should come back, spread in time, in milliseconds. */
    computeRetryAfterMs(leftMs?: number): number {
        return computeRetryDelayMs(this.options.random, leftMs);
    }

    private pump(service: string): void {
        const { line, balance } = this.findQueue(service);
        const now = this.options.timers.now();
        for (const waiter of line.listInDispatchOrder(now, rank => balance.computeEffectiveRank(rank, now))) {
            const effectiveRank = balance.computeEffectiveRank(waiter.rank, now);
            const placement = this.place(waiter.demand, effectiveRank, line.length);
            if (placement instanceof Placement) {
                line.remove(waiter);
                balance.recordOutcome(waiter.rank, true, now);
                waiter.settle(Ok(placement));
            }
            else if (placement === "no-place" && waiter.demand.excludedInstances.size === 0) {
                break;
            }
        }
        this.planRecheck(line);
    }

    private planRecheck(line: RankQueue<Waiter>): void {
        if (line.length > 0 && !this.isRecheckPlanned) {
            this.isRecheckPlanned = true;
            this.options.timers.schedule(RECHECK_MS, () => {
                this.isRecheckPlanned = false;
                this.dispatchAllQueues();
            });
        }
    }

    private place(
        demand: PlacementRequest,
        effectiveRank: number,
        waiting: number,
    ): Placement | ChoiceFailure {
        const { headroom } = this.findQueue(demand.service);
        const now = this.options.timers.now();
        const choice = this.chooser.choose(
            demand,
            slots => headroom.computeInFlightLimit(effectiveRank, slots, now),
        );
        if (typeof choice === "string") {
            return choice;
        }
        return this.isOwnTurn(demand.service, effectiveRank, choice.freeSlots, waiting)
            ? this.occupy(demand, choice)
            : "no-place";
    }

    /** Leaves scarce places to the other VMs' requests of better ranks, and shares the rest with those of the same rank. */
    private isOwnTurn(service: string, rank: number, free: number, waiting: number): boolean {
        const { peers, random } = this.options;
        const better = peers.countWaiting(service, Math.ceil(rank) - 1);
        if (better > 0 && free <= better) {
            return false;
        }
        const others = peers.countWaiting(service, Math.ceil(rank)) - better;
        return others === 0 || free > others || random.pickFraction() * (waiting + others) < waiting;
    }

    private occupy(demand: PlacementRequest, { instance, uncachedTokens }: InstanceChoice): Placement {
        const pendingPromptTokens = this.chooser.countPendingPromptTokens(instance.id);
        const predictedMs = this.chooser.predictFirstResponseMs(
            instance,
            demand,
            pendingPromptTokens + uncachedTokens,
        );
        this.loads.occupy(instance, demand, uncachedTokens);
        this.health.recordDispatch(instance.id);
        this.options.versions.recordDispatch(instance);
        return Placement.create({
            timers: this.options.timers,
            loads: this.loads,
            instance,
            uncachedTokens,
            pendingPromptTokens,
            predictedMs,
            onRelease: (evidence, reason, firstMs) => {
                if (evidence === "success" || evidence === "failure") {
                    this.options.versions.recordOutcome(
                        instance,
                        demand.route,
                        evidence === "success" ? firstMs : undefined,
                    );
                }
                this.release(instance, evidence, reason);
            },
        });
    }

    private release(instance: Instance, evidence: ReleaseOutcome, reason: string): void {
        const { id, service } = instance;
        this.loads.release(instance, evidence === "full");
        if (evidence === undefined || evidence === "full") {
            this.health.recordInconclusive(id);
        }
        else {
            this.health.recordOutcome(service, id, evidence, reason);
        }
        this.pump(service);
    }

    private refuse(line: RankQueue<Waiter>, waiter: Waiter): void {
        line.remove(waiter);
        const { directory, timers } = this.options;
        const { service, rank, excludedInstances } = waiter.demand;
        this.findQueue(service).balance.recordOutcome(rank, false, timers.now());
        const instances = directory.list().filter(instance =>
            instance.service === service && !excludedInstances.has(instance.id)
        );
        this.writeRefusal(line, waiter, instances);
        const retryAfterMs = this.computeRetryAfterMs(waiter.demand.remainingMs);
        waiter.settle(Err(
            instances.length > 0
                ? SchedulerError.create("Overloaded", { tier: String(rank) }, { retryAfterMs })
                : SchedulerError.create("NoEndpoint", { target: service }, { retryAfterMs }),
        ));
    }

    private writeRefusal(
        line: RankQueue<Waiter>,
        { demand }: Waiter,
        instances: readonly Instance[],
    ): void {
        const { timers, logger } = this.options;
        const usable = instances.filter(({ id, state }) => state === "ready" && this.health.canUse(id));
        logger.write("RequestNotPlaced", {
            id: demand.requestId,
            service: demand.service,
            rank: demand.rank,
            waitedMs: Math.round(timers.now() - demand.arrivedAt),
            ahead: line.countAhead(demand.rank, demand.arrivedAt),
            instances: usable.length,
            inFlight: usable.reduce((sum, instance) => sum + this.chooser.countInFlight(instance), 0),
            places: usable.reduce((sum, { slots }) => sum + slots, 0),
        });
    }

    private applyDirectory(): void {
        const ids = new Set(this.options.directory.list().map(instance => instance.id));
        this.health.retain(ids);
        this.loads.retain(ids);
        this.dispatchAllQueues();
    }

    private findQueue(service: string): ServiceQueue {
        const queue = this.queues.get(service)
            ?? {
                line: RankQueue.create<Waiter>(),
                headroom: RankReservation.create(),
                balance: RankFairness.create(),
            };
        this.queues.set(service, queue);
        return queue;
    }
}
