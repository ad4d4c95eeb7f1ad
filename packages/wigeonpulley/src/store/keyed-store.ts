/** Interface to the platform's store: topics that keep the newest record of each key and a history. */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";

/** Topics by content. */
export type Topic = "operator" | "instances" | "vms" | "status" | "quarantine";

/** One record. */
export interface KeyedRecord {
    readonly key: string;
    /** Undefined when the key was removed. */
    readonly value: Buffer | undefined;
    readonly offset: number;
}

/** Records of a topic with the offset at which to continue. */
export interface RecordBatch {
    /** Era of the store's history; it rises when the store is restored from a copy. */
    readonly era: number;
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
}

/** The platform's store. */
export abstract class KeyedStore {
    /** Reads the newest record of each key. Fails with StoreUnavailable. */
    abstract readSnapshot(topic: Topic): Promise<Result<RecordBatch, SchedulerError>>;

    /**
     * Reads records from an offset on; waits up to `waitMs` milliseconds for the first one.
     * Fails with StoreUnavailable, or with StoreHistoryLost when records from the offset on were trimmed.
     */
    abstract readFrom(
        topic: Topic,
        offset: number,
        waitMs: number,
    ): Promise<Result<RecordBatch, SchedulerError>>;

    /**
     * Appends a record and returns its offset; a record without a value removes the key. With `expectedEnd`, the record is
     * appended only if the topic ends at that offset, and the call fails with StoreConflict otherwise. After
     * StoreUnavailable the record may have been appended, or may still be if its condition holds.
     */
    abstract put(
        topic: Topic,
        key: string,
        value: Buffer | undefined,
        expectedEnd?: number,
    ): Promise<Result<number, SchedulerError>>;
}
