/** Bytes collected from chunks of any size, at a memory cost close to their number. */

/** Size of the segments into which chunks are copied, in bytes. */
const SEGMENT_BYTES = 65_536;
/** Size of the first segment, since most bodies are short, in bytes. */
const FIRST_SEGMENT_BYTES = 4_096;

/** Full-size segments for reuse, so that uploads that come and go leave no garbage that waits for a collection. */
export class SegmentPool {
    private readonly free: Buffer[] = [];

    private constructor(private readonly maxFree: number) {}

    /** Creates an empty pool that keeps up to `maxBytes`. */
    static create(maxBytes: number): SegmentPool {
        return new SegmentPool(Math.floor(maxBytes / SEGMENT_BYTES));
    }

    /** Returns a segment; its content is undefined. */
    acquire(): Buffer {
        return this.free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES);
    }

    /** Takes a segment back that nothing refers to any more. */
    release(segment: Buffer): void {
        if (segment.length === SEGMENT_BYTES && this.free.length < this.maxFree) {
            this.free.push(segment);
        }
    }
}

/** Collected bytes. The chunks themselves are not kept: a chunk of one byte would cost a hundred times its size. */
export class CompactBytes {
    private segments: Buffer[] = [];
    private usedInLast = 0;
    private total = 0;

    private constructor(private readonly pool: SegmentPool, private readonly firstBytes: number) {}

    /** Creates an empty collection. An expected length up to a segment is allocated at once. */
    static create(pool: SegmentPool, expectedBytes = 0): CompactBytes {
        const isShort = expectedBytes > 0 && expectedBytes <= SEGMENT_BYTES;
        return new CompactBytes(pool, isShort ? expectedBytes : FIRST_SEGMENT_BYTES);
    }

    /** Number of bytes collected. */
    get length(): number {
        return this.total;
    }

    /** Returns the memory that has to be added before so many further bytes fit. */
    computeGrowth(bytes: number): number {
        const last = this.segments.at(-1);
        let missing = bytes - (last === undefined ? 0 : last.length - this.usedInLast);
        let growth = 0;
        if (last === undefined && missing > 0) {
            growth = this.firstBytes;
            missing -= this.firstBytes;
        }
        return growth + Math.max(0, Math.ceil(missing / SEGMENT_BYTES)) * SEGMENT_BYTES;
    }

    /** Returns the memory in use. */
    computeMemory(): number {
        return this.segments.reduce((bytes, { length }) => bytes + length, 0);
    }

    /** Copies a chunk to the end. */
    push(chunk: Buffer): void {
        let copied = 0;
        while (copied < chunk.length) {
            const last = this.segments.at(-1);
            if (last === undefined || this.usedInLast === last.length) {
                this.segments.push(
                    last === undefined ? Buffer.allocUnsafeSlow(this.firstBytes) : this.pool.acquire(),
                );
                this.usedInLast = 0;
                continue;
            }
            const count = chunk.copy(last, this.usedInLast, copied);
            this.usedInLast += count;
            copied += count;
        }
        this.total += chunk.length;
    }

    /** Returns all bytes in one buffer and empties the collection. */
    take(): Buffer {
        const [first] = this.segments;
        const bytes = first === undefined
            ? Buffer.alloc(0)
            : this.segments.length === 1
            ? first.subarray(0, this.total)
            : this.join();
        this.clear();
        return bytes;
    }

    /** Discards all bytes. */
    clear(): void {
        if (this.segments.length > 1) {
            this.segments.forEach(segment => this.pool.release(segment));
        }
        this.segments = [];
        this.usedInLast = 0;
        this.total = 0;
    }

    private join(): Buffer {
        // Not from Node's shared pool, which a long-lived part would keep whole.
        const joined = Buffer.allocUnsafeSlow(this.total);
        let start = 0;
        this.segments.forEach(segment => {
            start += segment.copy(joined, start, 0, Math.min(segment.length, this.total - start));
        });
        return joined;
    }
}
