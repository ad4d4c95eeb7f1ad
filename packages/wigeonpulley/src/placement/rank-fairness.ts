/**
 * Keeps lower priority ranks from starving. A rank combines a workspace's rank, which comes first, and a route's. A rank
 * that was served markedly less often than a better one goes before that one until it has caught up, unless the better
 * one is the best route rank of its workspace rank. Under lasting overload the lower ranks therefore share what the best
 * one leaves, and a rank of short requests is not left with nothing.
 *
 * Requests that hold their slots longer than those of the better rank would take several of its requests' slots for each
 * one served. Their rank is moved ahead only while less than two fifths of it were served over a longer time.
 *
 * The best rank of all always goes first, and no rank is moved ahead of one that is known to be served less often.
 * Between workspace ranks the difference must be so large that only a rank of which most requests are refused qualifies.
 * A rank that is moved ahead of a rank of a better workspace rank also passes those between the two that aren't moved
 * themselves; these may include the best route ranks of other workspace ranks and of its own.
 */

/** Time constant of the exponential decay of outcomes, in milliseconds. */
const DECAY_TIME_MS = 4_000;
/** The same for the share that a rank of long requests is guaranteed; longer than a burst of callers. */
const LONG_REQUEST_DECAY_TIME_MS = 20_000;
/** Served share below which a rank of long requests may be moved ahead. */
const LONG_REQUEST_MIN_SHARE = 0.4;
/** Requests of a rank that count as served before a VM has seen any, so that a burst right after its start is one. */
const LONG_REQUEST_INITIAL_SERVED = 50;
/** Ratio of two ranks' slot times from which the requests of one count as long beside those of the other. */
const LONG_REQUEST_RATIO = 1.25;
/** Weight of the newest request in a rank's mean slot time. */
const SLOT_TIME_WEIGHT = 0.05;
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

/** Exponentially decayed outcomes. */
class OutcomeCounts {
    private refused = 0;
    private updatedAt = 0;

    private constructor(private readonly decayTimeMs: number, private served: number) {}

    /** Creates counts in which `served` requests got a slot. */
    static create(decayTimeMs: number, served = 0): OutcomeCounts {
        return new OutcomeCounts(decayTimeMs, served);
    }

    add(isServed: boolean, now: number): void {
        this.decay(now);
        this.served += isServed ? 1 : 0;
        this.refused += isServed ? 0 : 1;
    }

    /** Share of the requests that got a slot; undefined while there are too few outcomes. */
    computeServedShare(now: number): number | undefined {
        this.decay(now);
        const outcomes = this.served + this.refused;
        return outcomes < MIN_OUTCOMES ? undefined : this.served / outcomes;
    }

    private decay(now: number): void {
        const factor = Math.exp(-(now - this.updatedAt) / this.decayTimeMs);
        this.served *= factor;
        this.refused *= factor;
        this.updatedAt = now;
    }
}

interface RankStatistics {
    readonly recent: OutcomeCounts;
    readonly longTerm: OutcomeCounts;
    /** Mean time for which a request holds its slot, in milliseconds; undefined before the first one has ended. */
    slotTimeMs: number | undefined;
}

/** Tracks which share of each rank's requests is served at one service. */
export class RankFairness {
    private readonly statisticsByRank = new Map<number, RankStatistics>();

    private constructor() {}

    /** Creates empty counts. */
    static create(): RankFairness {
        return new RankFairness();
    }

    /** Records that a request got a slot or was refused, at a monotonic time in milliseconds. */
    recordOutcome(rank: number, isServed: boolean, now: number): void {
        const { recent, longTerm } = this.getStatistics(rank);
        recent.add(isServed, now);
        longTerm.add(isServed, now);
    }

    /** Records for how long a request of a rank held its slot, in milliseconds. */
    recordSlotTime(rank: number, slotTimeMs: number): void {
        const statistics = this.getStatistics(rank);
        const meanMs = statistics.slotTimeMs ?? slotTimeMs;
        statistics.slotTimeMs = meanMs + (slotTimeMs - meanMs) * SLOT_TIME_WEIGHT;
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
        const knownRanks = [...this.statisticsByRank.keys()].filter(other =>
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
                && this.canBeMovedAhead(rank, other, now)
                && (this.computeServedShare(other, now) ?? 0) > share + minDeficit;
        });
        return ahead.length === 0 ? rank : Math.min(...ahead) - HALF_RANK;
    }

    /** False for a rank of long requests that was served often enough over a longer time to yield to the better rank. */
    private canBeMovedAhead(rank: number, betterRank: number, now: number): boolean {
        const { slotTimeMs, longTerm } = this.getStatistics(rank);
        const { slotTimeMs: betterSlotTimeMs } = this.getStatistics(betterRank);
        return getWorkspaceRank(rank) !== getWorkspaceRank(betterRank)
            || slotTimeMs === undefined
            || betterSlotTimeMs === undefined
            || slotTimeMs < betterSlotTimeMs * LONG_REQUEST_RATIO
            || (longTerm.computeServedShare(now) ?? 1) < LONG_REQUEST_MIN_SHARE;
    }

    private computeServedShare(rank: number, now: number): number | undefined {
        return this.statisticsByRank.get(rank)?.recent.computeServedShare(now);
    }

    private getStatistics(rank: number): RankStatistics {
        const statistics = this.statisticsByRank.get(rank) ?? {
            recent: OutcomeCounts.create(DECAY_TIME_MS),
            longTerm: OutcomeCounts.create(LONG_REQUEST_DECAY_TIME_MS, LONG_REQUEST_INITIAL_SERVED),
            slotTimeMs: undefined,
        };
        this.statisticsByRank.set(rank, statistics);
        return statistics;
    }
}

/** Combines two ranks into one number that orders by the workspace's rank, then by the route's. */
export const combineRanks = (workspaceRank: number, routeRank: number): number =>
    workspaceRank * WORKSPACE_RANK_STEP + routeRank;

const getWorkspaceRank = (rank: number): number => Math.floor(rank / WORKSPACE_RANK_STEP);
