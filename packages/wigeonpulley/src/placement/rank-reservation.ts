/**
 * Places that lower ranks leave free. Engines admit in order of arrival and hold a place for seconds, so a request of a
 * high rank that finds every place taken waits however strictly the line is ordered. While a better rank is in use, lower
 * ranks leave one place in twelve free, and the best rank may also be sent to an engine that is just full.
 */

/** Time for which a rank counts as in use, in milliseconds. */
const RANK_IN_USE_MS = 2_000;
/** Places of an engine for each one that stays free of lower ranks. */
const SLOTS_PER_RESERVED_SLOT = 12;
/** Requests of the best rank sent to an instance beyond its slots. */
const MAX_EXTRA_BEST_RANK_REQUESTS = 2;
/** Requests of other ranks sent beyond the slots when nothing better is in use, so that no freed slot idles a round trip. */
const MAX_EXTRA_REQUESTS = 1;

/** Ranks in use at one service. */
export class RankReservation {
    private readonly lastUsedAtByRank = new Map<number, number>();

    private constructor() {}

    /** Creates headroom for no rank. */
    static create(): RankReservation {
        return new RankReservation();
    }

    /** Notes a request of a rank at a monotonic time in milliseconds. */
    recordRequest(rank: number, now: number): void {
        this.lastUsedAtByRank.set(rank, now);
    }

    /** Most requests that an instance may hold before one of the rank is sent to it. */
    computeInFlightLimit(rank: number, slots: number, now: number): number {
        let betterRanks = 0;
        let worseRanks = 0;
        for (const [other, lastUsedAt] of this.lastUsedAtByRank) {
            if (now - lastUsedAt > RANK_IN_USE_MS) {
                this.lastUsedAtByRank.delete(other);
            }
            else {
                betterRanks += other < rank ? 1 : 0;
                worseRanks += other > rank ? 1 : 0;
            }
        }
        if (betterRanks === 0) {
            return slots + (worseRanks > 0 ? MAX_EXTRA_BEST_RANK_REQUESTS : MAX_EXTRA_REQUESTS);
        }
        return Math.max(1, slots - Math.ceil(slots / SLOTS_PER_RESERVED_SLOT));
    }
}
