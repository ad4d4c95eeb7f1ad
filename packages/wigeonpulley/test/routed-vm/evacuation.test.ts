import { expect, test } from "vitest";
import { createSignedHead } from "../fixtures/forwarding-fixture.js";
import { createPlainInstances, RoutedFleet } from "../fixtures/routed-fleet.js";

/** Bound within which an evacuation takes effect, as in the settings' default. */
const EVACUATE_MS = 5_000;
const EVACUATED = "south-1";
/** The instances with odd numbers are in the VMs' own data centre, which is evacuated; the others are not. */
const INSTANCES = createPlainInstances(4).map((instance, index) => ({
    ...instance,
    dataCentre: index % 2 === 0 ? EVACUATED : "south-2",
}));
const EVACUATED_IDS = new Set(
    INSTANCES.filter(({ dataCentre }) => dataCentre === EVACUATED).map(({ id }) => id),
);

const REQUESTS = 20;

const startFleet = async (vmCount = 3) => {
    const received: { readonly id: string; readonly vm: string; }[] = [];
    const fleet = await RoutedFleet.create(vmCount, INSTANCES, ({ id }, request, vm) => {
        received.push({ id, vm });
        const attempt = request.headers[request.headers.indexOf("X-Id") + 1] ?? "";
        return [
            {
                ...createSignedHead(5),
                headers: { "x-id": attempt, "x-signed": "1" },
            } as ReturnType<typeof createSignedHead>,
            { kind: "chunk", text: "served" },
            { kind: "end" },
        ];
    });
    /** Sends more requests at once than the other instances have slots; returns how many evacuated instances received. */
    const countEvacuated = async (name: string): Promise<number> => {
        received.length = 0;
        for (let count = 0; count < REQUESTS; count += 1) {
            fleet.sendPlain(name, { path: `/stock/${count}` });
        }
        await fleet.timers.advance(300);
        expect(received).toHaveLength(REQUESTS);
        return received.filter(({ id }) => EVACUATED_IDS.has(id)).length;
    };
    return { fleet, received, countEvacuated };
};

test("within the bound no VM sends requests to an evacuated data centre, until the record is removed", async () => {
    const { fleet, countEvacuated } = await startFleet();
    expect(await countEvacuated("vm-1")).toBeGreaterThan(0);
    fleet.evacuate(EVACUATED);
    await fleet.timers.advance(EVACUATE_MS);
    for (const name of fleet.vmNames) {
        expect(await countEvacuated(name)).toBe(0);
        expect(fleet.getVm(name).vm.getStatus()).toMatchObject({ evacuatedDataCentres: [EVACUATED] });
    }
    fleet.evacuate(EVACUATED, false);
    await fleet.timers.advance(EVACUATE_MS);
    for (const name of fleet.vmNames) {
        expect(await countEvacuated(name)).toBeGreaterThan(0);
        expect(fleet.getVm(name).vm.getStatus()).toMatchObject({ evacuatedDataCentres: [] });
    }
});

// Guards against an outage that ends an evacuation, and against a removal that is missed during it.
test("while the store is unreachable the last known state stays in force", async () => {
    const { fleet, countEvacuated } = await startFleet();
    fleet.evacuate(EVACUATED);
    await fleet.timers.advance(EVACUATE_MS);
    fleet.isStoreDown = true;
    fleet.evacuate(EVACUATED, false);
    await fleet.timers.advance(20_000);
    expect(await countEvacuated("vm-1")).toBe(0);
    fleet.isStoreDown = false;
    await fleet.timers.advance(EVACUATE_MS);
    expect(await countEvacuated("vm-1")).toBeGreaterThan(0);
});

// Guards against a removal that is only known by the record's absence, after the store has trimmed its history.
test("the absence of the record from a snapshot ends the evacuation", async () => {
    const { fleet, countEvacuated } = await startFleet();
    fleet.evacuate(EVACUATED);
    await fleet.timers.advance(EVACUATE_MS);
    const ended: string[] = [];
    fleet.getVm("vm-1").vm.evacuations.subscribe((name, isEvacuated) => ended.push(`${name} ${isEvacuated}`));
    fleet.isStoreDown = true;
    await fleet.timers.advance(EVACUATE_MS);
    fleet.evacuate(EVACUATED, false);
    fleet.store.trimHistory("operator");
    fleet.isStoreDown = false;
    await fleet.timers.advance(EVACUATE_MS);
    expect(await countEvacuated("vm-1")).toBeGreaterThan(0);
    expect(ended).toEqual([`${EVACUATED} false`]);
});

test("a store restored from a copy without the record ends the evacuation", async () => {
    const { fleet, countEvacuated } = await startFleet();
    fleet.store.copy();
    fleet.evacuate(EVACUATED);
    await fleet.timers.advance(EVACUATE_MS);
    expect(await countEvacuated("vm-1")).toBe(0);
    fleet.store.restore();
    await fleet.timers.advance(EVACUATE_MS);
    expect(await countEvacuated("vm-1")).toBeGreaterThan(0);
});

// Guards against a VM that serves before it knows of evacuations.
test("a VM that restarts is not ready before it knows of the evacuation", async () => {
    const { fleet, countEvacuated } = await startFleet();
    fleet.evacuate(EVACUATED);
    await fleet.timers.advance(EVACUATE_MS);
    fleet.getVm("vm-1").isCutFromStore = true;
    fleet.getVm("vm-1").isGivenNoRecords = true;
    fleet.restartVm("vm-1");
    await fleet.timers.advance(EVACUATE_MS);
    expect(fleet.getVm("vm-1").vm.isReady()).toBe(false);
    fleet.getVm("vm-1").isCutFromStore = false;
    await fleet.timers.advance(EVACUATE_MS);
    expect(fleet.getVm("vm-1").vm.isReady()).toBe(true);
    expect(await countEvacuated("vm-1")).toBe(0);
});

// Guards against records from other VMs, which bear tombstones, that end or start no evacuation.
test.each([true, false])(
    "a VM without the store learns from another VM whether the data centre is evacuated: %s",
    async isRequested => {
        const { fleet, countEvacuated } = await startFleet();
        fleet.evacuate(EVACUATED, !isRequested);
        await fleet.timers.advance(EVACUATE_MS);
        fleet.getVm("vm-1").isCutFromStore = true;
        fleet.evacuate(EVACUATED, isRequested);
        // VMs ask each other for records once another one has a newer version of the configuration.
        fleet.publish(2);
        await fleet.timers.advance(2 * EVACUATE_MS);
        expect(fleet.getVm("vm-1").vm.evacuations.list()).toEqual(isRequested ? [EVACUATED] : []);
        expect((await countEvacuated("vm-1")) === 0).toBe(isRequested);
    },
);

test("a VM that is cut off from the store keeps sending, and stops within the bound once it is back", async () => {
    const { fleet, countEvacuated } = await startFleet();
    fleet.getVm("vm-1").isCutFromStore = true;
    fleet.evacuate(EVACUATED);
    await fleet.timers.advance(EVACUATE_MS);
    expect(await countEvacuated("vm-2")).toBe(0);
    expect(await countEvacuated("vm-1")).toBeGreaterThan(0);
    fleet.getVm("vm-1").isCutFromStore = false;
    await fleet.timers.advance(EVACUATE_MS);
    expect(await countEvacuated("vm-1")).toBe(0);
});

// Guards against a burst to instances that became cold just before their evacuation ended.
test("instances whose evacuation ends count as cold", async () => {
    const { fleet } = await startFleet();
    fleet.publish(2, { coldStartMs: 3_000, coldPerS: 11 });
    fleet.evacuate(EVACUATED);
    await fleet.timers.advance(EVACUATE_MS);
    fleet.evacuate(EVACUATED, false);
    await fleet.timers.advance(1_500);
    const cold = fleet.vmNames.map(name => {
        const { instances } = fleet.getVm(name).vm.getStatus() as {
            readonly instances: readonly { readonly id: string; readonly cold?: unknown; }[];
        };
        return instances.filter(instance => instance.cold !== undefined).map(({ id }) => id);
    });
    expect(cold).toEqual(fleet.vmNames.map(() => [...EVACUATED_IDS]));
});
