/** Evidence for and against one trait of requests. All times are monotonic, in milliseconds. */

/** Duration of a quarantine, in milliseconds. */
export const QUARANTINE_MS = 600_000;
/** Time after a quarantine in which a single lost response renews it, in milliseconds. */
const PROBATION_MS = 600_000;
/** Time for which a lost response counts as evidence unless the trait is answered, in milliseconds. */
const LOSS_WINDOW_MS = 600_000;
/** Time for which an answer makes further losses look like accidents, in milliseconds. */
const ANSWER_MEMORY_MS = 60_000;
/** Time for which a trait without losses since its last answer is kept, in milliseconds. */
const CLEARED_MEMORY_MS = 15_000;
/** Instances that have to lose responses with a trait that was not answered recently. */
const MIN_INSTANCES = 3;
/**
 * The same for a trait that was answered recently, and the time over which the losses have to be spread: connections to
 * many instances that break at the same moment say nothing about the requests.
 */
const MIN_INSTANCES_AFTER_ANSWER = 6;
const MIN_SPREAD_AFTER_ANSWER_MS = 2_000;
/** Instances that have to lose responses with a trait before it explains the losses of others. */
const MIN_EXPLAINING_INSTANCES = 2;
/** Instances with losses up to which a quarantine ends when the losses of others are withdrawn. */
const MAX_INSTANCES_LEFT = 1;
/** Time after which another loss of an instance is a new one, and not late news of the one that is known. */
const REPEATED_LOSS_MS = 1_000;
/** Time for the losses and answers of other VMs to arrive before the evidence counts, in milliseconds. */
const SETTLE_MS = 1_500;

/** One trait that is under suspicion. */
export class Suspect {
    /** Time of a lost response of each instance, by the hash of the instance: the first one of the newest group. */
    private readonly losses = new Map<number, number>();
    private lastLostAt = Number.NEGATIVE_INFINITY;
    private deepestPosition = 0;
    /** Time at which the quarantine was ended from outside; what was known before doesn't count. */
    private releasedAt = Number.NEGATIVE_INFINITY;
    /** Time at which the quarantine ended because its instances had not crashed; earlier ones are not adopted again. */
    private withdrawnAt = Number.NEGATIVE_INFINITY;
    /** First of the losses for which the trait is or was quarantined. */
    private quarantinedSince: number | undefined;

    private constructor(private answeredAt: number) {}

    /** Creates a suspect without losses; `answeredAt` is the time of its last answer, minus infinity if there is none. */
    static create(answeredAt: number): Suspect {
        return new Suspect(answeredAt);
    }

    /** Time of the last known answer; minus infinity if there is none. */
    get lastAnsweredAt(): number {
        return this.answeredAt;
    }

    /** Number of instances that lost a response since the last answer. */
    get lossCount(): number {
        return this.losses.size;
    }

    /** Time of the newest loss. */
    get newestLossAt(): number {
        return this.lastLostAt;
    }

    /** Deepest position of the trait among those of a request that was lost; 0 is the first. */
    get depth(): number {
        return this.deepestPosition;
    }

    /** Hashes of instances with the times of their losses. */
    listLosses(): readonly (readonly [instance: number, lostAt: number])[] {
        return [...this.losses];
    }

    /** Time since which the trait is quarantined; undefined while it isn't. */
    getQuarantinedSince(now: number): number | undefined {
        return this.quarantinedSince !== undefined && isActive(this.quarantinedSince, now)
            ? this.quarantinedSince
            : undefined;
    }

    /** Records a response that an instance lost, and the position of the trait among those of its request. */
    recordLoss(instance: number, lostAt: number, depth: number): void {
        this.deepestPosition = Math.max(this.deepestPosition, depth);
        this.lastLostAt = Math.max(this.lastLostAt, lostAt);
        if (lostAt > this.answeredAt && lostAt > this.releasedAt) {
            const known = this.losses.get(instance) ?? lostAt;
            this.losses.set(
                instance,
                lostAt > known + REPEATED_LOSS_MS ? lostAt : Math.min(lostAt, known),
            );
        }
    }

    /**
     * Withdraws the loss of an instance that was alive later; returns true if that ends a quarantine. One that is left may
     * be a crash, and a quarantine of which this VM doesn't know the losses stays.
     */
    withdrawLoss(instance: number, aliveAt: number, now: number): boolean {
        const lostAt = this.losses.get(instance);
        if (lostAt === undefined || lostAt >= aliveAt) {
            return false;
        }
        this.losses.delete(instance);
        if (this.getQuarantinedSince(now) === undefined || this.losses.size > MAX_INSTANCES_LEFT) {
            return false;
        }
        this.quarantinedSince = undefined;
        this.withdrawnAt = now;
        return true;
    }

    /** Records an answer; returns true if it ends a quarantine. */
    recordAnswer(answeredAt: number): boolean {
        this.answeredAt = Math.max(this.answeredAt, answeredAt);
        for (const [instance, lostAt] of this.losses) {
            if (lostAt <= this.answeredAt) {
                this.losses.delete(instance);
            }
        }
        if (this.quarantinedSince === undefined || this.answeredAt <= this.quarantinedSince) {
            return false;
        }
        this.quarantinedSince = undefined;
        return true;
    }

    /** Discards the evidence and ends the quarantine; returns false if there was none. */
    release(now: number): boolean {
        this.losses.clear();
        this.releasedAt = now;
        const wasQuarantined = this.getQuarantinedSince(now) !== undefined;
        this.quarantinedSince = undefined;
        return wasQuarantined;
    }

    /** Quarantines the trait as another VM or the store does; returns false if it is known or contradicted. */
    adoptQuarantine(since: number, now: number): boolean {
        const current = this.getQuarantinedSince(now);
        // The end of an earlier quarantine must not end the current one.
        if (
            since <= Math.max(this.answeredAt, this.releasedAt, this.withdrawnAt)
            || (current !== undefined && !isActive(since, now))
        ) {
            return false;
        }
        this.quarantinedSince = Math.min(since, current ?? since);
        return current === undefined && isActive(since, now);
    }

    /**
     * Quarantines the trait if the evidence suffices; returns true if it was not quarantined before. `isExplained` returns
     * true when another trait accounts for its losses.
     */
    evaluate(now: number, isExplained: () => boolean): boolean {
        if (this.getQuarantinedSince(now) !== undefined) {
            return false;
        }
        for (const [instance, lostAt] of this.losses) {
            if (lostAt < now - LOSS_WINDOW_MS) {
                this.losses.delete(instance);
            }
        }
        const times = [...this.losses.values()].sort((left, right) => left - right);
        const [first] = times;
        if (first === undefined || !this.isSufficient(times, now) || isExplained()) {
            return false;
        }
        this.quarantinedSince = first;
        return true;
    }

    /**
     * True when this trait accounts for the losses of another one: nearly all of them came at instances that lost
     * responses with this trait too, and this trait is the more specific one. Else a trait that all prompts share, such as
     * a system prompt, would be quarantined with the harmful one when no engine lives long enough to answer.
     */
    explains(other: Suspect, now: number): boolean {
        const unexplained = [...other.losses.keys()].filter(instance => !this.losses.has(instance));
        return this.losses.size >= MIN_EXPLAINING_INSTANCES && unexplained.length < MIN_INSTANCES
            && this.isMoreSpecificThan(other, now);
    }

    /** True when another request with the trait may be expected to end one more instance. */
    isSuspicious(now: number): boolean {
        return this.losses.size > 1 && !this.wasAnsweredRecently(now);
    }

    /** True when nothing about the trait matters any more. */
    isObsolete(now: number): boolean {
        const memoryMs = this.losses.size > 0 ? LOSS_WINDOW_MS : CLEARED_MEMORY_MS;
        return now > Math.max(this.lastLostAt, this.releasedAt, this.withdrawnAt) + memoryMs
            && this.getQuarantinedSince(now) === undefined
            && !this.isOnProbation(now);
    }

    private isSufficient(times: readonly number[], now: number): boolean {
        if (this.isOnProbation(now)) {
            return true;
        }
        const needed = this.wasAnsweredRecently(now) ? MIN_INSTANCES_AFTER_ANSWER : MIN_INSTANCES;
        const [first] = times;
        const decisive = times[needed - 1];
        return first !== undefined && decisive !== undefined && decisive <= now - SETTLE_MS
            && (needed === MIN_INSTANCES
                || (times.at(-1) ?? decisive) - first >= MIN_SPREAD_AFTER_ANSWER_MS);
    }

    private isMoreSpecificThan(other: Suspect, now: number): boolean {
        const wasAnswered = this.wasAnsweredRecently(now);
        return wasAnswered === other.wasAnsweredRecently(now)
            ? this.deepestPosition > other.deepestPosition
            : !wasAnswered;
    }

    private isOnProbation(now: number): boolean {
        return this.quarantinedSince !== undefined && !isActive(this.quarantinedSince, now)
            && now < this.quarantinedSince + QUARANTINE_MS + PROBATION_MS;
    }

    private wasAnsweredRecently(now: number): boolean {
        return this.answeredAt > now - ANSWER_MEMORY_MS;
    }
}

const isActive = (quarantinedSince: number, now: number): boolean => now < quarantinedSince + QUARANTINE_MS;
