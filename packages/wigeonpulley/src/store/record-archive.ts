/** Keeps the newest record of each key of a topic, for other VMs that have read less of it. */
import type { KeyedRecord, RecordBatch, TopicPosition } from "./keyed-store.js";

/** A record with the offset from which on a reader has to know it. */
interface ArchivedRecord {
    readonly record: KeyedRecord;
    /** Offset of the first of the successive records of the key that have the same content. */
    readonly changedAt: number;
}

/** Archive of one topic. */
export class RecordArchive {
    private readonly newest = new Map<string, ArchivedRecord>();
    /** Position of the snapshot; what was removed before it is unknown. */
    private start: TopicPosition | undefined;
    private next: TopicPosition | undefined;

    /** Offset after the last record that changed the content of its key. */
    private changedEnd = 0;

    private constructor(
        private readonly hasSameContent: (before: KeyedRecord, after: KeyedRecord) => boolean,
    ) {}

    /** Creates an archive without records. A reader needs no record with the same content as the one before it. */
    static create(
        hasSameContent: (before: KeyedRecord, after: KeyedRecord) => boolean = () => false,
    ): RecordArchive {
        return new RecordArchive(hasSameContent);
    }

    /** Offset after the last record that changed the content of its key; undefined before the first snapshot. */
    get changedOffset(): number | undefined {
        return this.start === undefined ? undefined : this.changedEnd;
    }

    /** Replaces all records by a snapshot, after which reading continues at `next`. */
    applySnapshot(records: readonly KeyedRecord[], next: TopicPosition): void {
        this.newest.clear();
        this.start = next;
        // What the snapshot lacks was removed at an unknown offset.
        this.changedEnd = next.offset;
        this.applyChanges(records, next);
    }

    /** Adds later records. */
    applyChanges(records: readonly KeyedRecord[], next: TopicPosition): void {
        records.forEach(record => this.add(record));
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
        if (position === undefined) {
            return { records: this.listChangedSince(0), next };
        }
        return position.era === next.era && position.offset >= start.offset && position.offset < next.offset
            ? { records: this.listChangedSince(position.offset), next }
            : undefined;
    }

    private add(record: KeyedRecord): void {
        const known = this.newest.get(record.key);
        const isSame = known !== undefined && this.hasSameContent(known.record, record);
        this.newest.set(record.key, { record, changedAt: isSame ? known.changedAt : record.offset });
        if (!isSame) {
            this.changedEnd = Math.max(this.changedEnd, record.offset + 1);
        }
    }

    private listChangedSince(offset: number): readonly KeyedRecord[] {
        return [...this.newest.values()]
            .filter(({ changedAt }) => changedAt >= offset)
            .map(({ record }) => record)
            .toSorted((left, right) => left.offset - right.offset);
    }
}
