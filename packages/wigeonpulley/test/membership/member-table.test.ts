/** Suspicions of members: raised, denied, made final, and ignored when they are outdated. */
import { create } from "@bufbuild/protobuf";
import { expect, test } from "vitest";
import { type MemberState, MemberStateSchema, MemberTable, type VmListEntry } from "wigeonpulley";

const SUSPICION_MS = 2_000;

const createEntry = (changes: Partial<VmListEntry> = {}): VmListEntry => ({
    name: "vm-2",
    region: "south",
    dataCentre: "south-1",
    peerUrl: "http://127.0.0.1:1",
    state: "live",
    ...changes,
});

const createState = (changes: Partial<Omit<MemberState, "$typeName" | "$unknown">>): MemberState =>
    create(MemberStateSchema, { name: "vm-2", incarnation: 1n, ...changes });

const createTable = (): MemberTable => {
    const table = MemberTable.create(SUSPICION_MS);
    table.applyList([createEntry()], 0);
    table.merge(createState({ revision: 1 }), 0);
    return table;
};

const isLive = (table: MemberTable, now: number): boolean => {
    const record = table.find("vm-2");
    return record !== undefined && table.isLive(record, now);
};

test("a VM considers a member that it can't reach dead until it hears from it", () => {
    const table = createTable();
    table.suspect(createEntry(), 10, 20);
    expect(isLive(table, 20)).toBe(false);
    table.recordContact("vm-2", 30);
    expect(isLive(table, 30)).toBe(true);
});

test("a suspicion by other members becomes final unless it is denied in time", () => {
    const table = createTable();
    table.merge(createState({ revision: 1, suspected: true }), 0);
    expect(isLive(table, SUSPICION_MS - 1)).toBe(true);
    expect(isLive(table, SUSPICION_MS)).toBe(false);
    table.merge(createState({ revision: 2 }), SUSPICION_MS);
    expect(isLive(table, SUSPICION_MS)).toBe(true);
    table.merge(createState({ revision: 1, suspected: true }), SUSPICION_MS);
    expect(isLive(table, 2 * SUSPICION_MS)).toBe(true);
});

test("a failed call has no effect on a member from which a message was received since the call started", () => {
    const table = createTable();
    table.recordContact("vm-2", 15);
    table.suspect(createEntry(), 10, 20);
    expect(isLive(table, 20)).toBe(true);
});

test("a failed call to the address of a predecessor has no effect on its replacement", () => {
    const table = createTable();
    table.merge(createState({ incarnation: 2n, peerUrl: "http://127.0.0.1:2" }), 5);
    table.suspect(createEntry(), 10, 20);
    expect(isLive(table, 20)).toBe(true);
});

test("each change is sent a bounded number of times, the least often sent first", () => {
    const table = createTable();
    const sentCounts: number[] = [];
    for (let changes = table.consumeChanges(24); changes.length > 0; changes = table.consumeChanges(24)) {
        sentCounts.push(changes.length);
    }
    expect(sentCounts.length).toBeGreaterThan(0);
    expect(sentCounts.length).toBeLessThan(10);
});
