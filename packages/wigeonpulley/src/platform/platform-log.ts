/** Interface of the platform's append-only log. */
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";

/** One record with its offset in the stream. */
export interface LogRecord {
    readonly offset: number;
    readonly value: unknown;
}

/** Records returned by one read, with the bounds of the stream. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** First offset that retention has not deleted. */
    readonly firstOffset: number;
    /** Offset of the next record to be appended. */
    readonly endOffset: number;
}

/**
 * Returns whether a reader that applied a page up to `nextOffset` is at the end of the stream. Fails with LogUnavailable when the
 * page has no records although the stream goes on: then the reader is neither at the end nor any further.
 */
export const checkEndReached = (
    { records, endOffset }: LogPage,
    nextOffset: number,
): Result<boolean, SchedulerError> =>
    records.length === 0 && nextOffset < endOffset
        ? Err(
            SchedulerError.create("LogUnavailable", {
                operation: `read from ${nextOffset}`,
                reason: `no records before the end at ${endOffset}`,
            }),
        )
        : Ok(nextOffset >= endOffset);

/** Log of streams of records, limited in rate and retention. */
export abstract class PlatformLog {
    /**
     * Appends records to a stream in one operation, at consecutive offsets. Returns the offset of the first one.
     * Fails with LogUnavailable when nothing was appended, and with LogAnswerUnknown when the records may have been.
     */
    abstract append(stream: string, values: readonly unknown[]): Promise<Result<number, SchedulerError>>;

    /** Reads records starting at an offset. Fails with LogUnavailable. */
    abstract read(stream: string, fromOffset: number): Promise<Result<LogPage, SchedulerError>>;
}
