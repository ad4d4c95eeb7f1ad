/**
 * Reserves slots for better priority ranks. Engines admit in order of arrival and hold a slot for seconds, so a request
 * of a better rank that finds every slot in use waits however strictly the queue is ordered. While a better rank is in
 * use, lower ranks leave one slot in twelve of the service free, and the best rank may also be sent to an engine that is
 * just full.
 */
import { hashText } from "../hashing/index.js";

/** Time for which a rank counts as in use, in milliseconds. */
const RANK_IN_USE_MS = 2_000;
/** Slots of a service for each one that is reserved. */
const SLOTS_PER_RESERVED_SLOT = 12;
/** Parts of a slot that the hash of an instance decides about. */
const HASH_RANGE = 1_000;
/** Instances whose hash is kept. */
const MAX_KNOWN_INSTANCES = 4_096;
/** Requests that an instance may get beyond its slots, from the best rank. */
const MAX_EXTRA_BEST_RANK_REQUESTS = 2;
/** The same when only one rank is in use, so that no freed slot idles for a round trip. */
const MAX_EXTRA_REQUESTS = 1;

/** An instance as far as its slots matter. */
export interface InstanceSlots {
    readonly id: string;
    readonly slots: number;
}

/** Tracks the ranks in use at one service. */
export class RankReservation {
    private readonly lastUsedAtByRank = new Map<number, number>();
    private readonly roundingById = new Map<string, number>();

    private constructor() {}

    /** Creates a reservation without ranks in use. */
    static create(): RankReservation {
        return new RankReservation();
    }

    /** Records a request of a rank at a monotonic time in milliseconds. */
    recordRequest(rank: number, now: number): void {
        this.lastUsedAtByRank.set(rank, now);
    }

    /** Number of requests in flight at an instance below which it may get one of the rank. */
    computeInFlightLimit(rank: number, { id, slots }: InstanceSlots, now: number): number {
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
        return Math.max(1, slots - Math.floor(slots / SLOTS_PER_RESERVED_SLOT + this.getRounding(id)));
    }

    /** Part of a slot from 0 to 1, by the hash of the instance: small instances must not reserve too much together. */
    private getRounding(id: string): number {
        const rounding = this.roundingById.get(id) ?? hashText(id) % HASH_RANGE / HASH_RANGE;
        if (this.roundingById.size >= MAX_KNOWN_INSTANCES) {
            this.roundingById.clear();
        }
        this.roundingById.set(id, rounding);
        return rounding;
    }
}
