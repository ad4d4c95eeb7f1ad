/** The platform's append-only log, as the rest of the system sees it. */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";

/** One record with its offset in the stream. */
export interface LogRecord {
    readonly offset: number;
    readonly value: unknown;
}

/** The result of a read. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** First offset that retention has left. */
    readonly firstOffset: number;
    /** Offset of the record that would be appended next. */
    readonly endOffset: number;
}

/** Streams of records with offsets, limited in rate and retention. */
export abstract class PlatformLog {
    /**
     * Appends records to a stream as one append; they take consecutive offsets.
     * Returns the offset of the first one.
     * Fails with LogUnavailable (surely not taken) or LogAnswerUnknown (may have been taken).
     */
    abstract append(stream: string, values: readonly unknown[]): Promise<Result<number, SchedulerError>>;

    /** Reads records from an offset on. Fails with LogUnavailable. */
    abstract read(stream: string, fromOffset: number): Promise<Result<LogPage, SchedulerError>>;
}
