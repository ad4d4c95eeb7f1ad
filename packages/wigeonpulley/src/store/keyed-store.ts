/** Interface to the platform's store: topics that keep the newest record of each key and a history. */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";

/** Topics by content. */
export type Topic = "operator" | "instances" | "vms" | "vms-copy-1" | "vms-copy-2" | "status" | "quarantine";

/** One record. */
export interface KeyedRecord {
    readonly key: string;
    /** Undefined when the key was removed. */
    readonly value: Buffer | undefined;
    readonly offset: number;
}

/** Place in the history of a topic. A store that is restored from a copy gives offsets out again, in the next era. */
export interface TopicPosition {
    readonly era: number;
    readonly offset: number;
}

/** Records of a topic with the position at which to continue. Says nothing about what the topic holds after them. */
export interface RecordBatch {
    readonly records: readonly KeyedRecord[];
    readonly next: TopicPosition;
}

/** A batch up to the end that the topic had when the store responded. */
export interface CompleteBatch extends RecordBatch {
    readonly kind: "complete";
}

/** A batch of at least one record, after which the topic held more when the store responded. */
export interface PartialBatch extends RecordBatch {
    readonly kind: "part";
    /** Offset at which the topic ended. */
    readonly endOffset: number;
}

/** The platform's store. */
export abstract class KeyedStore {
    /**
     * Reads the newest record of each key, all pages of them. Calls `onReceiving` later, when the response begins to arrive. Fails with
     * StoreUnavailable.
     */
    abstract readSnapshot(
        topic: Topic,
        onReceiving?: () => void,
    ): Promise<Result<CompleteBatch, SchedulerError>>;

    /**
     * Reads records from a position on; waits up to `waitMs` milliseconds for the first one. The store limits the length of
     * a response, so that a read may return a part only. Calls `onReceiving` when the response begins to arrive. Fails with StoreUnavailable, or with StoreHistoryLost when records from the
     * position on were trimmed or the store was restored since.
     */
    abstract readFrom(
        topic: Topic,
        position: TopicPosition,
        waitMs: number,
        onReceiving?: () => void,
    ): Promise<Result<CompleteBatch | PartialBatch, SchedulerError>>;

    /**
     * Appends a record and returns its offset; a record without a value removes the key. With `expectedEnd`, the record is
     * appended only if the topic ends at that offset, and the call fails with StoreConflict otherwise. It also fails
     * with StoreConflict when the store was restored since the end was read; then the record may have been appended, as
     * after StoreUnavailable, after which it may still be if its condition holds.
     */
    abstract put(
        topic: Topic,
        key: string,
        value: Buffer | undefined,
        expectedEnd?: TopicPosition,
    ): Promise<Result<number, SchedulerError>>;
}
