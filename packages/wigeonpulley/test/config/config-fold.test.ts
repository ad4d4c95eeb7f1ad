/** Guards against readers that disagree on the active version, in generated histories of the configuration stream. */
import { fc, test } from "@fast-check/vitest";
import { expect } from "vitest";
import {
    type ConfigurationState,
    createConfigurationState,
    foldConfiguration,
    type LogRecord,
    NO_VERSION,
} from "wigeonpulley";
import { UNIT_PROPERTY } from "../fixtures/properties.js";
import { createTestConfiguration } from "../fixtures/test-configuration.js";

const configuration = createTestConfiguration();

/** One writer's step: publishes a change based on the version it knew some records ago, or writes a checkpoint. */
const stepArbitrary = fc.record({
    kind: fc.constantFrom("publish", "publish", "publish", "repeat", "noise"),
    /** Number of records that the writer had not read yet when it wrote. */
    lag: fc.nat({ max: 3 }),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const foldAll = (records: readonly LogRecord[], startOffset: number): readonly ConfigurationState[] => {
    const states = [createConfigurationState(startOffset)];
    records.filter(({ offset }) => offset >= startOffset).forEach(record => {
        states.push(foldConfiguration(states.at(-1) ?? createConfigurationState(startOffset), record));
    });
    return states;
};

/** Writes the steps like writers that read the stream from its start, each with its own lag. */
const writeStream = (steps: readonly Step[]): readonly LogRecord[] => {
    const records: LogRecord[] = [];
    steps.forEach(({ kind, lag }, index) => {
        const known = foldAll(records.slice(0, Math.max(0, records.length - lag)), 0).at(-1);
        const common = { changeId: `change-${index}`, author: "test", publishedAt: index, configuration };
        const version = known?.current?.version ?? NO_VERSION;
        if (kind === "publish") {
            records.push({ offset: index, value: { kind, base: version, ...common } });
        }
        else if (kind === "repeat" && known?.current !== undefined) {
            const { changeId, author, publishedAt } = known.current;
            const readThrough = known.nextOffset - 1;
            const value = { kind, version, readThrough, changeId, author, publishedAt, configuration };
            records.push({ offset: index, value });
        }
        else {
            records.push({ offset: index, value: { kind: "unknown" } });
        }
    });
    return records;
};

test.prop([fc.array(stepArbitrary, { maxLength: 40 }), fc.nat({ max: 40 })], UNIT_PROPERTY)(
    "a reader that starts late knows the correct version or none",
    (steps, startOffset) => {
        const records = writeStream(steps);
        const complete = foldAll(records, 0);
        const late = foldAll(records, startOffset);
        late.forEach((state, index) => {
            const expected = complete[Math.min(startOffset, records.length) + index];
            if (state.current !== undefined) {
                expect(state.current.version).toBe(expected?.current?.version);
                expect(state.current.changeId).toBe(expected?.current?.changeId);
            }
        });
    },
);

test.prop([fc.array(stepArbitrary, { maxLength: 40 })], UNIT_PROPERTY)(
    "the active version never goes back, and each base has one successor",
    steps => {
        const records = writeStream(steps);
        const versions = foldAll(records, 0).map(state => state.current?.version ?? NO_VERSION);
        versions.forEach((version, index) => {
            expect(version).toBeGreaterThanOrEqual(versions[index - 1] ?? NO_VERSION);
        });
        const effective = new Set(versions);
        const bases = records
            .filter(({ offset }) => effective.has(offset))
            .map(({ value }) => (value as { base: number; }).base);
        expect(new Set(bases).size).toBe(bases.length);
    },
);
