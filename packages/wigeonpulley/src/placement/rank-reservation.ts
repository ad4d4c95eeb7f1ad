/**
 * Places that lower ranks leave free. Engines admit in order of arrival and hold a place for seconds, so a request of a
 * high rank that finds every place taken waits however strictly the line is ordered. While a better rank is in use, lower
 * ranks leave one place in twelve free, and the best rank may also be sent to an engine that is just full.
 */

/** Time for which a rank counts as in use, in milliseconds. */
const IN_USE_MS = 2_000;
/** Places of an engine for each one that stays free of lower ranks. */
const PLACES_PER_RESERVED = 12;
/** Requests of the best rank sent to an instance beyond its slots. */
const BEST_RANK_OVERLAP = 2;
/** Requests of other ranks sent beyond the slots when nothing better is in use, so that no freed slot idles a round trip. */
const OVERLAP = 1;

/** Ranks in use at one service. */
export class RankReservation {
    private readonly usedAt = new Map<number, number>();

    private constructor() {}

    /** Creates headroom for no rank. */
    static create(): RankReservation {
        return new RankReservation();
    }

    /** Notes a request of a rank at a monotonic time in milliseconds. */
    recordRequest(rank: number, now: number): void {
        this.usedAt.set(rank, now);
    }

    /** Most requests that an instance may hold before one of the rank is sent to it. */
    computeInFlightLimit(rank: number, slots: number, now: number): number {
        let better = 0;
        let worse = 0;
        for (const [other, at] of this.usedAt) {
            if (now - at > IN_USE_MS) {
                this.usedAt.delete(other);
            }
            else {
                better += other < rank ? 1 : 0;
                worse += other > rank ? 1 : 0;
            }
        }
        if (better === 0) {
            return slots + (worse > 0 ? BEST_RANK_OVERLAP : OVERLAP);
        }
        return Math.max(1, slots - Math.ceil(slots / PLACES_PER_RESERVED));
    }
}
