import { expect, test } from "vitest";
import { RecordArchive, type RecordBatch } from "wigeonpulley";

const createRecord = (key: string, offset: number, value: string | undefined = `${key} at ${offset}`) => ({
    key,
    value: value === undefined ? undefined : Buffer.from(value),
    offset,
});

const createArchive = (): RecordArchive => {
    const archive = RecordArchive.create();
    archive.applySnapshot([createRecord("config", 2), createRecord("rollout/desk", 4)], {
        era: 1,
        offset: 5,
    });
    archive.applyChanges([createRecord("config", 5), createRecord("config", 6)], { era: 1, offset: 7 });
    return archive;
};

const describeBatch = (batch: RecordBatch | undefined): readonly string[] | undefined =>
    batch?.records.map(({ value }) => String(value));

test("a reader that has read nothing gets the newest record of each key", () => {
    const batch = createArchive().listSince(undefined);
    expect(describeBatch(batch)).toEqual(["rollout/desk at 4", "config at 6"]);
    expect(batch?.next).toEqual({ era: 1, offset: 7 });
});

test("a reader gets what came after its position", () => {
    expect(describeBatch(createArchive().listSince({ era: 1, offset: 5 }))).toEqual(["config at 6"]);
});

test.each([
    ["has read as much", { era: 1, offset: 7 }],
    ["began before the snapshot, which doesn't show what was removed", { era: 1, offset: 3 }],
    ["has the history of a store that was restored since", { era: 2, offset: 5 }],
])("a reader that %s gets nothing", (name, position) => {
    expect(createArchive().listSince(position)).toBeUndefined();
});

test("a removed key is passed on", () => {
    const archive = createArchive();
    archive.applyChanges(
        [createRecord("rollout/desk", 7, undefined)].map(record => ({ ...record, value: undefined })),
        {
            era: 1,
            offset: 8,
        },
    );
    const batch = archive.listSince({ era: 1, offset: 7 });
    expect(batch?.records).toEqual([{ key: "rollout/desk", value: undefined, offset: 7 }]);
});
