/** What the VMs tell each other of a workspace's use of a service, and how the use is encoded in a report. */

/** Use of one service at one rank by a workspace. */
export interface WorkspaceUse {
    /** Decayed tokens of dispatched work, divided by the workspace's weight. */
    readonly perWeight: number;
    /** Number of waiting requests. */
    readonly waiting: number;
}

/** Uses of one service at one rank, by the hash of the workspace's name. */
export interface RankUses {
    readonly service: string;
    readonly rank: number;
    readonly uses: ReadonlyMap<number, WorkspaceUse>;
}

/** Workspaces in a report at most; bounds its size to about 250 bytes more. */
const MAX_REPORTED_USES = 32;
/** Steps of the encoding for each doubling; values are exact to about 1%. */
const STEPS_PER_DOUBLING = 64;
/**
 * Reciprocal of the smallest use that is distinguished from none. One token of a workspace with a weight of a million is about
 * that much; a linear scale would round either this one to nothing or need more bytes for a workspace with a weight of 1.
 */
const RESOLUTION = 2 ** 20;

/** Encodes a use per weight as an integer on a logarithmic scale. */
export const encodeUse = (perWeight: number): number =>
    Math.round(STEPS_PER_DOUBLING * Math.log2(1 + perWeight * RESOLUTION));

/** Decodes a use per weight. */
export const decodeUse = (encoded: number): number => (2 ** (encoded / STEPS_PER_DOUBLING) - 1) / RESOLUTION;

/** Selects what is reported: workspaces with waiting requests first, then those with the highest use. */
export const selectReportedUses = (rankUses: readonly RankUses[]): readonly RankUses[] => {
    const reported = new Set(
        rankUses.flatMap(({ uses }) => [...uses.values()])
            .filter(({ perWeight, waiting }) => waiting > 0 || encodeUse(perWeight) > 0)
            .toSorted((left, right) =>
                Math.sign(right.waiting) - Math.sign(left.waiting) || right.perWeight - left.perWeight
            )
            .slice(0, MAX_REPORTED_USES),
    );
    return rankUses
        .map(({ uses, ...rest }) => ({
            ...rest,
            uses: new Map([...uses].filter(([, use]) => reported.has(use))),
        }))
        .filter(({ uses }) => uses.size > 0);
};
