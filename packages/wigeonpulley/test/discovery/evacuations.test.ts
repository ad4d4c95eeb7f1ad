import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import { Evacuations, EventLogger, MemorySink } from "wigeonpulley";
import { UNIT_PROPERTY } from "../fixtures/properties.js";

const KNOWN = ["south-1", "south-2", "north-1"];

const createEvacuations = (isKnown = (name: string): boolean => KNOWN.includes(name)) => {
    const log = MemorySink.create();
    const evacuations = Evacuations.create(EventLogger.create(log), isKnown);
    const changes: string[] = [];
    evacuations.subscribe((name, isEvacuated) => changes.push(`${isEvacuated ? "+" : "-"}${name}`));
    return { evacuations, changes, listEvents: () => log.events.map(({ name }) => name) };
};

const names = fc.constantFrom(...KNOWN);

// Guards against a record that is lost or outlives its removal, and against calls of listeners without a change.
propertyTest.prop([
    fc.array(
        fc.oneof(
            fc.record({ name: names, isRequested: fc.boolean() }),
            fc.record({ snapshot: fc.uniqueArray(names) }),
        ),
        { maxLength: 30 },
    ),
], UNIT_PROPERTY)(
    "the state follows snapshots and changes, and listeners hear of each change once",
    steps => {
        const { evacuations, changes } = createEvacuations();
        let expected = new Set<string>();
        for (const step of steps) {
            const before = new Set(expected);
            changes.length = 0;
            if ("snapshot" in step) {
                expected = new Set(step.snapshot);
                evacuations.applySnapshot(new Set(step.snapshot));
            }
            else {
                evacuations.applyChange(step.name, step.isRequested);
                expected = new Set(
                    [...expected, step.name].filter(name => name !== step.name || step.isRequested),
                );
            }
            expect(evacuations.list()).toEqual([...expected].toSorted());
            expect(KNOWN.filter(name => evacuations.isEvacuated(name)).toSorted()).toEqual(
                [...expected].toSorted(),
            );
            expect(changes.toSorted()).toEqual(
                [
                    ...[...expected].filter(name => !before.has(name)).map(name => `+${name}`),
                    ...[...before].filter(name => !expected.has(name)).map(name => `-${name}`),
                ].toSorted(),
            );
        }
    },
);

test.each<[string, readonly [string, boolean][], readonly string[]]>([
    ["a record for an unknown data centre", [["suoth-1", true]], []],
    ["a second record", [["south-1", true], ["south-1", true]], ["south-1"]],
    ["a removal without a record", [["south-1", false]], []],
])("%s changes nothing and writes one line", (title, records, expected) => {
    const { evacuations, changes, listEvents } = createEvacuations();
    records.forEach(([name, isRequested]) => evacuations.applyChange(name, isRequested));
    expect(evacuations.list()).toEqual(expected);
    expect(changes).toEqual(expected.map(name => `+${name}`));
    expect(listEvents().filter(name => name === "EvacuationUnchanged")).toHaveLength(1);
});

test("a snapshot that repeats a record writes no line", () => {
    const { evacuations, listEvents } = createEvacuations();
    evacuations.applySnapshot(new Set(["south-1", "suoth-1"]));
    evacuations.applySnapshot(new Set(["south-1", "suoth-1"]));
    expect(listEvents()).toEqual(["EvacuationStarted", "EvacuationUnchanged"]);
});

// Guards against instances that register in a data centre after its record was read.
test("the record of an unknown data centre holds when its first instance registers", () => {
    const known = new Set<string>();
    const { evacuations } = createEvacuations(name => known.has(name));
    evacuations.applySnapshot(new Set(["new-1"]));
    expect(evacuations.list()).toEqual([]);
    known.add("new-1");
    expect(evacuations.list()).toEqual(["new-1"]);
    expect(evacuations.isEvacuated("new-1")).toBe(true);
});

test("nothing is known before the first snapshot", () => {
    const { evacuations } = createEvacuations();
    evacuations.applyChange("south-1", true);
    expect(evacuations.isLoaded).toBe(false);
    evacuations.applySnapshot(new Set());
    expect(evacuations.isLoaded).toBe(true);
});
