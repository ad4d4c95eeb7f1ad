/**
 * Schedules one endpoint group: waiting tickets in strict order of tiers, slots on endpoints, early refusal.
 * Nothing here is durable; a replacement starts empty and gateways announce what is running.
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type Endpoint, MAX_TIERS, type Selector } from "../config/index.js";
import {
    type Observation,
    Outcome,
    RefusalReason,
    type Release,
    type RunningRequest,
    type Ticket,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { CancelTimer, TimerService } from "../time/index.js";
import { EndpointState } from "./endpoint-state.js";
import { isEndpointAllowed } from "./groups.js";
import type { QueueEntry, QueueOrder } from "./queue-order.js";
import { TierQueue } from "./tier-queue.js";

/** A slot on an endpoint. */
export interface SlotGrant {
    readonly endpoint: string;
    /** Time that the request is expected to take, in milliseconds. */
    readonly expectedMs: number;
}

/** Why a ticket gets no slot. */
export interface SlotRefusal {
    readonly reason: RefusalReason;
    /** Time after which a retry is worthwhile, in milliseconds. */
    readonly retryAfterMs: number;
    /** Time that the request is expected to take, in milliseconds; 0 when it was not estimated. */
    readonly estimateMs: number;
}

/** Result of a ticket. */
export type SlotResult = Result<SlotGrant, SlotRefusal>;

/** Options of a group scheduler. */
export interface GroupSchedulerOptions {
    readonly timers: TimerService;
    readonly order: QueueOrder;
    /** Finds a selector of the active configuration. */
    readonly findSelector: (name: string) => Selector | undefined;
}

interface Waiter extends QueueEntry {
    readonly ticket: Ticket;
    readonly gateway: string;
    readonly selector: Selector;
    readonly settle: (result: SlotResult) => void;
}

/** Interval at which waiting tickets are checked against their deadlines, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Time for which lower tiers are refused after a tier was refused for load, in milliseconds. */
export const SHED_WINDOW_MS = 1_000;

/** Bounds of the time after which a refused caller may retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 30_000;

/** Time for which a slot of a lost gateway stays occupied after its expected end, in milliseconds. */
const LOST_GATEWAY_GRACE_MS = 2_000;

/** Scheduler of one group. */
export class GroupScheduler {
    private readonly endpoints = new Map<string, EndpointState>();
    private readonly waiting: TierQueue<Waiter>;
    /** End of the shed window by tier: until then the tier is refused because a higher one was. */
    private shedUntilByTier: number[] = [];
    private readonly cancelCheck: CancelTimer;

    private constructor(private readonly options: GroupSchedulerOptions) {
        this.waiting = TierQueue.create(options.order);
        this.cancelCheck = options.timers.scheduleRepeating(CHECK_INTERVAL_MS, () => this.checkWaiters());
    }

    /** Creates a scheduler without endpoints. */
    static create(options: GroupSchedulerOptions): GroupScheduler {
        return new GroupScheduler(options);
    }

    /**
     * Applies the declared endpoints and which of them accept new work. An endpoint that is no longer declared gets no
     * new work and is removed at an update after its last request has ended.
     */
    updateEndpoints(endpoints: readonly Endpoint[], isReady: (endpoint: Endpoint) => boolean): void {
        const names = new Set(endpoints.map(endpoint => endpoint.name));
        for (const [name, state] of this.endpoints) {
            if (!names.has(name) && state.countRunning() === 0) {
                this.endpoints.delete(name);
            }
            else if (!names.has(name)) {
                state.isAcceptingWork = false;
            }
        }
        for (const endpoint of endpoints) {
            const state = this.endpoints.get(endpoint.name) ?? EndpointState.create(endpoint);
            state.endpoint = endpoint;
            state.isAcceptingWork = isReady(endpoint);
            this.endpoints.set(endpoint.name, state);
        }
        this.grantWaiting();
    }

    /** Waits for a slot. Resolves with a grant, or with a refusal as soon as one is certain. */
    acquire(ticket: Ticket, gateway: string): Promise<SlotResult> {
        const selector = this.options.findSelector(ticket.selector);
        if (selector === undefined) {
            return Promise.resolve(this.createRefusal(RefusalReason.UNKNOWN_SELECTOR));
        }
        const now = this.options.timers.now();
        const eligible = this.listEligible(ticket, selector);
        if (eligible.length === 0) {
            return Promise.resolve(this.createRefusal(RefusalReason.NO_ENDPOINT));
        }
        return new Promise(settle => {
            const waiter: Waiter = {
                ticket,
                gateway,
                selector,
                settle,
                arrivedAt: now,
                deadlineAt: now + ticket.remainingMs,
                expectedMs: Math.min(...eligible.map(state => state.estimateDurationMs(ticket, now))),
            };
            this.admit(waiter);
        });
    }

    /** Withdraws a waiting ticket. Returns false when it does not wait here. */
    withdraw(id: string): boolean {
        const waiter = this.waiting.find(id);
        if (waiter !== undefined) {
            this.refuse(waiter, RefusalReason.WITHDRAWN);
        }
        return waiter !== undefined;
    }

    /** Registers a running request that another scheduler granted. */
    registerRunning(running: RunningRequest, gateway: string): void {
        const state = this.endpoints.get(running.endpoint);
        state?.registerSlot({
            id: running.id,
            gateway,
            tier: running.tier,
            startedAt: this.options.timers.now(),
            expectedMs: running.expectedMs,
            uncachedTokens: 0,
            expiresAt: undefined,
        });
    }

    /** Frees a slot; a failed or unsent request also lowers the endpoint's limit. */
    release(release: Release): void {
        for (const state of this.endpoints.values()) {
            if (!state.hasSlot(release.id)) {
                continue;
            }
            state.release(release);
            if (release.outcome === Outcome.FAILED || release.outcome === Outcome.NOT_SENT) {
                state.observeFailure();
            }
        }
        this.grantWaiting();
    }

    /** Applies a gateway's inter-token latency samples. */
    observe(observation: Observation): void {
        this.endpoints.get(observation.endpoint)?.observe(observation, this.options.timers.now());
        this.grantWaiting();
    }

    /** Removes blocks that an endpoint reported as evicted from its cache. */
    removeBlocks(endpoint: string, blocks: readonly number[]): void {
        this.endpoints.get(endpoint)?.removeBlocks(blocks);
    }

    /**
     * Withdraws the waiting tickets of a gateway that is gone and lets its slots expire.
     * Returns the number of affected tickets and slots.
     */
    removeGateway(gateway: string): number {
        const waiters = this.waiting.listAll().filter(waiter => waiter.gateway === gateway);
        waiters.forEach(waiter => this.refuse(waiter, RefusalReason.WITHDRAWN));
        const now = this.options.timers.now();
        const slots = [...this.endpoints.values()]
            .flatMap(state => [...state.listSlots()])
            .filter(slot => slot.gateway === gateway);
        for (const slot of slots) {
            slot.expiresAt = Math.max(now, slot.startedAt + slot.expectedMs) + LOST_GATEWAY_GRACE_MS;
        }
        return waiters.length + slots.length;
    }

    /** Refuses every waiting ticket and stops the periodic check. */
    stop(reason: RefusalReason): void {
        this.cancelCheck();
        this.waiting.listAll().forEach(waiter => this.refuse(waiter, reason));
    }

    /** Number of waiting tickets. */
    countWaiting(): number {
        return this.waiting.size;
    }

    /** Tiers of the waiting tickets. */
    listWaitingTiers(): readonly number[] {
        return this.waiting.listAll().map(({ ticket }) => ticket.tier);
    }

    /** Number of free slots, reserved ones included. */
    countFreeSlots(): number {
        return [...this.endpoints.values()].reduce((sum, state) => sum + state.countFreeSlots(0), 0);
    }

    /** Number of running requests by endpoint. */
    countRunningByEndpoint(): ReadonlyMap<string, number> {
        return new Map([...this.endpoints].map(([name, state]) => [name, state.countRunning()]));
    }

    /** Time that a new ticket of the lowest tier would wait, in milliseconds. */
    estimateWaitMs(): number {
        return this.estimateWaitBehind(this.waiting.listAll());
    }

    private admit(waiter: Waiter): void {
        const now = this.options.timers.now();
        const { tier, durable, allowedMs, refusedForLoad } = waiter.ticket;
        const isUnattainable = waiter.expectedMs > allowedMs && !durable;
        if (isUnattainable && !refusedForLoad) {
            this.settleRefused(waiter, RefusalReason.DEADLINE_UNATTAINABLE);
            return;
        }
        if (isUnattainable || (!durable && now < (this.shedUntilByTier[tier] ?? 0))) {
            this.shed(waiter);
            return;
        }
        this.waiting.add(waiter);
        this.grantWaiting();
        if (this.waiting.has(waiter) && this.isTooLate(waiter)) {
            this.shed(waiter);
        }
    }

    /** Grants slots in strict order of tiers as long as any is free. */
    private grantWaiting(): void {
        const now = this.options.timers.now();
        for (const waiter of this.waiting.listAll()) {
            if (this.countFreeSlots() === 0) {
                return;
            }
            const state = this.chooseEndpoint(waiter, now);
            if (state !== undefined) {
                this.waiting.remove(waiter);
                const slot = state.occupy(waiter.ticket, waiter.gateway, now);
                waiter.settle(Ok({ endpoint: state.endpoint.name, expectedMs: slot.expectedMs }));
            }
        }
    }

    /** The endpoint with a free slot that is expected to finish the ticket first. */
    private chooseEndpoint(waiter: Waiter, now: number): EndpointState | undefined {
        let best: EndpointState | undefined;
        let bestMs = Number.POSITIVE_INFINITY;
        for (const state of this.listEligible(waiter.ticket, waiter.selector)) {
            const reserved = waiter.ticket.tier === 0 ? 0 : state.countReservedSlots();
            if (state.countFreeSlots(reserved) === 0) {
                continue;
            }
            const loadFactor = 1 + state.countRunning() / state.getLimit();
            const expectedMs = state.estimateDurationMs(waiter.ticket, now) * loadFactor;
            if (expectedMs < bestMs) {
                best = state;
                bestMs = expectedMs;
            }
        }
        return best;
    }

    private listEligible(ticket: Ticket, selector: Selector): readonly EndpointState[] {
        return [...this.endpoints.values()].filter(state =>
            state.isAcceptingWork
            && !ticket.excludedEndpoints.includes(state.endpoint.name)
            && isEndpointAllowed(selector, state.endpoint)
        );
    }

    /** True when the ticket can't finish by its deadline from its position in the queue. */
    private isTooLate(waiter: Waiter): boolean {
        if (waiter.ticket.durable) {
            return false;
        }
        const ahead = this.waiting.listAhead(waiter);
        const finishAt = this.options.timers.now() + this.estimateWaitBehind(ahead) + waiter.expectedMs;
        return finishAt > waiter.deadlineAt;
    }

    private estimateWaitBehind(ahead: readonly Waiter[]): number {
        if (this.countFreeSlots() > 0) {
            return 0;
        }
        const now = this.options.timers.now();
        let workMs = ahead.reduce((sum, waiter) => sum + waiter.expectedMs, 0);
        let slots = 0;
        for (const state of this.endpoints.values()) {
            workMs += state.computeRemainingMs(now);
            slots += state.isAcceptingWork ? state.getLimit() : 0;
        }
        return slots === 0 ? Number.POSITIVE_INFINITY : workMs / slots;
    }

    /** Refuses tickets that became too late and frees expired slots of lost gateways. */
    private checkWaiters(): void {
        const now = this.options.timers.now();
        for (const state of this.endpoints.values()) {
            for (const slot of [...state.listSlots()]) {
                if (slot.expiresAt !== undefined && slot.expiresAt <= now) {
                    state.discardSlot(slot.id);
                }
            }
        }
        for (const waiter of this.waiting.listAll().toReversed()) {
            if (this.waiting.has(waiter) && this.isTooLate(waiter)) {
                this.shed(waiter);
            }
        }
        this.grantWaiting();
    }

    /** Refuses a ticket for load after all non-durable ones of lower tiers, and opens a shed window for these tiers. */
    private shed(waiter: Waiter): void {
        const { tier } = waiter.ticket;
        const lower = this.waiting.listBelow(tier).filter(candidate => !candidate.ticket.durable);
        lower.forEach(candidate => this.refuse(candidate, RefusalReason.OVERLOADED));
        const shedUntil = this.options.timers.now() + SHED_WINDOW_MS;
        for (let other = tier + 1; other < MAX_TIERS; other += 1) {
            this.shedUntilByTier[other] = shedUntil;
        }
        this.refuse(waiter, RefusalReason.OVERLOADED);
    }

    private refuse(waiter: Waiter, reason: RefusalReason): void {
        this.waiting.remove(waiter);
        this.settleRefused(waiter, reason);
    }

    private settleRefused(waiter: Waiter, reason: RefusalReason): void {
        waiter.settle(this.createRefusal(reason, waiter.expectedMs));
    }

    private createRefusal(reason: RefusalReason, estimateMs = 0): SlotResult {
        const waitMs = this.estimateWaitBehind(this.waiting.listAll());
        const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
        return Err({ reason, retryAfterMs: Math.ceil(retryAfterMs), estimateMs: Math.ceil(estimateMs) });
    }
}
