/** What a scheduler knows of one endpoint: its limit, its latencies, its running requests and its cached prefixes. */
import type { Endpoint } from "../config/index.js";
import type { Observation, Release, Ticket } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { AdaptiveLimit, type ConcurrencyLimit, FixedLimit } from "./concurrency-limit.js";
import { PrefixIndex } from "./prefix-index.js";

/** A request that occupies a slot. Times are monotonic milliseconds. */
export interface RunningSlot {
    readonly id: string;
    /** Gateway that dispatched the request. */
    readonly gateway: string;
    readonly tier: number;
    readonly startedAt: number;
    readonly expectedMs: number;
    /** Prompt tokens that were not expected in the cache. */
    readonly uncachedTokens: number;
    /** Time at which the slot is freed without a release; undefined while its gateway is connected. */
    expiresAt: number | undefined;
}

/** Estimates before the first observation. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.1;
const INITIAL_INTER_TOKEN_MS = 30;
const INITIAL_SERVICE_MS = 50;

/** Share of the slots that only the most important tier may take. */
const RESERVED_SHARE = 0.1;

/** Shortest time between two adjustments of the limit, in milliseconds. */
const ADJUST_INTERVAL_MS = 1_000;

/** Weight of a new sample in the exponentially weighted moving averages. */
const SAMPLE_WEIGHT = 0.2;

/** Prompts with fewer uncached tokens say little about the prefill speed. */
const MIN_PREFILL_SAMPLE_TOKENS = 64;

const computeAverage = (average: number, sample: number): number =>
    average + SAMPLE_WEIGHT * (sample - average);

/** State of one endpoint within its group. */
export class EndpointState {
    private readonly slots = new Map<string, RunningSlot>();
    private readonly prefixes = PrefixIndex.create();
    private readonly limit: ConcurrencyLimit;
    private prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
    private interTokenMs = INITIAL_INTER_TOKEN_MS;
    private serviceMs = INITIAL_SERVICE_MS;
    /** Inter-token latency samples since the limit was last adjusted, and how many of them missed the target. */
    private samples = 0;
    private slowSamples = 0;
    private adjustedAt = Number.NEGATIVE_INFINITY;
    /** False while the endpoint gets no new work. */
    isAcceptingWork = true;

    private constructor(public endpoint: Endpoint) {
        this.limit = endpoint.kind === "engine"
            ? AdaptiveLimit.create(endpoint.concurrency)
            : FixedLimit.create(endpoint.concurrency.maximum);
    }

    /** Creates the state of an endpoint without observations. */
    static create(endpoint: Endpoint): EndpointState {
        return new EndpointState(endpoint);
    }

    /** Requests that the endpoint may handle at the same time. */
    getLimit(): number {
        return this.limit.getLimit();
    }

    /** Running requests. */
    listSlots(): IterableIterator<RunningSlot> {
        return this.slots.values();
    }

    /** Number of running requests. */
    countRunning(): number {
        return this.slots.size;
    }

    /** Slots that only the most important tier may take. */
    countReservedSlots(): number {
        return Math.floor(this.getLimit() * RESERVED_SHARE);
    }

    /** Free slots, less `reserved` ones for more important tiers. */
    countFreeSlots(reserved: number): number {
        return this.isAcceptingWork ? Math.max(0, this.getLimit() - reserved - this.slots.size) : 0;
    }

    /** Prompt tokens of a ticket that the endpoint would have to compute. */
    countUncachedTokens(ticket: Ticket, now: number): number {
        return Math.max(0, ticket.promptTokens - this.prefixes.countCachedTokens(ticket.prefixBlocks, now));
    }

    /** Time that a ticket is expected to take on this endpoint, in milliseconds. */
    estimateDurationMs(ticket: Ticket, now: number): number {
        return this.endpoint.kind === "service"
            ? this.serviceMs
            : this.countUncachedTokens(ticket, now) * this.prefillMsPerToken
                + ticket.answerTokens * this.interTokenMs;
    }

    /** Time until the running requests are expected to end, summed, in milliseconds. */
    computeRemainingMs(now: number): number {
        let sum = 0;
        for (const slot of this.slots.values()) {
            sum += Math.max(slot.startedAt + slot.expectedMs - now, 0);
        }
        return sum;
    }

    /** Occupies a slot for a granted ticket. */
    occupy(ticket: Ticket, gateway: string, now: number): RunningSlot {
        const slot: RunningSlot = {
            id: ticket.id,
            gateway,
            tier: ticket.tier,
            startedAt: now,
            expectedMs: this.estimateDurationMs(ticket, now),
            uncachedTokens: this.countUncachedTokens(ticket, now),
            expiresAt: undefined,
        };
        this.slots.set(slot.id, slot);
        this.prefixes.addBlocks(ticket.prefixBlocks, now);
        return slot;
    }

    /** Registers a slot that another scheduler granted. */
    registerSlot(slot: RunningSlot): void {
        this.slots.set(slot.id, slot);
    }

    /** True when the request occupies a slot here. */
    hasSlot(id: string): boolean {
        return this.slots.has(id);
    }

    /** Frees a slot and updates the estimates with what its gateway measured. */
    release(release: Release): void {
        const slot = this.slots.get(release.id);
        this.slots.delete(release.id);
        if (slot !== undefined && release.durationMs > 0 && release.tokens > 0) {
            this.updateEstimates(slot, release);
        }
    }

    /** Frees a slot without updating the estimates. */
    discardSlot(id: string): void {
        this.slots.delete(id);
    }

    /** Removes blocks that were evicted from the cache. */
    removeBlocks(blocks: readonly number[]): void {
        this.prefixes.removeBlocks(blocks);
    }

    /** Lowers the limit after a failure. */
    observeFailure(): void {
        this.limit.observeFailure();
    }

    /** Applies a gateway's inter-token latency samples; the limit follows those of all gateways once a second. */
    observe(observation: Observation, now: number): void {
        this.interTokenMs = computeAverage(this.interTokenMs, observation.interTokenMeanMs);
        this.samples += observation.samples;
        this.slowSamples += observation.slowSamples;
        if (now - this.adjustedAt < ADJUST_INTERVAL_MS || this.samples === 0) {
            return;
        }
        // Reserved slots count as used: they may stay free while lower tiers fill all others.
        const used = this.slots.size + this.countReservedSlots();
        this.limit.observe({ slowShare: this.slowSamples / this.samples, used });
        this.samples = 0;
        this.slowSamples = 0;
        this.adjustedAt = now;
    }

    private updateEstimates(slot: RunningSlot, release: Release): void {
        if (this.endpoint.kind === "service") {
            this.serviceMs = computeAverage(this.serviceMs, release.durationMs);
            return;
        }
        if (slot.uncachedTokens >= MIN_PREFILL_SAMPLE_TOKENS) {
            const sample = release.firstTokenMs / slot.uncachedTokens;
            this.prefillMsPerToken = computeAverage(this.prefillMsPerToken, sample);
        }
        const decodeMs = Math.max(0, release.durationMs - release.firstTokenMs);
        this.interTokenMs = computeAverage(this.interTokenMs, decodeMs / release.tokens);
    }
}
