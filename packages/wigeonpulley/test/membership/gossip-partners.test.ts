import { create } from "@bufbuild/protobuf";
import { expect, test } from "vitest";
import {
    GossipPartners,
    type MemberRecord,
    MemberStateSchema,
    SeededRandom,
    VirtualTimerService,
} from "wigeonpulley";

const createRecord = (index: number, isUnreachable = false): MemberRecord => ({
    entry: {
        name: `vm-${index}`,
        region: "south",
        dataCentre: "south-1",
        peerUrl: `http://10.0.0.${index}:1`,
        state: "live",
    },
    state: create(MemberStateSchema, { name: `vm-${index}` }),
    deadAt: undefined,
    lastContactAt: 0,
    isUnreachable,
    remainingSends: 0,
});

const createRecords = (count: number): MemberRecord[] =>
    Array.from({ length: count }, (unused, index) => createRecord(index));

const createPartners = () => {
    const timers = VirtualTimerService.create();
    const dropped: string[] = [];
    const partners = GossipPartners.create({
        timers,
        random: SeededRandom.create(1),
        onDropped: ({ name }) => dropped.push(name),
    });
    /** Picks two partners each 150 ms, as VMs do while slots are scarce; returns the names by call. */
    const pickFor = async (records: readonly MemberRecord[], durationMs: number): Promise<string[]> => {
        const names: string[] = [];
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 150) {
            names.push(...partners.pick(records, 2).map(({ name }) => name));
            await timers.advance(150);
        }
        return names;
    };
    return { partners, dropped, pickFor };
};

// Guards against SHORT: each VM kept connections to all others open, so that its own work grew with their number.
test.each([64, 400])("of %d members, few are called at a time", async memberCount => {
    const { dropped, pickFor } = createPartners();
    const called = new Set(await pickFor(createRecords(memberCount), 10_000));
    expect(called.size).toBeLessThanOrEqual(8 + 5);
    expect(called.size - dropped.length).toBeLessThanOrEqual(8);
});

test("all of a few members are called", async () => {
    const { dropped, pickFor } = createPartners();
    expect(new Set(await pickFor(createRecords(6), 10_000)).size).toBe(6);
    expect(dropped).toEqual([]);
});

test("every member is called at some time", async () => {
    const { pickFor } = createPartners();
    expect(new Set(await pickFor(createRecords(64), 1_200_000)).size).toBe(64);
});

test("a member that could not be called is tried again before others that are no partners", async () => {
    const { pickFor } = createPartners();
    const records = createRecords(64);
    await pickFor(records, 5_000);
    const failed = [...records, createRecord(99, true)];
    expect(await pickFor(failed, 4_500)).toContain("vm-99");
});

test("a partner that is no longer listed is replaced", async () => {
    const { partners, pickFor } = createPartners();
    const records = createRecords(64);
    const before = new Set(await pickFor(records, 1_900));
    const remaining = records.filter(({ state }) => !before.has(state.name));
    const after = await pickFor(remaining, 1_900);
    expect(after.every(name => !before.has(name))).toBe(true);
    expect(partners.pick(remaining, 2)).toHaveLength(2);
});
