/** Copies of the list of instances that VMs take from those that read the store. */
import { expect, test } from "vitest";
import { findStoreReader, type Instance, type VmListEntry } from "wigeonpulley";
import { createSignedResponse } from "../fixtures/forwarding-fixture.js";
import { createEngineInstances, ENGINE_SERVICE, RoutedFleet } from "../fixtures/routed-fleet.js";

const VM_COUNT = 24;
/** Time within which a leaving instance gets no more requests, by the default settings, in milliseconds. */
const DRAIN_MS = 2_500;
/** Interval at which instances write their entries, in milliseconds. */
const HEARTBEAT_MS = 1_200;
const INSTANCES = createEngineInstances(6);

const createFleet = (vmCount = VM_COUNT): Promise<RoutedFleet> =>
    RoutedFleet.create(vmCount, INSTANCES, () => createSignedResponse("ok"));

/** Lets instances write their entries again, with the next sequence number, as long as the time advances. */
const advanceWithHeartbeats = async (
    fleet: RoutedFleet,
    durationMs: number,
    instances: readonly Instance[] = INSTANCES,
): Promise<void> => {
    const endAt = fleet.timers.now() + durationMs;
    for (let sequence = 1; fleet.timers.now() < endAt; sequence += 1) {
        instances.forEach(instance => fleet.register({ ...instance, sequence }));
        await fleet.timers.advance(Math.min(HEARTBEAT_MS, endAt - fleet.timers.now()));
    }
};

const listKnown = (fleet: RoutedFleet, id: string): readonly string[] =>
    fleet.vmNames.filter(name => fleet.getVm(name).vm.directory.list().some(instance => instance.id === id));

const countReads = (fleet: RoutedFleet): number =>
    (fleet.store.readCounts.get("instances") ?? 0) + (fleet.store.readCounts.get("operator") ?? 0);

// Guards against the cost that each VM had: two reads of the store a second, whatever the number of VMs.
test("among many VMs each reads the store seldom, though instances write their entries all the time", async () => {
    const fleet = await createFleet();
    const before = countReads(fleet);
    await advanceWithHeartbeats(fleet, 30_000);
    const readsPerVmAndS = (countReads(fleet) - before) / VM_COUNT / 30;
    expect(readsPerVmAndS).toBeLessThan(0.7);
});

// Guards against DRAIN: a VM that reads nothing itself must know of a leaving instance in time.
test("every VM knows in time that an instance has left, though it hears of it from another VM", async () => {
    const fleet = await createFleet();
    await advanceWithHeartbeats(fleet, 10_000);
    const [left, ...others] = INSTANCES;
    fleet.unregister(left as Instance);
    await advanceWithHeartbeats(fleet, DRAIN_MS, others);
    expect(listKnown(fleet, left?.id ?? "")).toEqual([]);
});

test("VMs whose reader is cut off from the store read for themselves", async () => {
    const fleet = await createFleet();
    await advanceWithHeartbeats(fleet, 10_000);
    const readers = fleet.vmNames.filter(name =>
        fleet.getVm(name).vm.membership.storeReadingRole === "reader"
    );
    expect(readers).toHaveLength(2);
    readers.forEach(name => {
        fleet.getVm(name).isCutFromStore = true;
    });
    const [left, ...others] = INSTANCES;
    fleet.unregister(left as Instance);
    await advanceWithHeartbeats(fleet, DRAIN_MS, others);
    expect(listKnown(fleet, left?.id ?? "").filter(name => !readers.includes(name))).toEqual([]);
});

test("VMs whose reader reaches neither store nor VMs read for themselves", async () => {
    const fleet = await createFleet();
    await advanceWithHeartbeats(fleet, 10_000);
    const readers = fleet.vmNames.filter(name =>
        fleet.getVm(name).vm.membership.storeReadingRole === "reader"
    );
    readers.forEach(name => {
        fleet.getVm(name).isCutFromStore = true;
        fleet.getVm(name).isCutFromPeers = true;
    });
    const [left, ...others] = INSTANCES;
    fleet.unregister(left as Instance);
    await advanceWithHeartbeats(fleet, DRAIN_MS, others);
    expect(listKnown(fleet, left?.id ?? "").filter(name => !readers.includes(name))).toEqual([]);
});

test("a VM that the store turns away knows a leaving instance from the others", async () => {
    const fleet = await createFleet();
    await advanceWithHeartbeats(fleet, 10_000);
    const cut = fleet.vmNames.filter(name => fleet.getVm(name).vm.membership.storeReadingRole === "follower")
        .slice(0, 5);
    cut.forEach(name => {
        fleet.getVm(name).isCutFromStore = true;
    });
    await advanceWithHeartbeats(fleet, 5_000);
    const [left, ...others] = INSTANCES;
    fleet.unregister(left as Instance);
    await advanceWithHeartbeats(fleet, DRAIN_MS, others);
    expect(listKnown(fleet, left?.id ?? "")).toEqual([]);
});

test("a restored store, whose offsets mean other records, gives no VM a wrong list", async () => {
    const fleet = await createFleet();
    fleet.store.copy();
    await advanceWithHeartbeats(fleet, 5_000);
    fleet.store.restore();
    const [left, ...others] = INSTANCES;
    fleet.unregister(left as Instance);
    await advanceWithHeartbeats(fleet, 8_000, others);
    expect(listKnown(fleet, left?.id ?? "")).toEqual([]);
    expect(listKnown(fleet, others[0]?.id ?? "")).toHaveLength(VM_COUNT);
});

const createEntry = (index: number): VmListEntry => ({
    name: `vm-${index}`,
    region: "south",
    dataCentre: "south-1",
    peerUrl: `http://10.0.0.${index}:1`,
    state: "live",
});

test("few VMs are readers, all VMs agree on them, and small regions have none", () => {
    const entries = Array.from({ length: 29 }, (unused, index) => createEntry(index));
    const readers = entries.map(entry => findStoreReader(entry, entries)?.name);
    expect(new Set(readers).size).toBe(3);
    expect(entries.filter(entry => findStoreReader(entry, entries)?.name === entry.name)).toHaveLength(3);
    const few = entries.slice(0, 7);
    expect(few.map(entry => findStoreReader(entry, few))).toEqual(few.map(() => undefined));
});

// Guards against orders that a VM misses for the whole of a poll whose connection has gone silent.
test("a VM whose poll of the operators' records hangs reads a new record when another VM has read it", async () => {
    const fleet = await createFleet();
    await fleet.timers.advance(2_000);
    const name = fleet.vmNames.find(vm => fleet.getVm(vm).vm.membership.storeReadingRole === "follower")
        ?? "";
    fleet.getVm(name).isPollSilent = true;
    fleet.order({ service: ENGINE_SERVICE, version: "2", durationMs: 60_000 });
    await fleet.timers.advance(2_500);
    const readers = fleet.log.events.filter(event =>
        event.name === "OperatorRecordRead" && JSON.stringify(event).includes("rollout/")
    );
    expect(readers).toHaveLength(VM_COUNT);
});
