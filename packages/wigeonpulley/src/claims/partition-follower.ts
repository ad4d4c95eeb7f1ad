/** Reads one claim partition as far as verdicts need it. */
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";
import type { PlatformLog } from "../platform/index.js";
import { ClaimFold, type ClaimVerdict, type HeldClaim } from "./claim-fold.js";

/** Reader of one partition. */
export class PartitionFollower {
    private fold: ClaimFold | undefined;
    /** Raised when records were missed, so that verdicts awaited across the gap are not trusted. */
    private epoch = 0;
    private readonly awaited = new Set<string>();
    private reading: Promise<Result<void, SchedulerError>> | undefined;

    private constructor(private readonly log: PlatformLog, private readonly stream: string) {}

    /** Creates a reader that has read nothing. */
    static create(log: PlatformLog, stream: string): PartitionFollower {
        return new PartitionFollower(log, stream);
    }

    /** Begins to keep the verdict of a try. Has to be called, and a read has to succeed, before the claim is appended. */
    async trackVerdict(nonce: string): Promise<Result<number, SchedulerError>> {
        this.awaited.add(nonce);
        const read = await this.refresh();
        return read.map(() => this.epoch);
    }

    /** Ends the interest in a try. */
    untrackVerdict(nonce: string): void {
        this.awaited.delete(nonce);
        this.fold?.removeVerdict(nonce);
    }

    /** Reads to the end of the stream. Concurrent calls share a read that begins after them. Fails with LogUnavailable. */
    async refresh(): Promise<Result<void, SchedulerError>> {
        // A read that is already under way may have passed the caller's record: wait it out, then read again.
        await this.reading;
        this.reading ??= this.readToEnd().finally(() => {
            this.reading = undefined;
        });
        return this.reading;
    }

    /** The effective claim on a key as far as was read. */
    findHolder(key: string): HeldClaim | undefined {
        return this.fold?.findHolder(key);
    }

    /**
     * The verdict on a try, if its claim was read.
     * Fails with LogTrimmed when records were missed since `expect` returned the epoch.
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
            const { records, firstOffset, endOffset } = page.value;
            const fold = this.applyRetention(firstOffset);
            records.forEach(record => fold.apply(record, nonce => this.awaited.has(nonce)));
            if (fold.nextOffset >= endOffset || records.length === 0) {
                return Ok.EMPTY;
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
