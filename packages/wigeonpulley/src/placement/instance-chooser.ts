/** Chooses the instance with the lowest expected cost for a request, in milliseconds of latency. */
import type { Evacuations, Instance, InstanceDirectory } from "../discovery/index.js";
import type { DataCentreRegions } from "./allowed-regions.js";
import type { ColdInstances } from "./cold-instances.js";
import type { LoadedInstance } from "./home-candidates.js";
import type { HomePolicy, PromptHomes } from "./home-policy.js";
import type { InstanceHealth } from "./instance-health.js";
import type { InstanceLatencyModel } from "./instance-latency-model.js";
import type { InstanceLoads } from "./instance-loads.js";
import type { InstanceRateLimits } from "./instance-rate-limits.js";
import type { PeerLoads } from "./peer-loads.js";
import type { PlacementRequest } from "./placement-request.js";
import { computeExpectedUncachedTokens } from "./prompt-homes.js";
import type { VersionPolicy } from "./version-policy.js";

/** Options of the chooser. */
export interface InstanceChooserOptions {
    readonly directory: InstanceDirectory;
    readonly evacuations: Evacuations;
    readonly peers: PeerLoads;
    readonly loads: InstanceLoads;
    readonly health: InstanceHealth;
    readonly rateLimits: InstanceRateLimits;
    readonly coldInstances: ColdInstances;
    readonly versions: VersionPolicy;
    readonly homes: HomePolicy;
    readonly dataCentre: string;
    readonly region: string;
    readonly regions: DataCentreRegions;
}

/** Why there is no instance: all slots are in use, or the free ones don't suit this request. */
export type ChoiceFailure = "no-place" | "unsuitable";

/** The best instance for a request. */
export interface InstanceChoice {
    readonly instance: Instance;
    /** Prompt tokens that it is expected to prefill. */
    readonly uncachedTokens: number;
    /** Number of leading prompt blocks that it is a home of. */
    readonly homeDepth: number;
    /** Homes of the prompt; undefined for none. */
    readonly homes: PromptHomes | undefined;
    /** Free slots of all instances that may take the request. */
    readonly freeSlots: number;
}

/** Cost of an instance in another data centre of the region, in milliseconds: the round trip and its price. */
const OTHER_DATA_CENTRE_COST_MS = 4;
/** Cost of an instance in another region, in milliseconds: the round trip and the price of the narrow link. */
const OTHER_REGION_COST_MS = 60;
/** Weight of the time for which a stream holds its slot, relative to the time to its first event. */
const SLOT_HOLD_WEIGHT = 0.1;
/**
 * Weight of the delay that a prefill causes to an engine's other requests. In the simulation of prompt-homes.test.ts fewer
 * tokens are read again with a higher weight, but from 2 on the slowest first events come later.
 */
const ENGINE_TIME_WEIGHT = 1.5;

/**
 * Most prompt tokens that an engine prefills between two events of a stream: it prefills in chunks between decoding
 * steps. About five chunks of 2,048 tokens, since an event holds about five tokens.
 */
const MAX_PREFILL_TOKENS_PER_EVENT = 10_000;

/** Chooses instances for the requests of one VM. */
export class InstanceChooser {
    private constructor(private readonly options: InstanceChooserOptions) {}

    /** Creates a chooser. */
    static create(options: InstanceChooserOptions): InstanceChooser {
        return new InstanceChooser(options);
    }

    /**
     * Returns the cheapest instance with a free slot; a canary request goes to the canary version if one of its
     * instances can take it. `computeLimit` returns the in-flight limit of an instance.
     */
    choose(
        request: PlacementRequest,
        computeLimit: (instance: Instance) => number,
    ): InstanceChoice | ChoiceFailure {
        if (request.isCanary) {
            const { versions } = this.options;
            const choice = this.chooseAmong(
                request,
                computeLimit,
                instance => versions.isCanaryVersion(instance),
            );
            if (typeof choice !== "string") {
                return choice;
            }
        }
        return this.chooseAmong(request, computeLimit, () => true);
    }

    private chooseAmong(
        request: PlacementRequest,
        computeLimit: (instance: Instance) => number,
        isSuitable: (instance: Instance) => boolean,
    ): InstanceChoice | ChoiceFailure {
        const { directory, loads, homes } = this.options;
        const instances = directory.listOfService(request.service);
        const isUsable = (instance: Instance): boolean =>
            isSuitable(instance) && this.isCandidate(instance, request);
        // Under load most choices end here: waiting requests are tried again and again.
        if (
            !instances.some(instance =>
                computeLimit(instance) > this.countInFlight(instance) && isUsable(instance)
            )
        ) {
            return "no-place";
        }
        const usable = instances.filter(isUsable);
        const free = usable.map(instance => computeLimit(instance) - this.countInFlight(instance));
        const freeSlots = free.reduce((sum, count) => sum + Math.max(0, count), 0);
        const isDelayAvoidable = this.hasInstanceWithoutDelay(request);
        const promptHomes = homes.findHomes(request, this.listLoaded(usable, free));
        let best: Omit<InstanceChoice, "freeSlots" | "homes"> | undefined;
        let lowestCostMs = Number.POSITIVE_INFINITY;
        for (const [index, instance] of usable.entries()) {
            if ((free[index] ?? 0) <= 0) {
                continue;
            }
            // A home is only likely to have the prompt cached, so that streams are protected as if it had not.
            const knownUncachedTokens = loads.countUncachedTokens(instance.id, request);
            if (isDelayAvoidable && this.isDelayingStreams(instance, request, knownUncachedTokens)) {
                continue;
            }
            const homeDepth = promptHomes?.depths[index] ?? 0;
            const uncachedTokens = promptHomes === undefined
                ? knownUncachedTokens
                : computeExpectedUncachedTokens(
                    knownUncachedTokens,
                    promptHomes.blocks,
                    loads.countCachedBlocks(instance.id, request),
                    homeDepth,
                );
            const costMs = this.estimateCostMs(instance, request, uncachedTokens)
                + (promptHomes === undefined
                    ? 0
                    : this.estimateEngineTimeCostMs(
                        instance,
                        promptHomes.canBeHome[index] === true ? uncachedTokens : request.promptTokens,
                        promptHomes.meanInFlight,
                    ));
            if (best === undefined || costMs < lowestCostMs) {
                best = { instance, uncachedTokens, homeDepth };
                lowestCostMs = costMs;
            }
        }
        return best === undefined ? "unsuitable" : { ...best, freeSlots, homes: promptHomes };
    }

    private listLoaded(usable: readonly Instance[], free: readonly number[]): readonly LoadedInstance[] {
        return usable.map((instance, index) => ({
            instance,
            inFlight: this.countInFlight(instance),
            hasFreeSlot: (free[index] ?? 0) > 0,
            eventGapMs: this.options.loads.getLatencyModel(instance).estimateEventGapMs(),
        }));
    }

    /** True when some instance, busy or not, could prefill the prompt within the gap target of its streams. */
    private hasInstanceWithoutDelay(request: PlacementRequest): boolean {
        return request.gapTargetMs !== undefined
            && this.options.directory.listOfService(request.service).some(instance =>
                this.isCandidate(instance, request)
                && !this.isGapTargetExceeded(instance, request, request.promptTokens)
            );
    }

    /** True when prefilling the prompt would delay an event of the instance's streams beyond the target. */
    private isDelayingStreams(
        instance: Instance,
        request: PlacementRequest,
        uncachedTokens: number,
    ): boolean {
        return this.countInFlight(instance) > 0
            && this.isGapTargetExceeded(
                instance,
                request,
                this.countPendingPromptTokens(instance.id) + uncachedTokens,
            );
    }

    private isGapTargetExceeded(
        instance: Instance,
        { gapTargetMs = Number.POSITIVE_INFINITY }: PlacementRequest,
        tokens: number,
    ): boolean {
        const model = this.options.loads.getLatencyModel(instance);
        const prefillMs = model.estimatePrefillMs(Math.min(tokens, MAX_PREFILL_TOKENS_PER_EVENT));
        return model.estimateEventGapMs() + prefillMs > gapTargetMs;
    }

    /** Number of requests of all VMs in flight at an instance, as far as known. */
    countInFlight({ id, slots }: Instance): number {
        return this.options.loads.countInFlight(id) + this.options.peers.countInFlight(id, slots);
    }

    /** Prompt tokens of all VMs that await prefill at an instance, as far as known. */
    countPendingPromptTokens(id: string): number {
        return this.options.loads.countPendingPromptTokens(id)
            + this.options.peers.countPendingPromptTokens(id);
    }

    /** Free slots of the instances in a region that may take the request. */
    countFreeSlots(
        request: PlacementRequest,
        region: string,
        computeLimit: (instance: Instance) => number,
    ): number {
        const { directory, regions } = this.options;
        return directory.listOfService(request.service)
            .filter(instance =>
                regions.getRegion(instance.dataCentre) === region && this.isCandidate(instance, request)
            )
            .reduce(
                (sum, instance) => sum + Math.max(0, computeLimit(instance) - this.countInFlight(instance)),
                0,
            );
    }

    /** True when the instance lies in a region that the request may use. */
    isInAllowedRegion({ dataCentre }: Instance, { allowedRegions }: PlacementRequest): boolean {
        return this.options.regions.isAllowed(dataCentre, allowedRegions);
    }

    /** True when the request may go to the instance now, whatever the instance's state and load are. */
    isPermitted(instance: Instance, request: PlacementRequest): boolean {
        return this.isInAllowedRegion(instance, request)
            && !this.options.evacuations.isEvacuated(instance.dataCentre);
    }

    private isCandidate(instance: Instance, request: PlacementRequest): boolean {
        const { health, loads, rateLimits, coldInstances, versions } = this.options;
        return instance.state === "ready"
            && this.isPermitted(instance, request)
            && !request.excludedInstances.has(instance.id)
            && versions.canUse(instance, request.isCanary)
            && health.canUse(instance.id)
            && !loads.isFull(instance.id)
            && rateLimits.canSend(instance, loads.countInFlight(instance.id))
            && coldInstances.canSend(instance);
    }

    /** Expected time to the first event or response when `tokens` have to be prefilled first, in milliseconds. */
    predictFirstResponseMs(instance: Instance, { isEngine }: PlacementRequest, tokens: number): number {
        const model = this.options.loads.getLatencyModel(instance);
        const inFlight = this.countInFlight(instance);
        return isEngine
            ? estimateFirstEventUnderLoadMs(model, tokens, inFlight / instance.slots)
            : model.estimateResponseMs(inFlight, instance.slots);
    }

    private estimateCostMs(instance: Instance, request: PlacementRequest, uncachedTokens: number): number {
        const model = this.options.loads.getLatencyModel(instance);
        const inFlight = this.countInFlight(instance);
        const workMs = request.isEngine
            ? estimateStreamCostMs(
                model,
                request,
                this.countPendingPromptTokens(instance.id) + uncachedTokens,
                inFlight / instance.slots,
            )
            : model.estimateResponseMs(inFlight, instance.slots);
        return workMs * (1 + this.options.health.getFailureRate(instance.id))
            + this.getDistanceCostMs(instance);
    }

    /**
     * Cost of a prefill for the engine's other requests, each of which it delays, in milliseconds. It counts their mean
     * number over all engines, so that it compares engines by what they have cached and not once more by their load.
     */
    private estimateEngineTimeCostMs(instance: Instance, tokens: number, meanInFlight: number): number {
        const model = this.options.loads.getLatencyModel(instance);
        return model.estimatePrefillMs(tokens) * meanInFlight * ENGINE_TIME_WEIGHT;
    }

    private getDistanceCostMs({ dataCentre }: Instance): number {
        const { dataCentre: ownDataCentre, region, regions } = this.options;
        if (dataCentre === ownDataCentre) {
            return 0;
        }
        return regions.getRegion(dataCentre) === region ? OTHER_DATA_CENTRE_COST_MS : OTHER_REGION_COST_MS;
    }
}

/**
 * Cost of a stream in milliseconds: the time to its first event, a share of the time for which it holds its slot, and
 * the time by which it would miss its deadline and its gap target. Engines slow down as they fill up.
 */
const estimateStreamCostMs = (
    model: InstanceLatencyModel,
    request: PlacementRequest,
    tokens: number,
    load: number,
): number => {
    const firstEventMs = estimateFirstEventUnderLoadMs(model, tokens, load);
    const gapMs = model.estimateEventGapMs();
    const durationMs = request.expectedEvents * gapMs;
    const lateMs = Math.max(0, firstEventMs + durationMs - request.remainingMs);
    const slowMs = Math.max(0, gapMs - (request.gapTargetMs ?? gapMs)) * request.expectedEvents;
    return firstEventMs + durationMs * SLOT_HOLD_WEIGHT + lateMs + slowMs;
};

const estimateFirstEventUnderLoadMs = (model: InstanceLatencyModel, tokens: number, load: number): number =>
    model.estimateFirstEventMs(tokens) * (1 + load / 2);
