/** Batches the records of one claim partition into few appends (group commit). */
import { Err, Ok, type Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";
import type { PlatformLog } from "../platform/index.js";
import type { TimerService } from "../time/index.js";
import type { PartitionRecord } from "./claim-fold.js";

interface Waiting {
    readonly record: PartitionRecord;
    readonly settle: (result: Result<number, SchedulerError>) => void;
}

/** Maximum number of records in one append. */
const MAX_BATCH_RECORDS = 500;

/** Appender of one partition on one VM. */
export class ClaimAppender {
    private waiting: Waiting[] = [];
    private isRunning = false;

    private constructor(
        private readonly log: PlatformLog,
        private readonly timers: TimerService,
        private readonly stream: string,
        private readonly batchMs: number,
    ) {}

    /** Creates an appender that collects records for `batchMs` milliseconds per append. */
    static create(log: PlatformLog, timers: TimerService, stream: string, batchMs: number): ClaimAppender {
        return new ClaimAppender(log, timers, stream, batchMs);
    }

    /** Appends a record and returns its offset. Fails with LogUnavailable or LogAnswerUnknown. */
    append(record: PartitionRecord): Promise<Result<number, SchedulerError>> {
        return new Promise(settle => {
            this.waiting.push({ record, settle });
            if (!this.isRunning) {
                void this.run();
            }
        });
    }

    /** Runs one append at a time, so that a slow log makes batches larger instead of more numerous. */
    private async run(): Promise<void> {
        this.isRunning = true;
        while (this.waiting.length > 0) {
            await this.timers.sleep(this.batchMs);
            const batch = this.waiting.splice(0, MAX_BATCH_RECORDS);
            const result = await this.log.append(this.stream, batch.map(({ record }) => record));
            batch.forEach(({ settle }, index) =>
                settle(result.isOk() ? Ok(result.value + index) : Err(result.error))
            );
        }
        this.isRunning = false;
    }
}
