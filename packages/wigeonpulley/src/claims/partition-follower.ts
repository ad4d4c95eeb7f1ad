/** Follows one claim partition on demand: it reads only while an attempt waits for a verdict or for a key's holder. */
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";
import { checkEndReached, type PlatformLog } from "../platform/index.js";
import { ClaimFold, type ClaimVerdict, type HeldClaim } from "./claim-fold.js";

/** Follower of one partition. */
export class PartitionFollower {
    private fold: ClaimFold | undefined;
    /** Incremented when records were missed, so that verdicts tracked across the gap are not trusted. */
    private epoch = 0;
    private readonly tracked = new Set<string>();
    private reading: Promise<Result<void, SchedulerError>> | undefined;

    private constructor(private readonly log: PlatformLog, private readonly stream: string) {}

    /** Creates a follower that has read nothing. */
    static create(log: PlatformLog, stream: string): PartitionFollower {
        return new PartitionFollower(log, stream);
    }

    /**
     * Starts to track the verdict on an attempt, reads to the end and returns the current epoch. Must succeed before the
     * claim is appended. Fails with LogUnavailable.
     */
    async trackVerdict(nonce: string): Promise<Result<number, SchedulerError>> {
        this.tracked.add(nonce);
        const read = await this.refresh();
        return read.map(() => this.epoch);
    }

    /** Stops tracking the verdict on an attempt. */
    untrackVerdict(nonce: string): void {
        this.tracked.delete(nonce);
        this.fold?.removeVerdict(nonce);
    }

    /**
     * Reads to the end of the stream. Concurrent calls share a read that starts after them. Fails with LogUnavailable.
     */
    async refresh(): Promise<Result<void, SchedulerError>> {
        // A read in progress may already have passed the caller's record: wait for it, then read again.
        await this.reading;
        this.reading ??= this.readToEnd().finally(() => {
            this.reading = undefined;
        });
        return this.reading;
    }

    /** Returns the effective claim on a key as far as the partition was read; undefined if there is none. */
    findHolder(key: string): HeldClaim | undefined {
        return this.fold?.findHolder(key);
    }

    /**
     * Returns the verdict on an attempt; undefined if its claim was not read yet.
     * Fails with LogTrimmed when records were missed since `trackVerdict` returned the epoch.
     */
    findVerdict(nonce: string, epoch: number): Result<ClaimVerdict | undefined, SchedulerError> {
        return epoch === this.epoch
            ? Ok(this.fold?.findVerdict(nonce))
            : Err(
                SchedulerError.create("LogTrimmed", { offset: 0, firstOffset: this.fold?.nextOffset ?? 0 }),
            );
    }

    private async readToEnd(): Promise<Result<void, SchedulerError>> {
        for (;;) {
            const page = await this.log.read(this.stream, this.fold?.nextOffset ?? 0);
            if (page.isErr()) {
                return Err(page.error);
            }
            const { records, firstOffset } = page.value;
            const fold = this.applyRetention(firstOffset);
            records.forEach(record => fold.apply(record, nonce => this.tracked.has(nonce)));
            const isEndReached = checkEndReached(page.value, fold.nextOffset);
            if (isEndReached.isErr() || isEndReached.value) {
                return isEndReached.map(() => undefined);
            }
        }
    }

    private applyRetention(firstOffset: number): ClaimFold {
        if (this.fold === undefined || this.fold.nextOffset < firstOffset) {
            this.epoch += 1;
            this.fold = ClaimFold.create(firstOffset);
        }
        this.fold.removeBefore(firstOffset);
        return this.fold;
    }
}
