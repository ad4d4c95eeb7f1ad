/** Decides which of the instances that may take a request can be homes of its prompt blocks. */
import type { Instance } from "../discovery/index.js";

/** An instance that may take a request, with what this VM knows of its load. */
export interface LoadedInstance {
    readonly instance: Instance;
    /** Requests of all VMs in flight there. */
    readonly inFlight: number;
    /** True when it has a slot for the request. */
    readonly hasFreeSlot: boolean;
    /** Expected event gap, in milliseconds. */
    readonly eventGapMs: number;
}

/** Where a VM is, and what time it is. */
export interface HomeScope {
    readonly dataCentre: string;
    readonly region: string;
    /** Region by data centre. */
    readonly regions: Readonly<Record<string, string>>;
    /** Unix milliseconds. */
    readonly wallClockMs: number;
}

/**
 * An instance above this multiple of the mean load, counted with one more request, is passed over as a home. With 1.25
 * a fifth more tokens were read again in the simulation of prompt-homes.test.ts, and first events came no earlier.
 */
const MAX_LOAD_FACTOR = 1.5;
/** An instance whose event gap is above this multiple of the median is passed over as a home. */
const MAX_GAP_FACTOR = 2;

/** Which instances can be homes. */
export interface HomeEligibility {
    /** Whether each instance can be a home, in the order of the instances. */
    readonly canBeHome: readonly boolean[];
    /** Mean number of requests in flight at the instances among which homes are chosen. */
    readonly meanInFlight: number;
    /** Share of the instances that are in the region for which homes are chosen. */
    readonly scopeShare: number;
}

/**
 * Decides for each instance whether it can be a home. Homes are chosen per region, since a prompt costs more on the
 * link between regions than its prefill does; only where this VM's region has no usable instance, others are homes.
 */
export const evaluateHomeCandidates = (
    loaded: readonly LoadedInstance[],
    { dataCentre, region, regions, wallClockMs }: HomeScope,
): HomeEligibility => {
    const isLocal = loaded.map(({ instance }) =>
        instance.dataCentre === dataCentre || regions[instance.dataCentre] === region
    );
    const hasLocal = isLocal.includes(true);
    const inScope = loaded.map((unused, index) => !hasLocal || isLocal[index] === true);
    const scoped = loaded.filter((unused, index) => inScope[index]);
    const slots = scoped.reduce((sum, { instance }) => sum + instance.slots, 0);
    const inFlightInScope = scoped.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const meanLoad = inFlightInScope / slots;
    const gaps = scoped.map(({ eventGapMs }) => eventGapMs).sort((left, right) => left - right);
    const maxGapMs = (gaps[gaps.length >> 1] ?? 0) * MAX_GAP_FACTOR;
    const canBeHome = loaded.map(({ instance, inFlight, hasFreeSlot, eventGapMs }, index) =>
        inScope[index] === true
        && hasFreeSlot
        && inFlight + 1 <= MAX_LOAD_FACTOR * (meanLoad * instance.slots + 1)
        && eventGapMs <= maxGapMs
        && !isCold(instance, wallClockMs)
    );
    return {
        canBeHome,
        meanInFlight: inFlightInScope / scoped.length,
        scopeShare: scoped.length / loaded.length,
    };
};

const isCold = ({ bornMs, coldMs }: Instance, wallClockMs: number): boolean =>
    bornMs > 0 && wallClockMs < bornMs + coldMs;
