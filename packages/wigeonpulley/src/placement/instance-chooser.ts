/** Chooses the instance on which a request is expected to do best. */
import type { Instance, InstanceDirectory } from "../discovery/index.js";
import type { InstanceHealth } from "./instance-health.js";
import type { InstanceLatencyModel } from "./instance-latency-model.js";
import type { InstanceLoads } from "./instance-loads.js";
import type { PeerLoads } from "./peer-loads.js";
import type { PlacementRequest } from "./placement-request.js";
import type { VersionPolicy } from "./version-policy.js";

/** What the chooser is built from. */
export interface InstanceChooserOptions {
    readonly directory: InstanceDirectory;
    readonly peers: PeerLoads;
    readonly loads: InstanceLoads;
    readonly health: InstanceHealth;
    readonly versions: VersionPolicy;
    readonly dataCentre: string;
    readonly region: string;
    /** Region by data centre. */
    readonly regions: Readonly<Record<string, string>>;
}

/** Why there is no instance: all places are taken, or those that are free don't suit this request. */
export type ChoiceFailure = "no-place" | "unsuitable";

/** The best instance for a request. */
export interface InstanceChoice {
    readonly instance: Instance;
    /** Tokens of the prompt that it has to read. */
    readonly uncachedTokens: number;
    /** Free places of all instances that the request may have. */
    readonly freeSlots: number;
}

/** Time added for an instance in another data centre of the region, in milliseconds; stands for the round trip and its price. */
const OTHER_DATA_CENTRE_MS = 4;
/** Time added for an instance in another region, in milliseconds; stands for the round trip and the price of the narrow link. */
const OTHER_REGION_MS = 60;
/** Weight of the time that a stream holds its place against the time to its first event. */
const HOLDING_WEIGHT = 0.1;

/**
 * Tokens of prompts that an engine reads between two events of a stream at the most, because it reads prompts in parts
 * between its steps. From a trial with 2,048 tokens a part and five tokens an event.
 */
const READ_PER_EVENT_TOKENS = 10_000;

/** Chooser of one VM. */
export class InstanceChooser {
    private constructor(private readonly options: InstanceChooserOptions) {}

    /** Creates a chooser. */
    static create(options: InstanceChooserOptions): InstanceChooser {
        return new InstanceChooser(options);
    }

    /** The best instance with a free place; `computeLimit` tells how many requests one with so many slots may hold. */
    choose(
        demand: PlacementRequest,
        computeLimit: (slots: number) => number,
    ): InstanceChoice | ChoiceFailure {
        if (demand.isCanary) {
            const { versions } = this.options;
            const tried = this.chooseAmong(
                demand,
                computeLimit,
                instance => versions.isCanaryVersion(instance),
            );
            if (typeof tried !== "string") {
                return tried;
            }
        }
        return this.chooseAmong(demand, computeLimit, () => true);
    }

    private chooseAmong(
        demand: PlacementRequest,
        computeLimit: (slots: number) => number,
        suits: (instance: Instance) => boolean,
    ): InstanceChoice | ChoiceFailure {
        const { directory, loads } = this.options;
        const hasUndisturbed = this.hasUndisturbedInstance(demand);
        let best:
            | { readonly instance: Instance; readonly cost: number; readonly unread: number; }
            | undefined;
        let freeSlots = 0;
        for (const instance of directory.list()) {
            const free = suits(instance) && this.isCandidate(instance, demand)
                ? computeLimit(instance.slots) - this.countInFlight(instance)
                : 0;
            if (free <= 0) {
                continue;
            }
            freeSlots += free;
            const unread = loads.countUncachedTokens(instance.id, demand);
            if (hasUndisturbed && this.disturbsStreams(instance, demand, unread)) {
                continue;
            }
            const cost = this.estimateCost(instance, demand, unread);
            if (best === undefined || cost < best.cost) {
                best = { instance, cost, unread };
            }
        }
        if (best === undefined) {
            return freeSlots > 0 ? "unsuitable" : "no-place";
        }
        return { instance: best.instance, uncachedTokens: best.unread, freeSlots };
    }

    /** True when some instance, busy or not, could read the prompt without a late event for the streams beside it. */
    private hasUndisturbedInstance(demand: PlacementRequest): boolean {
        return demand.gapTargetMs !== undefined
            && this.options.directory.list().some(instance =>
                this.isCandidate(instance, demand) && !this.exceedsGap(instance, demand, demand.promptTokens)
            );
    }

    /** True when reading the prompt would delay an event of the streams that the instance has beyond their target. */
    private disturbsStreams(instance: Instance, demand: PlacementRequest, unread: number): boolean {
        return this.countInFlight(instance) > 0
            && this.exceedsGap(instance, demand, this.countPendingPromptTokens(instance.id) + unread);
    }

    private exceedsGap(
        instance: Instance,
        { gapTargetMs = Number.POSITIVE_INFINITY }: PlacementRequest,
        tokens: number,
    ): boolean {
        const pace = this.options.loads.getLatencyModel(instance);
        const readMs = pace.estimatePrefillMs(Math.min(tokens, READ_PER_EVENT_TOKENS));
        return pace.estimateEventGapMs() + readMs > gapTargetMs;
    }

    /** Requests of all VMs at an instance, as far as is known. */
    countInFlight({ id, slots }: Instance): number {
        return this.options.loads.countInFlight(id) + this.options.peers.countInFlight(id, slots);
    }

    /** Prompt tokens of all VMs that an instance has still to read, as far as is known. */
    countPendingPromptTokens(id: string): number {
        return this.options.loads.countPendingPromptTokens(id)
            + this.options.peers.countPendingPromptTokens(id);
    }

    private isCandidate(instance: Instance, demand: PlacementRequest): boolean {
        const { health, loads, versions } = this.options;
        return instance.service === demand.service
            && instance.state === "ready"
            && !demand.excludedInstances.has(instance.id)
            && versions.canUse(instance, demand.isCanary)
            && health.canUse(instance.id)
            && !loads.isFull(instance.id);
    }

    /** Expected time to the first event or answer of a request with so many tokens to be read before, in milliseconds. */
    predictFirstResponseMs(instance: Instance, { isEngine }: PlacementRequest, tokens: number): number {
        const pace = this.options.loads.getLatencyModel(instance);
        const inFlight = this.countInFlight(instance);
        return isEngine
            ? estimateFirstMs(pace, tokens, inFlight / instance.slots)
            : pace.estimateResponseMs(inFlight, instance.slots);
    }

    private estimateCost(instance: Instance, demand: PlacementRequest, unread: number): number {
        const pace = this.options.loads.getLatencyModel(instance);
        const inFlight = this.countInFlight(instance);
        const work = demand.isEngine
            ? estimateStreamCost(
                pace,
                demand,
                this.countPendingPromptTokens(instance.id) + unread,
                inFlight / instance.slots,
            )
            : pace.estimateResponseMs(inFlight, instance.slots);
        return work * (1 + this.options.health.getFailureRate(instance.id)) + this.readDistanceMs(instance);
    }

    private readDistanceMs({ dataCentre }: Instance): number {
        const { dataCentre: own, region, regions } = this.options;
        if (dataCentre === own) {
            return 0;
        }
        return regions[dataCentre] === region ? OTHER_DATA_CENTRE_MS : OTHER_REGION_MS;
    }
}

/**
 * Cost of a stream in milliseconds: the time to its first event, a part of the time that it holds its place, and what it
 * would take beyond its deadline. Engines slow down as they fill up.
 */
const estimateStreamCost = (
    pace: InstanceLatencyModel,
    demand: PlacementRequest,
    tokens: number,
    load: number,
): number => {
    const firstMs = estimateFirstMs(pace, tokens, load);
    const gapMs = pace.estimateEventGapMs();
    const durationMs = demand.expectedEvents * gapMs;
    const lateMs = Math.max(0, firstMs + durationMs - demand.remainingMs);
    const slowMs = Math.max(0, gapMs - (demand.gapTargetMs ?? gapMs)) * demand.expectedEvents;
    return firstMs + durationMs * HOLDING_WEIGHT + lateMs + slowMs;
};

const estimateFirstMs = (pace: InstanceLatencyModel, tokens: number, load: number): number =>
    pace.estimateFirstEventMs(tokens) * (1 + load / 2);
