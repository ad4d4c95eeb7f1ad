/** Observes how fast the slots of one service are freed and who gets them, as the basis of the admission forecast. */

/** Time constant of the decay of slot times, in milliseconds; they change slowly, and a VM sees few of them. */
const SLOT_TIME_DECAY_MS = 8_000;
/** Time constant of the decay of starts, in milliseconds. */
const START_DECAY_MS = 2_000;
/** Decayed number of slot times below which the mean is not known well enough for a forecast, and not at all. */
const MIN_SLOT_TIMES = 8;
const MIN_MEAN_SLOT_TIMES = 0.5;
/** Decayed number of starts below which it is not known who gets the slots. */
const MIN_STARTS = 4;
/** Workspaces of a rank above which those without recent starts are removed, and the starts that count as none. */
const MAX_KEPT_WORKSPACES = 64;
const FORGOTTEN_STARTS = 0.01;
/** Time for which the slots of added or lost instances make a forecast uncertain, in milliseconds; the age of reports. */
const CAPACITY_SETTLE_MS = 2_500;
/** Time for which requests must have waited without a break until slots count as contended, in milliseconds. */
const CONTENTION_MS = 1_000;
const MS_PER_S = 1_000;

/** A sum that decays exponentially. */
class DecayingSum {
    private sum = 0;
    private updatedAt = 0;

    private constructor(private readonly decayMs: number) {}

    static create(decayMs: number): DecayingSum {
        return new DecayingSum(decayMs);
    }

    add(value: number, now: number): void {
        this.sum = this.compute(now) + value;
        this.updatedAt = now;
    }

    compute(now: number): number {
        return this.sum * Math.exp(-(now - this.updatedAt) / this.decayMs);
    }
}

/** Starts of a workspace's requests at one rank. */
interface Starts {
    readonly onTime: DecayingSum;
    readonly late: DecayingSum;
}

/** Turnover of one service's slots, as one VM observes it. */
export class SlotTurnover {
    private readonly slotTimes = DecayingSum.create(SLOT_TIME_DECAY_MS);
    private readonly slotTimeCount = DecayingSum.create(SLOT_TIME_DECAY_MS);
    /** By rank, then by the hash of the workspace's name. */
    private readonly startsByRank = new Map<number, Map<number, Starts>>();
    private capacity: string | undefined;
    private capacityChangedAt = Number.NEGATIVE_INFINITY;
    private waitingSince: number | undefined;

    private constructor() {}

    /** Creates a turnover without observations. */
    static create(): SlotTurnover {
        return new SlotTurnover();
    }

    /** Records for how long a request held its slot, in milliseconds. */
    recordSlotTime(slotTimeMs: number, now: number): void {
        this.slotTimes.add(slotTimeMs, now);
        this.slotTimeCount.add(1, now);
    }

    /** Mean time for which a request held its slot, in milliseconds; undefined when there were none for a while. */
    computeSlotTimeMs(now: number): number | undefined {
        const count = this.slotTimeCount.compute(now);
        return count < MIN_MEAN_SLOT_TIMES ? undefined : this.slotTimes.compute(now) / count;
    }

    /** Records that a request of a rank and a workspace, by the hash of its name, got a slot. */
    recordStart(rank: number, workspace: number, isOnTime: boolean, now: number): void {
        const ofRank = this.startsByRank.get(rank) ?? new Map<number, Starts>();
        this.startsByRank.set(rank, ofRank);
        if (!ofRank.has(workspace) && ofRank.size >= MAX_KEPT_WORKSPACES) {
            removeForgotten(ofRank, now);
        }
        const starts = ofRank.get(workspace) ?? {
            onTime: DecayingSum.create(START_DECAY_MS),
            late: DecayingSum.create(START_DECAY_MS),
        };
        ofRank.set(workspace, starts);
        (isOnTime ? starts.onTime : starts.late).add(1, now);
    }

    /** Records the number of usable instances and of their slots. */
    recordCapacity(instances: number, slots: number, now: number): void {
        const capacity = `${instances} ${slots}`;
        if (this.capacity !== undefined && this.capacity !== capacity) {
            this.capacityChangedAt = now;
        }
        this.capacity = capacity;
    }

    /** Records whether any request waits, here or at another VM. */
    recordWaiting(isAnyWaiting: boolean, now: number): void {
        this.waitingSince = isAnyWaiting ? this.waitingSince ?? now : undefined;
    }

    /**
     * Slots that all VMs free in a second while `inFlight` requests are in flight (Little's law); undefined with too few
     * observations and after a change of the instances. Counting freed slots would underestimate the rate at the start of an
     * overload, when fewer slots were in use.
     */
    estimateFreedPerS(inFlight: number, now: number): number | undefined {
        const count = this.slotTimeCount.compute(now);
        return inFlight === 0 || count < MIN_SLOT_TIMES || now - this.capacityChangedAt < CAPACITY_SETTLE_MS
            ? undefined
            : inFlight * MS_PER_S * count / Math.max(1, this.slotTimes.compute(now));
    }

    /**
     * Share of the freed slots that goes to requests that arrive later and are dispatched earlier, by what started lately.
     * `isOvertaking` returns whether the requests of a rank and a workspace do so, given whether they can be on time. 0 until
     * requests have waited for a while: before that, slots may be free for all.
     */
    computeOvertakingShare(
        isOvertaking: (rank: number, workspace: number, isOnTime: boolean) => boolean,
        now: number,
    ): number {
        if (this.waitingSince === undefined || now - this.waitingSince < CONTENTION_MS) {
            return 0;
        }
        let all = 0;
        let overtaking = 0;
        for (const [rank, ofRank] of this.startsByRank) {
            for (const [workspace, { onTime, late }] of ofRank) {
                const onTimeStarts = onTime.compute(now);
                const lateStarts = late.compute(now);
                all += onTimeStarts + lateStarts;
                overtaking += isOvertaking(rank, workspace, true) ? onTimeStarts : 0;
                overtaking += isOvertaking(rank, workspace, false) ? lateStarts : 0;
            }
        }
        return all < MIN_STARTS ? 0 : overtaking / all;
    }
}

const removeForgotten = (ofRank: Map<number, Starts>, now: number): void => {
    for (const [workspace, { onTime, late }] of ofRank) {
        if (onTime.compute(now) + late.compute(now) < FORGOTTEN_STARTS) {
            ofRank.delete(workspace);
        }
    }
};
