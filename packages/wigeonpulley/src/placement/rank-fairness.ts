/**
 * Keeps lower ranks from starving. A rank joins a workspace's rank, which goes first, and a route's. Within one workspace's
 * rank the best route's requests always go first; below them a rank that was served markedly less often than a better one
 * goes before it until it has caught up. So under lasting overload the lower ranks share what the best one leaves, none is
 * served more often than a better one, and a rank of short requests does not end with nothing. Between workspaces' ranks
 * the same holds, but only for one that is served next to never.
 */

/** Time constant of the served shares, in milliseconds. */
const WINDOW_MS = 4_000;
/** Difference of served shares from which a rank counts as behind. */
const BEHIND_BY = 0.04;
/** The same between workspaces' ranks. */
const WORKSPACE_BEHIND_BY = 0.7;
/** Step between the ranks of two workspaces' ranks; routes' ranks lie within it. */
const WORKSPACE_STEP = 1_000;
/** Outcomes, decayed, from which a served share means anything. */
const LEAST_OUTCOMES = 3;

/** Puts a rank between two others. */
const HALF_STEP = 0.5;

interface Tally {
    served: number;
    refused: number;
    at: number;
}

/** Served shares of the ranks of one service. */
export class RankFairness {
    private readonly tallies = new Map<number, Tally>();

    private constructor() {}

    /** Creates a balance without outcomes. */
    static create(): RankFairness {
        return new RankFairness();
    }

    /** Notes that a request was given a place, or refused, at a monotonic time in milliseconds. */
    recordOutcome(rank: number, isServed: boolean, now: number): void {
        const tally = this.tallies.get(rank) ?? { served: 0, refused: 0, at: now };
        this.tallies.set(rank, tally);
        decay(tally, now);
        tally.served += isServed ? 1 : 0;
        tally.refused += isServed ? 0 : 1;
    }

    /**
     * The rank that a request counts as when the line is ordered: its own, or just above the best of the ranks that were
     * served more often, but never above the best rank in use.
     */
    computeEffectiveRank(rank: number, now: number): number {
        const share = this.readShare(rank, now);
        if (share === undefined) {
            return rank;
        }
        const workspaceRank = readWorkspaceRank(rank);
        const known = [...this.tallies.keys()].filter(other => this.readShare(other, now) !== undefined);
        const isBest = (other: number): boolean =>
            !known.some(better => better < other && readWorkspaceRank(better) === readWorkspaceRank(other));
        const ahead = known.filter(other => {
            const behindBy = readWorkspaceRank(other) === workspaceRank ? BEHIND_BY : WORKSPACE_BEHIND_BY;
            return other < rank && !isBest(other) && (this.readShare(other, now) ?? 0) > share + behindBy;
        });
        return ahead.length === 0 ? rank : Math.min(...ahead) - HALF_STEP;
    }

    private readShare(rank: number, now: number): number | undefined {
        const tally = this.tallies.get(rank);
        if (tally === undefined) {
            return undefined;
        }
        decay(tally, now);
        const outcomes = tally.served + tally.refused;
        return outcomes < LEAST_OUTCOMES ? undefined : tally.served / outcomes;
    }
}

/** One number for the order of ranks: the workspace's goes before the route's. */
export const combineRanks = (workspaceRank: number, routeRank: number): number =>
    workspaceRank * WORKSPACE_STEP + routeRank;

const readWorkspaceRank = (rank: number): number => Math.floor(rank / WORKSPACE_STEP);

const decay = (tally: Tally, now: number): void => {
    const factor = Math.exp(-(now - tally.at) / WINDOW_MS);
    tally.served *= factor;
    tally.refused *= factor;
    tally.at = now;
};
