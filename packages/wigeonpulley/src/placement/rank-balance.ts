/**
 * Keeps lower ranks from starving. The best rank in use always goes first. Below it a rank that was served markedly less
 * often than a better one goes first until it has caught up; so under lasting overload the lower ranks share what the best
 * one leaves, none is served more often than a better one, and a rank of short requests does not end with nothing.
 */

/** Time constant of the served shares, in milliseconds. */
const WINDOW_MS = 4_000;
/** Difference of served shares from which a rank counts as behind. */
const BEHIND_BY = 0.04;
/** Outcomes, decayed, from which a served share means anything. */
const LEAST_OUTCOMES = 3;

interface Tally {
    served: number;
    refused: number;
    at: number;
}

/** Served shares of the ranks of one service. */
export class RankBalance {
    private readonly tallies = new Map<number, Tally>();

    private constructor() {}

    /** Creates a balance without outcomes. */
    static create(): RankBalance {
        return new RankBalance();
    }

    /** Notes that a request was given a place, or refused, at a monotonic time in milliseconds. */
    note(rank: number, isServed: boolean, now: number): void {
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
    findEffectiveRank(rank: number, now: number): number {
        const share = this.readShare(rank, now);
        const ranks = [...this.tallies.keys()].filter(other => this.readShare(other, now) !== undefined);
        const best = Math.min(...ranks, rank);
        const ahead = ranks.filter(other =>
            other > best && other < rank && share !== undefined
            && (this.readShare(other, now) ?? 0) > share + BEHIND_BY
        );
        return ahead.length === 0 ? rank : Math.min(...ahead) - 0.5;
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

const decay = (tally: Tally, now: number): void => {
    const factor = Math.exp(-(now - tally.at) / WINDOW_MS);
    tally.served *= factor;
    tally.refused *= factor;
    tally.at = now;
};
