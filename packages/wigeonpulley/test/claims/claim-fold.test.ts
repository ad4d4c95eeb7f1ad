/** Guards against a second dispatch of a key: records may arrive as duplicates, late, or after their release. */
import { fc, test } from "@fast-check/vitest";
import { expect, test as plainTest } from "vitest";
import { ClaimFold, type LogRecord, type PartitionRecord } from "wigeonpulley";
import { UNIT_PROPERTY } from "../fixtures/properties.js";

/** Records of a few attempts in any order: copies of a claim, releases before their claim, completions. */
const recordArbitrary: fc.Arbitrary<PartitionRecord> = fc.record({
    kind: fc.constantFrom("claim" as const, "claim" as const, "release" as const, "completion" as const),
    nonce: fc.integer({ min: 0, max: 5 }).map(number => `nonce-${number}`),
}).map(({ kind, nonce }): PartitionRecord => {
    const key = `key-${Number(nonce.slice(-1)) % 2}`;
    switch (kind) {
        case "claim":
            return { kind, key, digest: "digest", nonce, claimant: { vm: "vm-1", incarnation: "1" } };
        case "release":
            return { kind, key, nonce };
        case "completion":
            return {
                kind,
                key,
                nonce,
                answer: { status: 200, contentType: "text/plain", body: nonce, isComplete: true },
            };
    }
});

const createLog = (records: readonly PartitionRecord[]): readonly LogRecord[] =>
    records.map((value, offset) => ({ offset, value }));

test.prop([fc.array(recordArbitrary, { maxLength: 30 })], UNIT_PROPERTY)(
    "between two effective claims on a key, the first one is released",
    records => {
        const fold = ClaimFold.create(0);
        const holderByKey = new Map<string, string>();
        const released = new Set<string>();
        createLog(records).forEach(record => {
            const { key, nonce, kind } = records[record.offset] ?? { key: "", nonce: "", kind: "claim" };
            fold.apply(record, () => true);
            if (kind === "release") {
                released.add(nonce);
            }
            const holder = fold.findHolder(key)?.nonce;
            const previous = holderByKey.get(key);
            if (holder !== undefined && previous !== undefined && holder !== previous) {
                expect(released.has(previous)).toBe(true);
            }
            if (holder !== undefined) {
                expect(released.has(holder)).toBe(false);
                holderByKey.set(key, holder);
            }
        });
    },
);

test.prop([fc.array(recordArbitrary, { maxLength: 30 })], UNIT_PROPERTY)(
    "the verdict on an attempt doesn't change when copies of its claim are appended later",
    records => {
        const fold = ClaimFold.create(0);
        const verdicts = new Map<string, string>();
        createLog(records).forEach(record => {
            fold.apply(record, () => true);
            for (let number = 0; number <= 5; number += 1) {
                const nonce = `nonce-${number}`;
                const verdict = fold.findVerdict(nonce)?.kind;
                if (verdicts.has(nonce)) {
                    expect(verdict).toBe(verdicts.get(nonce));
                }
                if (verdict !== undefined) {
                    verdicts.set(nonce, verdict);
                }
            }
        });
    },
);

test.prop([fc.array(recordArbitrary, { maxLength: 30 }), fc.nat({ max: 30 })], UNIT_PROPERTY)(
    "a reader that reads some records twice reaches the same holders",
    (records, split) => {
        const first = ClaimFold.create(0);
        const second = ClaimFold.create(0);
        const log = createLog(records);
        log.forEach(record => first.apply(record, () => false));
        [...log.slice(0, split), ...log].forEach(record => second.apply(record, () => true));
        ["key-0", "key-1"].forEach(key => expect(second.findHolder(key)).toEqual(first.findHolder(key)));
    },
);

plainTest(
    "clean-up reaches every dropped release, also when an earlier one was appended a second time",
    () => {
        const fold = ClaimFold.create(0);
        const createRelease = (nonce: string): PartitionRecord => ({ kind: "release", key: "key-0", nonce });
        createLog([createRelease("nonce-1"), createRelease("nonce-2"), createRelease("nonce-1")]).forEach(
            record => fold.apply(record, () => true),
        );
        fold.removeBefore(2);
        const claimant = { vm: "vm-1", incarnation: "1" };
        ["nonce-1", "nonce-2"].forEach((nonce, index) =>
            fold.apply(
                {
                    offset: 3 + index,
                    value: { kind: "claim", key: nonce, digest: "digest", nonce, claimant },
                },
                () => true,
            )
        );
        expect(fold.findVerdict("nonce-1")?.kind).toBe("released");
        expect(fold.findVerdict("nonce-2")?.kind).toBe("effective");
    },
);
