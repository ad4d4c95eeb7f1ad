import { fc, test as property } from "@fast-check/vitest";
import { expect, onTestFinished, test, vi } from "vitest";
import { EventSplitter } from "wigeonpulley";

const splitAt = (bytes: Buffer, lengths: readonly number[]): readonly Buffer[] => {
    const chunks: Buffer[] = [];
    for (let start = 0, index = 0; start < bytes.length; index += 1) {
        const length = lengths[index % lengths.length] ?? 1;
        chunks.push(bytes.subarray(start, start + length));
        start += length;
    }
    return chunks;
};

const eventsArbitrary = fc.array(fc.stringMatching(/^[a-z]{1,3000}$/), { minLength: 1, maxLength: 20 });

property.prop(
    [eventsArbitrary, fc.array(fc.integer({ min: 1, max: 500 }), { minLength: 1, maxLength: 10 })],
    {
        numRuns: 100,
        seed: 55,
    },
)("events are the same however their bytes are divided, and stay as they are", (data, lengths) => {
    const texts = data.map((text, index) => `id: ${index}\ndata: ${text}\n\n`);
    const splitter = EventSplitter.create();
    const events = splitAt(Buffer.from(texts.join("")), lengths).flatMap(chunk => splitter.push(chunk));
    expect(events.map(({ bytes }) => bytes.toString())).toEqual(texts);
    expect(events.map(({ id }) => id)).toEqual(texts.map((unused, index) => String(index)));
    expect(splitter.remainder.length).toBe(0);
});

// Guards against REFUSED: an event of 1 MiB in chunks of one byte was copied with each of them.
test("an event in chunks of one byte is copied a few times", () => {
    const concat = vi.spyOn(Buffer, "concat");
    const allocate = vi.spyOn(Buffer, "allocUnsafe");
    onTestFinished(() => {
        concat.mockRestore();
        allocate.mockRestore();
    });
    const splitter = EventSplitter.create();
    const byte = Buffer.from("x");
    for (let count = 0; count < 50_000; count += 1) {
        splitter.push(byte);
    }
    expect(splitter.remainder.length).toBe(50_000);
    expect(splitter.heldBytes).toBeLessThanOrEqual(150_000);
    expect(concat.mock.calls.length + allocate.mock.calls.length).toBeLessThanOrEqual(20);
});
