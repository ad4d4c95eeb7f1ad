/**
 * Gives each request an instance, or lets it wait for one. Endpoints admit in order of arrival and know no ranks, so
 * whatever has to wait waits here: strictly by rank, then by arrival.
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { Instance, InstanceDirectory } from "../discovery/index.js";
import { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";
import { type Evidence, InstanceHealth } from "./instance-health.js";
import { InstancePace } from "./instance-pace.js";
import type { PeerLoads } from "./peer-loads.js";
import { type Part, PrefixMemory } from "./prefix-memory.js";
import { RankBalance } from "./rank-balance.js";
import { RankHeadroom } from "./rank-headroom.js";
import { WaitingLine, type WaitingRequest } from "./waiting-line.js";

/** What a request needs. */
export interface Demand {
    readonly requestId: string;
    readonly service: string;
    /** 0 is the most important. */
    readonly rank: number;
    readonly isEngine: boolean;
    readonly promptTokens: number;
    readonly prompt: readonly Part[];
    /** Events that the answer of an engine is expected to have. */
    readonly expectedEvents: number;
    /** Time left for the whole answer, in milliseconds. */
    readonly leftMs: number;
    /** Longest pause between events that is on time, in milliseconds. */
    readonly gapTargetMs: number | undefined;
    /** Monotonic times in milliseconds: its arrival, and until when it may wait for an instance. */
    readonly arrivedAt: number;
    readonly waitUntil: number;
    /** Time from its arrival in which its answer is on time, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Instances that it must not get. */
    readonly excluded: ReadonlySet<string>;
}

/** Ends the wait of a request. */
export interface WaitControl {
    /** Calls back when the request must not wait any longer; returns how to unsubscribe. */
    readonly subscribe: (listener: () => void) => () => void;
}

/** What the service is built from. */
export interface PlacementOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly directory: InstanceDirectory;
    readonly peers: PeerLoads;
    readonly dataCentre: string;
    readonly region: string;
    /** Region by data centre. */
    readonly regions: Readonly<Record<string, string>>;
}

/** Time added for an instance in another data centre of the region, in milliseconds; stands for the round trip and its price. */
const OTHER_DATA_CENTRE_MS = 4;
/** Time added for an instance in another region, in milliseconds; stands for the round trip and the price of the narrow link. */
const OTHER_REGION_MS = 60;
/** Weight of the time that a stream holds its place against the time to its first event. */
const HOLDING_WEIGHT = 0.1;
/** Part of the target latency in which a request has to start to be on time; the rest is for its first event. */
const START_SHARE = 0.75;
/** Interval at which waiting requests are looked at again without an event, in milliseconds. */
const RECHECK_MS = 50;
/** Time for which an instance that refused for being full gets nothing new, in milliseconds. */
const FULL_PAUSE_MS = 150;
/** Share of an instance's slots in use from which places count as scarce. */
const CONTENDED_SHARE = 0.7;
/** Delay told to a refused caller: a part of the time that it has left, spread, and never less than this. */
const RETRY_SHORTEST_MS = 300;
const RETRY_LEAST_SHARE = 0.12;
const RETRY_SPREAD_SHARE = 0.2;
/** Time left of a caller that is not known, in milliseconds. */
const USUAL_LEFT_MS = 4_000;

interface Waiter extends WaitingRequest {
    readonly demand: Demand;
    readonly settle: (outcome: Result<Placement, SchedulerError>) => void;
}

interface ServiceQueue {
    readonly line: WaitingLine<Waiter>;
    readonly headroom: RankHeadroom;
    readonly balance: RankBalance;
}

interface Occupancy {
    inFlight: number;
    pendingTokens: number;
    fullUntil: number;
}

/** An instance given to one request until `release` is called. */
export class Placement {
    private isReleased = false;
    private isPending = true;
    private firstAt: number | undefined;

    private constructor(
        readonly instance: Instance,
        readonly unreadTokens: number,
        private readonly startedAt: number,
        private readonly backlogTokens: number,
        private readonly owner: PlacementService,
    ) {}

    /** Used by the service only. */
    static create(
        instance: Instance,
        unreadTokens: number,
        startedAt: number,
        backlogTokens: number,
        owner: PlacementService,
    ): Placement {
        return new Placement(instance, unreadTokens, startedAt, backlogTokens, owner);
    }

    /** Notes that the endpoint began to answer. */
    noteFirstEvent(): void {
        if (this.isPending) {
            this.isPending = false;
            this.owner.endPrefill(this.instance, this.unreadTokens);
            this.firstAt = this.owner.observeFirstEvent(
                this.instance,
                this.backlogTokens + this.unreadTokens,
                this.startedAt,
            );
        }
    }

    /** Notes that a stream ended as complete after so many events. */
    noteEvents(count: number): void {
        if (this.firstAt !== undefined) {
            this.owner.observeEvents(this.instance, count - 1, this.firstAt);
        }
    }

    /** Notes that a whole answer of a plain service came. */
    noteAnswer(): void {
        this.owner.observeAnswer(this.instance, this.startedAt);
    }

    /** Gives the place back; undefined evidence says nothing of the instance. */
    release(evidence: Evidence | "full" | undefined, reason: string): void {
        if (this.isReleased) {
            return;
        }
        this.isReleased = true;
        if (this.isPending) {
            this.isPending = false;
            this.owner.endPrefill(this.instance, this.unreadTokens);
        }
        this.owner.release(this.instance, evidence, reason);
    }
}

/** Queues and places of one VM. */
export class PlacementService {
    readonly health: InstanceHealth;
    private readonly queues = new Map<string, ServiceQueue>();
    private readonly occupancies = new Map<string, Occupancy>();
    private readonly paces = new Map<string, InstancePace>();
    private readonly prefixes = PrefixMemory.create();
    private isRecheckPlanned = false;

    private constructor(private readonly options: PlacementOptions) {
        this.health = InstanceHealth.create(options.timers, options.logger);
        options.directory.subscribe(() => this.applyDirectory());
    }

    /** Creates empty queues. */
    static create(options: PlacementOptions): PlacementService {
        return new PlacementService(options);
    }

    /** Waits for an instance. Fails with NoEndpoint or Overloaded; the request has not run then. */
    acquire(demand: Demand, control: WaitControl): Promise<Result<Placement, SchedulerError>> {
        const { timers } = this.options;
        const { line, headroom } = this.findQueue(demand.service);
        headroom.note(demand.rank, timers.now());
        return new Promise(resolve => {
            let unsubscribe = (): void => undefined;
            let cancelTimeout = (): void => undefined;
            const waiter: Waiter = {
                demand,
                rank: demand.rank,
                arrivedAt: demand.arrivedAt,
                onTimeUntil: demand.arrivedAt + demand.targetLatencyMs * START_SHARE,
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
    pumpAll(): void {
        this.queues.forEach((queue, service) => this.pump(service));
    }

    /** True while places are so scarce that other VMs have to know of this VM's load soon. */
    isContended(): boolean {
        const { directory, peers } = this.options;
        return [...this.queues.values()].some(({ line }) => line.length > 0)
            || directory.list().some(({ id, slots }) =>
                this.countInFlight(id) > 0
                && this.countInFlight(id) + peers.countInFlight(id, slots) >= slots * CONTENDED_SHARE
            );
    }

    /** Own requests at an instance. */
    countInFlight(instance: string): number {
        return this.occupancies.get(instance)?.inFlight ?? 0;
    }

    /** Own prompt tokens that an instance has still to read. */
    countPendingTokens(instance: string): number {
        return this.occupancies.get(instance)?.pendingTokens ?? 0;
    }

    /** Waiting requests by service and rank. */
    listWaiting(): readonly { readonly service: string; readonly rank: number; readonly count: number; }[] {
        return [...this.queues].flatMap(([service, { line }]) =>
            [...line.countByRank()].map(([rank, count]) => ({ service, rank, count }))
        );
    }

    /** Used by placements only. */
    endPrefill(instance: Instance, tokens: number): void {
        const occupancy = this.findOccupancy(instance.id);
        occupancy.pendingTokens = Math.max(0, occupancy.pendingTokens - tokens);
    }

    /** Used by placements only. */
    observeFirstEvent(instance: Instance, tokens: number, startedAt: number): number {
        const now = this.options.timers.now();
        this.findPace(instance.id).observeFirstEvent(tokens, now - startedAt);
        return now;
    }

    /** Used by placements only. */
    observeEvents(instance: Instance, events: number, firstAt: number): void {
        this.findPace(instance.id).observeEvents(events, this.options.timers.now() - firstAt);
    }

    /** Used by placements only. */
    observeAnswer(instance: Instance, startedAt: number): void {
        this.findPace(instance.id).observeAnswer(this.options.timers.now() - startedAt);
    }

    /** Used by placements only. */
    release(instance: Instance, evidence: Evidence | "full" | undefined, reason: string): void {
        const occupancy = this.findOccupancy(instance.id);
        occupancy.inFlight = Math.max(0, occupancy.inFlight - 1);
        if (evidence === "full") {
            occupancy.fullUntil = this.options.timers.now() + FULL_PAUSE_MS;
            this.health.noteNothing(instance.id);
        }
        else if (evidence === undefined) {
            this.health.noteNothing(instance.id);
        }
        else {
            this.health.note(instance.service, instance.id, evidence, reason);
        }
        this.pump(instance.service);
    }

    /** Delay after which a refused caller should come back, spread in time, in milliseconds. */
    pickRetryAfterMs(leftMs = USUAL_LEFT_MS): number {
        const share = RETRY_LEAST_SHARE + RETRY_SPREAD_SHARE * this.options.random.pickFraction();
        return Math.max(RETRY_SHORTEST_MS, leftMs * share);
    }

    private pump(service: string): void {
        const { line, balance } = this.findQueue(service);
        const now = this.options.timers.now();
        for (const waiter of line.listInOrder(now, rank => balance.findEffectiveRank(rank, now))) {
            const effectiveRank = balance.findEffectiveRank(waiter.rank, now);
            const placement = this.place(waiter.demand, effectiveRank, line.length);
            if (placement !== undefined) {
                line.remove(waiter);
                balance.note(waiter.rank, true, now);
                waiter.settle(Ok(placement));
            }
            else if (waiter.demand.excluded.size === 0) {
                break;
            }
        }
        this.planRecheck(line);
    }

    private planRecheck(line: WaitingLine<Waiter>): void {
        if (line.length > 0 && !this.isRecheckPlanned) {
            this.isRecheckPlanned = true;
            this.options.timers.schedule(RECHECK_MS, () => {
                this.isRecheckPlanned = false;
                this.pumpAll();
            });
        }
    }

    private place(demand: Demand, effectiveRank: number, waiting: number): Placement | undefined {
        let best:
            | { readonly instance: Instance; readonly cost: number; readonly unread: number; }
            | undefined;
        let free = 0;
        for (const instance of this.options.directory.list()) {
            const freeHere = this.isCandidate(instance, demand)
                ? this.countFree(instance, demand.service, effectiveRank)
                : 0;
            if (freeHere <= 0) {
                continue;
            }
            free += freeHere;
            const unread = this.prefixes.countUnread(instance.id, demand.prompt, demand.promptTokens);
            const cost = this.estimateCost(instance, demand, unread);
            if (best === undefined || cost < best.cost) {
                best = { instance, cost, unread };
            }
        }
        return best === undefined || !this.isOwnTurn(demand.service, effectiveRank, free, waiting)
            ? undefined
            : this.occupy(best.instance, demand, best.unread);
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

    private isCandidate(instance: Instance, demand: Demand): boolean {
        return instance.service === demand.service
            && instance.state === "ready"
            && !demand.excluded.has(instance.id)
            && this.health.canUse(instance.id);
    }

    private countFree(instance: Instance, service: string, rank: number): number {
        const { slots, id } = instance;
        const now = this.options.timers.now();
        const occupancy = this.occupancies.get(id);
        if (occupancy !== undefined && occupancy.fullUntil > now) {
            return 0;
        }
        const limit = this.findQueue(service).headroom.computeLimit(rank, slots, now);
        return limit - (occupancy?.inFlight ?? 0) - this.options.peers.countInFlight(id, slots);
    }

    private estimateCost(instance: Instance, demand: Demand, unread: number): number {
        const { peers } = this.options;
        const pace = this.findPace(instance.id);
        const inFlight = this.countInFlight(instance.id) + peers.countInFlight(instance.id, instance.slots);
        const backlog = this.countPendingTokens(instance.id) + peers.countPendingTokens(instance.id);
        const work = demand.isEngine
            ? estimateStreamCost(pace, demand, backlog + unread, inFlight / instance.slots)
            : pace.estimateAnswerMs(inFlight, instance.slots);
        return work + this.readDistanceMs(instance) + this.health.readFailureShare(instance.id) * work;
    }

    private readDistanceMs({ dataCentre }: Instance): number {
        const { dataCentre: own, region, regions } = this.options;
        if (dataCentre === own) {
            return 0;
        }
        return regions[dataCentre] === region ? OTHER_DATA_CENTRE_MS : OTHER_REGION_MS;
    }

    private occupy(instance: Instance, demand: Demand, unread: number): Placement {
        const { timers, peers } = this.options;
        const occupancy = this.findOccupancy(instance.id);
        const backlog = occupancy.pendingTokens + peers.countPendingTokens(instance.id);
        occupancy.inFlight += 1;
        occupancy.pendingTokens += unread;
        this.health.noteDispatch(instance.id);
        this.prefixes.note(instance.id, demand.prompt);
        return Placement.create(instance, unread, timers.now(), backlog, this);
    }

    private refuse(line: WaitingLine<Waiter>, waiter: Waiter): void {
        line.remove(waiter);
        const { directory, timers } = this.options;
        const { service, rank, excluded } = waiter.demand;
        this.findQueue(service).balance.note(rank, false, timers.now());
        const hasInstance = directory.list().some(instance =>
            instance.service === service && !excluded.has(instance.id)
        );
        const retryAfterMs = this.pickRetryAfterMs(waiter.demand.leftMs);
        waiter.settle(Err(
            hasInstance
                ? SchedulerError.create("Overloaded", { tier: String(rank) }, { retryAfterMs })
                : SchedulerError.create("NoEndpoint", { target: service }, { retryAfterMs }),
        ));
    }

    private applyDirectory(): void {
        const ids = new Set(this.options.directory.list().map(instance => instance.id));
        this.health.retain(ids);
        this.prefixes.retain(ids);
        for (const [id, occupancy] of this.occupancies) {
            if (!ids.has(id) && occupancy.inFlight === 0) {
                this.occupancies.delete(id);
                this.paces.delete(id);
            }
        }
        this.pumpAll();
    }

    private findQueue(service: string): ServiceQueue {
        const queue = this.queues.get(service)
            ?? {
                line: WaitingLine.create<Waiter>(),
                headroom: RankHeadroom.create(),
                balance: RankBalance.create(),
            };
        this.queues.set(service, queue);
        return queue;
    }

    private findOccupancy(id: string): Occupancy {
        const occupancy = this.occupancies.get(id) ?? { inFlight: 0, pendingTokens: 0, fullUntil: 0 };
        this.occupancies.set(id, occupancy);
        return occupancy;
    }

    private findPace(id: string): InstancePace {
        const pace = this.paces.get(id) ?? InstancePace.create();
        this.paces.set(id, pace);
        return pace;
    }
}

/**
 * Cost of a stream in milliseconds: the time to its first event, a part of the time that it holds its place, and what it
 * would take beyond its deadline. Engines slow down as they fill up.
 */
const estimateStreamCost = (pace: InstancePace, demand: Demand, tokens: number, load: number): number => {
    const firstMs = pace.estimateFirstEventMs(tokens) * (1 + load / 2);
    const gapMs = pace.estimateGapMs();
    const durationMs = demand.expectedEvents * gapMs;
    const lateMs = Math.max(0, firstMs + durationMs - demand.leftMs);
    const slowMs = Math.max(0, gapMs - (demand.gapTargetMs ?? gapMs)) * demand.expectedEvents;
    return firstMs + durationMs * HOLDING_WEIGHT + lateMs + slowMs;
};
