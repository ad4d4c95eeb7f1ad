/** A store that is restored from a copy: later records are lost until their writers write them again. */
import { expect, test } from "vitest";
import { type Instance, QUARANTINE_MS } from "wigeonpulley";
import { createEngineInstances, ENGINE_SERVICE, RoutedFleet } from "../fixtures/routed-fleet.js";

const VM_COUNT = 3;
/** Age of the configuration above which no key is admitted: nine tenths of the bound on revoked keys. */
const MAX_AGE_FOR_KEYS_MS = 4_500;
/** Time for which the store is unavailable before the restore. */
const UNAVAILABLE_MS = 500;
/** Time within which VMs have read the restored topics. */
const READ_MS = 2_000;
/** Time within which live instances register again, as the platform promises it. */
const REGISTRATION_MS = 2_000;
const ENGINES = createEngineInstances(3);

const createFleet = (): Promise<RoutedFleet> => RoutedFleet.create(VM_COUNT, ENGINES, () => []);

const restore = async (fleet: RoutedFleet): Promise<void> => {
    fleet.isStoreDown = true;
    await fleet.timers.advance(UNAVAILABLE_MS);
    fleet.store.restore();
    fleet.isStoreDown = false;
};

/** Registers an incarnation of an instance with the number of its registration. */
const register = (
    fleet: RoutedFleet,
    instance: Instance,
    sequence: number,
    fields: Partial<Instance> = {},
): void => fleet.store.write("instances", instance.id, JSON.stringify({ ...instance, ...fields, sequence }));

const listStates = (fleet: RoutedFleet, vm = "vm-1"): readonly string[] =>
    fleet.getVm(vm).vm.directory.list().map(({ id, state }) => `${id} ${state}`);

const readValue = async (fleet: RoutedFleet, topic: "status" | "vms" | "quarantine", key: string) => {
    const batch = (await fleet.store.readSnapshot(topic)).unwrap();
    return batch.records.find(record => record.key === key)?.value?.toString();
};

// CONFIG: a VM that had missed a change took the copy, which lacks it, for the newest configuration.
test.each([false, true])(
    "a VM that missed a lost change does not admit keys by the copy (cut off from the others too: %s)",
    async isCutFromPeers => {
        const fleet = await createFleet();
        const { timers, store } = fleet;
        const late = fleet.getVm("vm-1");
        store.copy();
        late.isCutFromStore = true;
        late.isCutFromPeers = isCutFromPeers;
        late.isGivenNoRecords = true;
        fleet.publish(2);
        await timers.advance(MAX_AGE_FOR_KEYS_MS + 500);
        late.isCutFromStore = false;
        late.isCutFromPeers = false;
        await restore(fleet);
        let youngestMs = Number.POSITIVE_INFINITY;
        for (let elapsedMs = 0; elapsedMs < READ_MS; elapsedMs += 100) {
            await timers.advance(100);
            youngestMs = Math.min(youngestMs, late.vm.activeConfiguration.getAgeMs());
        }
        expect(youngestMs).toBeGreaterThan(MAX_AGE_FOR_KEYS_MS);
        fleet.publish(2);
        await timers.advance(READ_MS);
        expect(late.vm.activeConfiguration.routeTable?.configuration.version).toBe(2);
        expect(late.vm.activeConfiguration.getAgeMs()).toBeLessThan(READ_MS);
    },
);

// CONFIG: a change that the store has lost goes on to a VM that missed it; the version of the copy must admit no keys.
test("a VM that got a lost change from another one never admits keys by the copy", async () => {
    const fleet = await createFleet();
    const { timers, store } = fleet;
    const late = fleet.getVm("vm-1");
    const { activeConfiguration } = late.vm;
    store.copy();
    late.isCutFromStore = true;
    fleet.publish(2);
    await timers.advance(MAX_AGE_FOR_KEYS_MS + 500);
    expect(activeConfiguration.routeTable?.configuration.version).toBe(2);
    late.isCutFromStore = false;
    await restore(fleet);
    for (let elapsedMs = 0; elapsedMs < READ_MS; elapsedMs += 100) {
        await timers.advance(100);
        expect(activeConfiguration.routeTable?.configuration.version).toBe(2);
    }
});

// CONFIG: a VM that starts just after the restore has nothing to compare the copy with.
test("a VM that starts before the operators have written again does not admit keys by the copy", async () => {
    const fleet = await createFleet();
    const { timers, store } = fleet;
    store.copy();
    fleet.publish(2);
    await timers.advance(READ_MS);
    await restore(fleet);
    fleet.restartVm("vm-1");
    const { activeConfiguration } = fleet.getVm("vm-1").vm;
    for (let elapsedMs = 0; elapsedMs < READ_MS; elapsedMs += 100) {
        await timers.advance(100);
        expect(activeConfiguration.getAgeMs()).toBeGreaterThan(MAX_AGE_FOR_KEYS_MS);
    }
    fleet.publish(2);
    await timers.advance(READ_MS);
    expect(activeConfiguration.getAgeMs()).toBeLessThan(READ_MS);
});

// CONFIG: a VM that lost its way to the store read on at an offset that had been given out again.
test("a VM that is cut off while the store is restored gets the changes that were written meanwhile", async () => {
    const fleet = await createFleet();
    const { timers, store } = fleet;
    const late = fleet.getVm("vm-1");
    store.copy();
    fleet.publish(2);
    fleet.publish(3);
    await timers.advance(READ_MS);
    late.isCutFromStore = true;
    await timers.advance(UNAVAILABLE_MS);
    store.restore();
    fleet.publish(3);
    fleet.publish(4);
    await timers.advance(READ_MS);
    late.isCutFromStore = false;
    await timers.advance(READ_MS);
    expect(late.vm.activeConfiguration.routeTable?.configuration.version).toBe(4);
});

test("a configuration stays in force while the copy has an older one, and is taken once when it is written again", async () => {
    const fleet = await createFleet();
    fleet.store.copy();
    fleet.publish(2);
    await fleet.timers.advance(READ_MS);
    await restore(fleet);
    await fleet.timers.advance(READ_MS);
    fleet.publish(2);
    await fleet.timers.advance(READ_MS);
    const versions = fleet.vmNames.map(name =>
        fleet.getVm(name).vm.activeConfiguration.routeTable?.configuration.version
    );
    expect(versions).toEqual([2, 2, 2]);
    const changes = fleet.log.events.filter(({ name }) => name === "RoutingInForce");
    expect(changes).toHaveLength(2 * VM_COUNT);
});

// EXPOSURE: the order before the newest one came back with the copy and let the new version take all requests.
test("an order of the copy does not replace the newer one that was lost", async () => {
    const fleet = await createFleet();
    const { timers } = fleet;
    const canary = { ...ENGINES[0], id: "i-v3", port: 9, version: "v3" } as Instance;
    fleet.order({ service: ENGINE_SERVICE, version: "v2", durationMs: 1_000 });
    await timers.advance(READ_MS);
    fleet.store.copy();
    fleet.order({ service: ENGINE_SERVICE, version: "v3", durationMs: 60_000 });
    fleet.register(canary);
    await timers.advance(READ_MS);
    await restore(fleet);
    fleet.register(canary);
    await timers.advance(2 * READ_MS);
    for (const name of fleet.vmNames) {
        const { rollouts } = fleet.getVm(name).vm;
        expect(rollouts.canUse(canary, false)).toBe(false);
        expect(rollouts.isCanaryVersion(canary)).toBe(true);
    }
});

// Duty: only the VMs write the state of a rollout.
test("the state of a rollout is written again", async () => {
    const fleet = await createFleet();
    const { timers } = fleet;
    fleet.store.copy();
    fleet.order({ service: ENGINE_SERVICE, version: "v2", durationMs: 1_000 });
    fleet.register({ ...ENGINES[0], id: "i-v2", port: 9, version: "v2" } as Instance);
    await timers.advance(4_000);
    const state = await readValue(fleet, "status", ENGINE_SERVICE);
    expect(state).toMatch(/completed|rolled-back/);
    await restore(fleet);
    await timers.advance(4_000);
    expect(await readValue(fleet, "status", ENGINE_SERVICE)).toBe(state);
});

// DRAIN: the copy lists an instance as ready that had announced its leaving, or had left.
test("an instance that drains or has left stays so while the copy lists it as ready", async () => {
    const fleet = await createFleet();
    const { timers, store } = fleet;
    const [first, second, third] = ENGINES.map((engine, index) => ({ ...engine, bornMs: 1_000 + index }));
    if (first === undefined || second === undefined || third === undefined) {
        throw new RangeError("there are three engines");
    }
    [first, second, third].forEach(instance => register(fleet, instance, 1));
    await timers.advance(READ_MS);
    store.copy();
    register(fleet, first, 5, { state: "draining" });
    store.write("instances", second.id, undefined);
    await timers.advance(READ_MS);
    expect(listStates(fleet)).toEqual(["i-1 draining", "i-3 ready"]);
    await restore(fleet);
    await timers.advance(READ_MS);
    expect(listStates(fleet)).toEqual(["i-1 draining", "i-3 ready"]);
    register(fleet, second, 9);
    await timers.advance(READ_MS);
    expect(listStates(fleet)).toEqual(["i-1 draining", "i-3 ready", "i-2 ready"]);
});

// LOST: instances that registered after the copy was made were removed before they could register again.
test("instances that the copy lacks are kept until they had time to register again", async () => {
    const fleet = await createFleet();
    const { timers, store } = fleet;
    const added = { ...ENGINES[0], id: "i-9", port: 9 } as Instance;
    store.copy();
    fleet.register(added);
    await timers.advance(READ_MS);
    expect(listStates(fleet)).toContain("i-9 ready");
    store.restore();
    await timers.advance(REGISTRATION_MS);
    fleet.register(added);
    await timers.advance(READ_MS);
    expect(fleet.log.events.filter(({ name }) => name === "InstanceGone")).toEqual([]);
});

// BUDGET: the record of a quarantine went with the history, and with it what a VM learns that starts later.
test("a quarantine is written again, and one that was ended does not come back", async () => {
    const fleet = await createFleet();
    const { timers, store } = fleet;
    const { quarantine } = fleet.getVm("vm-1").vm;
    ENGINES.forEach(engine => quarantine.recordLoss(["ended"], engine));
    await timers.advance(4_000);
    expect(await readValue(fleet, "quarantine", "ended")).toBeDefined();
    store.copy();
    quarantine.recordAnswer(["ended"]);
    ENGINES.forEach(engine => quarantine.recordLoss(["lasting"], engine));
    await timers.advance(4_000);
    expect(await readValue(fleet, "quarantine", "ended")).toBeUndefined();
    expect(await readValue(fleet, "quarantine", "lasting")).toBeDefined();
    await restore(fleet);
    await timers.advance(4_000);
    expect(await readValue(fleet, "quarantine", "ended")).toBeUndefined();
    expect(await readValue(fleet, "quarantine", "lasting")).toBeDefined();
    for (const name of fleet.vmNames) {
        const quarantined = fleet.getVm(name).vm.quarantine.listQuarantined();
        expect(quarantined.map(({ trait }) => trait)).toEqual(["lasting"]);
        expect(quarantined[0]?.remainingMs).toBeLessThan(QUARANTINE_MS);
    }
});

// Only the VM itself registers it, and VMs that start later would not learn of it.
test("a VM whose registration was lost registers again", async () => {
    const fleet = await createFleet();
    fleet.store.write("vms", "vm-1", undefined);
    fleet.store.copy();
    fleet.restartVm("vm-1");
    await fleet.timers.advance(READ_MS);
    expect(await readValue(fleet, "vms", "vm-1")).toBeDefined();
    await restore(fleet);
    await fleet.timers.advance(10_000);
    expect(await readValue(fleet, "vms", "vm-1")).toBeDefined();
});
