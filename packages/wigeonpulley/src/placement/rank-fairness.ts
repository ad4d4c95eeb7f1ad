/**
 * Keeps lower priority ranks from starving. A rank combines a workspace's rank, which comes first, and a route's. A rank
 * that was served markedly less often than a better one goes before that one until it has caught up, unless the better
 * one is the best route rank of its workspace rank. Under lasting overload the lower ranks therefore share what the best
 * one leaves, and a rank of short requests is not left with nothing.
 *
 * The best rank of all always goes first, and no rank is moved ahead of one that is known to be served less often.
 * Between workspace ranks the difference must be so large that only a rank of which most requests are refused qualifies.
 * A rank that is moved ahead of a rank of a better workspace rank also passes those between the two that aren't moved
 * themselves; these may include the best route ranks of other workspace ranks and of its own.
 */

/** Time constant of the exponential decay of outcomes, in milliseconds. */
const DECAY_TIME_MS = 4_000;
/** Difference between served shares from which a rank counts as behind. */
const MIN_SHARE_DEFICIT = 0.04;
/** The same between workspace ranks. */
const MIN_WORKSPACE_SHARE_DEFICIT = 0.7;
/** Distance between two workspace ranks; route ranks lie within it. */
const WORKSPACE_RANK_STEP = 1_000;
/** Decayed number of outcomes from which a served share means anything. */
const MIN_OUTCOMES = 3;

/** Offset that puts a rank between two others. */
const HALF_RANK = 0.5;

interface OutcomeCounts {
    served: number;
    refused: number;
    updatedAt: number;
}

/** Tracks which share of each rank's requests is served at one service. */
export class RankFairness {
    private readonly countsByRank = new Map<number, OutcomeCounts>();

    private constructor() {}

    /** Creates empty counts. */
    static create(): RankFairness {
        return new RankFairness();
    }

    /** Records that a request got a slot or was refused, at a monotonic time in milliseconds. */
    recordOutcome(rank: number, isServed: boolean, now: number): void {
        const counts = this.countsByRank.get(rank) ?? { served: 0, refused: 0, updatedAt: now };
        this.countsByRank.set(rank, counts);
        decay(counts, now);
        counts.served += isServed ? 1 : 0;
        counts.refused += isServed ? 0 : 1;
    }

    /**
     * Rank by which a request is ordered in the queue: its own, or just ahead of the best of the ranks that were served
     * markedly more often. Ranks that are the best of their workspace rank don't count there, so the result is never
     * ahead of the best rank in use. A rank with too few recent outcomes keeps its own.
     */
    computeEffectiveRank(rank: number, now: number): number {
        const share = this.computeServedShare(rank, now);
        if (share === undefined) {
            return rank;
        }
        const workspaceRank = getWorkspaceRank(rank);
        const knownRanks = [...this.countsByRank.keys()].filter(other =>
            this.computeServedShare(other, now) !== undefined
        );
        const isBest = (other: number): boolean =>
            !knownRanks.some(better =>
                better < other && getWorkspaceRank(better) === getWorkspaceRank(other)
            );
        const ahead = knownRanks.filter(other => {
            const minDeficit = getWorkspaceRank(other) === workspaceRank
                ? MIN_SHARE_DEFICIT
                : MIN_WORKSPACE_SHARE_DEFICIT;
            return other < rank && !isBest(other)
                && (this.computeServedShare(other, now) ?? 0) > share + minDeficit;
        });
        return ahead.length === 0 ? rank : Math.min(...ahead) - HALF_RANK;
    }

    private computeServedShare(rank: number, now: number): number | undefined {
        const counts = this.countsByRank.get(rank);
        if (counts === undefined) {
            return undefined;
        }
        decay(counts, now);
        const outcomes = counts.served + counts.refused;
        return outcomes < MIN_OUTCOMES ? undefined : counts.served / outcomes;
    }
}

/** Combines two ranks into one number that orders by the workspace's rank, then by the route's. */
export const combineRanks = (workspaceRank: number, routeRank: number): number =>
    workspaceRank * WORKSPACE_RANK_STEP + routeRank;

const getWorkspaceRank = (rank: number): number => Math.floor(rank / WORKSPACE_RANK_STEP);

const decay = (counts: OutcomeCounts, now: number): void => {
    const factor = Math.exp(-(now - counts.updatedAt) / DECAY_TIME_MS);
    counts.served *= factor;
    counts.refused *= factor;
    counts.updatedAt = now;
};
