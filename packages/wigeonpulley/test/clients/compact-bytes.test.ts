import { fc, test } from "@fast-check/vitest";
import { expect } from "vitest";
import { CompactBytes, SegmentPool } from "wigeonpulley";

const SEGMENT_BYTES = 65_536;
const POOL_BYTES = 10 * SEGMENT_BYTES;

const chunksArbitrary = fc.array(
    fc.tuple(fc.oneof(fc.integer({ min: 0, max: 9 }), fc.integer({ min: 0, max: 150_000 })), fc.nat(255)).map(
        (
            [length, value],
        ) => Buffer.alloc(length, value),
    ),
    { maxLength: 12 },
);

// Guards against a changed body: whatever the sizes of its chunks and whatever was in reused memory before.
test.prop([chunksArbitrary, chunksArbitrary, fc.nat(300_000)], { seed: 7, numRuns: 100 })(
    "collected bytes are those of the chunks, and memory is predicted exactly",
    (before, chunks, expectedBytes) => {
        const pool = SegmentPool.create(POOL_BYTES);
        const dirty = CompactBytes.create(pool);
        before.forEach(chunk => dirty.push(chunk));
        dirty.clear();
        const bytes = CompactBytes.create(pool, expectedBytes);
        let predicted = 0;
        chunks.forEach(chunk => {
            predicted += bytes.computeGrowth(chunk.length);
            bytes.push(chunk);
        });
        const total = Buffer.concat(chunks);
        expect(bytes.computeMemory()).toBe(predicted);
        expect(predicted).toBeLessThanOrEqual(total.length + 2 * SEGMENT_BYTES);
        expect(bytes.length).toBe(total.length);
        expect(bytes.take().equals(total)).toBe(true);
        expect(bytes.computeMemory()).toBe(0);
    },
);

// Guards against a changed body: bytes that were taken must not be in memory that later bodies use.
test.prop([chunksArbitrary, chunksArbitrary], { seed: 8, numRuns: 50 })(
    "bytes that were taken don't change when others are collected",
    (chunks, later) => {
        const pool = SegmentPool.create(POOL_BYTES);
        const bytes = CompactBytes.create(pool);
        chunks.forEach(chunk => bytes.push(chunk));
        const taken = bytes.take();
        const other = CompactBytes.create(pool);
        later.forEach(chunk => other.push(chunk));
        expect(taken.equals(Buffer.concat(chunks))).toBe(true);
    },
);
