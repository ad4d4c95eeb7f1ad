/**
 * Determines from the pace by concurrency level above which level the throughput of an instance no longer rises. The gain of
 * more concurrency is the rise of the logarithm of the throughput over that of the concurrency: 1 where the pace stays
 * the same, 0 where all requests slow down in proportion, and less where the throughput falls.
 */
import { combineCells, type PaceCell } from "./pace-table.js";

/** Gain below which more concurrency isn't worth it. An engine whose slots all count has 0.6 or more at its last slot. */
const MIN_GAIN = 0.3;
/** Gain from which a limited instance gets one request more; above MIN_GAIN, so that noise doesn't move the limit. */
const RAISE_GAIN = 0.5;
/**
 * Standard errors by which a gain has to be below MIN_GAIN: more for the first limit of an instance, because with 2 a plain
 * instance that doesn't slow early was limited in one of 20 simulations. To raise a limit costs less when it is wrong.
 */
const CONFIDENCE = 2;
const FIRST_CONFIDENCE = 3;
const RAISE_CONFIDENCE = 0.5;
/** Weight of the observations from which a level, or the levels above it, count. */
const MIN_WEIGHT = 3;
const MIN_RAISE_WEIGHT = 2;
/** Least standard deviation of the logarithm of the pace that is assumed. */
const MIN_DEVIATION = 0.1;
/** Difference of the logarithm of the throughput up to which the lower of two limits is preferred. */
const SIMILAR_THROUGHPUT = 0.08;

/** Observations of one instance. */
export interface PaceEvidence {
    /** Observations of the last seconds, of all VMs. */
    readonly recent: ReadonlyMap<number, PaceCell>;
    /** Observations of the last minutes, of all VMs. */
    readonly longTerm: ReadonlyMap<number, PaceCell>;
}

/** True when the throughput hardly rises from the level of `cell` to those above the threshold. */
type FlatGainTest = (threshold: number, logLevel: number, cell: PaceCell) => boolean;

interface Gain {
    readonly gain: number;
    readonly error: number;
}

/**
 * Returns the next limit of an instance: undefined for none, `current` while nothing else is shown. `floor` is the lowest limit,
 * `slots` the number of requests from which none is needed.
 */
export const computeNextLimit = (
    evidence: PaceEvidence,
    current: number | undefined,
    floor: number,
    slots: number,
): number | undefined => {
    const { recent, longTerm } = evidence;
    const deviation = Math.max(MIN_DEVIATION, computeDeviation([...longTerm.values()]));
    if (current !== undefined) {
        const gain = computeGain(
            recent,
            current,
            Math.log(current),
            recent.get(current),
            MIN_RAISE_WEIGHT,
            deviation,
        );
        if (
            gain !== undefined && gain.gain > RAISE_GAIN
            && gain.gain - RAISE_CONFIDENCE * gain.error > MIN_GAIN
        ) {
            return current + 1 >= slots ? undefined : current + 1;
        }
    }
    const highest = Math.min(current ?? slots, slots);
    const isLimited = current !== undefined;
    const isFlat = (gain: Gain | undefined): boolean =>
        gain !== undefined && gain.gain + (isLimited ? CONFIDENCE : FIRST_CONFIDENCE) * gain.error < MIN_GAIN;
    const hasFlatGain = (threshold: number, logLevel: number, cell: PaceCell): boolean =>
        isFlat(computeGain(recent, threshold, logLevel, cell, MIN_WEIGHT, deviation));
    return findBestLevel(recent, floor, highest, hasFlatGain)
        ?? (isStepDue(evidence, highest - 1, floor, isLimited, hasFlatGain) ? highest - 1 : current);
};

/** Finds the level below `highest` with the best throughput among those above which it no longer rises. */
const findBestLevel = (
    recent: ReadonlyMap<number, PaceCell>,
    floor: number,
    highest: number,
    hasFlatGain: FlatGainTest,
): number | undefined => {
    const candidates: { readonly level: number; readonly throughput: number; }[] = [];
    for (let level = floor; level < highest; level += 1) {
        const cell = recent.get(level);
        if (cell !== undefined && hasFlatGain(level, Math.log(level), cell)) {
            candidates.push({ level, throughput: Math.log(level) - cell.mean });
        }
    }
    const best = Math.max(...candidates.map(({ throughput }) => throughput));
    return candidates.find(({ throughput }) => throughput >= best - SIMILAR_THROUGHPUT)?.level;
};

/**
 * True when one request less is to be tried. A busy instance is always at its limit, so that nothing recent is known of lower
 * levels; older observations are used instead. If they no longer hold, because the instance is slower altogether, the
 * new ones at the lower level raise the limit again.
 */
const isStepDue = (
    { recent, longTerm }: PaceEvidence,
    lower: number,
    floor: number,
    isLimited: boolean,
    hasFlatGain: FlatGainTest,
): boolean => {
    if (lower < floor || (recent.get(lower)?.weight ?? 0) >= MIN_WEIGHT) {
        return false;
    }
    // It is known of a limited instance that it slows early; where exactly may have to be tried.
    const isUnknown = (longTerm.get(lower)?.weight ?? 0) < MIN_WEIGHT;
    return (isLimited && isUnknown)
        || listPools(longTerm, lower).some(({ cell, logLevel }) => hasFlatGain(lower, logLevel, cell));
};

/** Lists the observations of the lowest levels together, of one, two and so on up to `highest`: single levels have few. */
const listPools = (
    table: ReadonlyMap<number, PaceCell>,
    highest: number,
): readonly { readonly cell: PaceCell; readonly logLevel: number; }[] => {
    const pools: { readonly cell: PaceCell; readonly logLevel: number; }[] = [];
    for (
        const [level, cell] of [...table].filter(([other]) => other <= highest).sort(([left], [right]) =>
            left - right
        )
    ) {
        const pool = pools.at(-1);
        if (pool === undefined) {
            pools.push({ cell, logLevel: Math.log(level) });
        }
        else {
            const combined = combineCells(pool.cell, cell);
            const share = cell.weight / combined.weight;
            pools.push({
                cell: combined,
                logLevel: pool.logLevel + (Math.log(level) - pool.logLevel) * share,
            });
        }
    }
    return pools;
};

/**
 * Gain from a level, given by its logarithm and with the observations `cell`, to those levels above `threshold`; undefined without enough
 * observations.
 */
const computeGain = (
    recent: ReadonlyMap<number, PaceCell>,
    threshold: number,
    logLevel: number,
    cell: PaceCell | undefined,
    minWeight: number,
    deviation: number,
): Gain | undefined => {
    const above = [...recent].filter(([other]) => other > threshold);
    const weight = above.reduce((sum, [, other]) => sum + other.weight, 0);
    if (cell === undefined || cell.weight < minWeight || weight < minWeight) {
        return undefined;
    }
    const computeMean = (read: (other: number, observed: PaceCell) => number): number =>
        above.reduce((sum, [other, observed]) => sum + read(other, observed) * observed.weight, 0) / weight;
    const distance = computeMean(other => Math.log(other)) - logLevel;
    const slowdown = computeMean((unused, { mean }) => mean) - cell.mean;
    return {
        gain: 1 - slowdown / distance,
        error: deviation * Math.sqrt(1 / cell.weight + 1 / weight) / distance,
    };
};

/** Standard deviation within the cells. */
const computeDeviation = (cells: readonly PaceCell[]): number => {
    const weight = cells.reduce((sum, cell) => sum + cell.weight, 0);
    const squares = cells.reduce((sum, cell) => sum + cell.squares, 0);
    return Math.sqrt(squares / Math.max(1, weight - cells.length));
};

/** Combines the observations of several VMs by level. */
export const combineTables = (
    tables: readonly ReadonlyMap<number, PaceCell>[],
): ReadonlyMap<number, PaceCell> => {
    const combined = new Map<number, PaceCell>();
    tables.forEach(table =>
        table.forEach((cell, level) => {
            const known = combined.get(level);
            combined.set(level, known === undefined ? cell : combineCells(known, cell));
        })
    );
    return combined;
};
