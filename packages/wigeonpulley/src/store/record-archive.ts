/** Keeps the newest record of each key of a topic, for other VMs that have read less of it. */
import type { KeyedRecord, RecordBatch, TopicPosition } from "./keyed-store.js";

/** Archive of one topic. */
export class RecordArchive {
    private readonly newest = new Map<string, KeyedRecord>();
    /** Position of the snapshot; what was removed before it is unknown. */
    private start: TopicPosition | undefined;
    private next: TopicPosition | undefined;

    private constructor() {}

    /** Creates an archive without records. */
    static create(): RecordArchive {
        return new RecordArchive();
    }

    /** Replaces all records by a snapshot, after which reading continues at `next`. */
    applySnapshot(records: readonly KeyedRecord[], next: TopicPosition): void {
        this.newest.clear();
        this.start = next;
        this.applyChanges(records, next);
    }

    /** Adds later records. */
    applyChanges(records: readonly KeyedRecord[], next: TopicPosition): void {
        records.forEach(record => this.newest.set(record.key, record));
        this.next = next;
    }

    /**
     * Returns the newest record of each key from a position on, or all for a reader without a position. Undefined when there
     * are none, or when the reader's history isn't this one or began before it.
     */
    listSince(position: TopicPosition | undefined): RecordBatch | undefined {
        const { start, next } = this;
        if (start === undefined || next === undefined) {
            return undefined;
        }
        const records = [...this.newest.values()].toSorted((left, right) => left.offset - right.offset);
        if (position === undefined) {
            return { records, next };
        }
        return position.era === next.era && position.offset >= start.offset && position.offset < next.offset
            ? { records: records.filter(({ offset }) => offset >= position.offset), next }
            : undefined;
    }
}
