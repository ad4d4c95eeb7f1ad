/** The platform's store as the product uses it: topics that keep the newest record of each key, and their history. */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";

/** Topics, by what they hold. */
export type Topic = "operator" | "instances" | "vms" | "status";

/** One record. */
export interface KeyedRecord {
    readonly key: string;
    /** Undefined when the key was dropped. */
    readonly value: Buffer | undefined;
    readonly offset: number;
}

/** Records of a topic with the offset to go on from. */
export interface RecordBatch {
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
}

/** Calls to the store. */
export abstract class KeyedStore {
    /** The newest record of each key. Fails with StoreUnavailable. */
    abstract readSnapshot(topic: Topic): Promise<Result<RecordBatch, SchedulerError>>;

    /**
     * Records from an offset on; waits up to `waitMs` milliseconds for one.
     * Fails with StoreUnavailable, or with StoreHistoryLost when the offset is no longer held.
     */
    abstract readFrom(
        topic: Topic,
        offset: number,
        waitMs: number,
    ): Promise<Result<RecordBatch, SchedulerError>>;

    /**
     * Stores a record and returns its offset; without a value the key is dropped. With `expectedEnd` it is stored only if
     * the topic ends there. Fails with StoreConflict when it does not, and with StoreUnavailable; the record may have been
     * stored then, or may be later if its condition still holds.
     */
    abstract put(
        topic: Topic,
        key: string,
        value: Buffer | undefined,
        expectedEnd?: number,
    ): Promise<Result<number, SchedulerError>>;
}
