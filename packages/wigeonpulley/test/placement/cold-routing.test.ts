/** Whole VMs that read the configuration, the instances' records and the list of VMs from a store, with a cold instance. */
import { expect, test } from "vitest";
import { COLD_ALLOWED, COLD_PER_S, COLD_START_MS } from "../fixtures/cold-fleet.js";
import { createPlainInstances, RoutedFleet } from "../fixtures/routed-fleet.js";

const VM_COUNT = 6;
const STEP_MS = 20;
const WINDOW_MS = 1_000;
const WORK_MS = 50;
const [COLD] = createPlainInstances(1).map(instance => ({
    ...instance,
    bornMs: 1_000_000,
    sequence: 1,
    slots: 100,
}));

if (COLD === undefined) {
    throw new RangeError("there is an instance");
}

const createFleet = async (coldPerS: number) => {
    const sentAt: number[] = [];
    const fleet: RoutedFleet = await RoutedFleet.create(VM_COUNT, [], () => {
        sentAt.push(fleet.timers.now());
        return [{ kind: "head", headers: { "x-signed": "1" }, afterMs: WORK_MS }, { kind: "end" }];
    });
    fleet.publish(2, { coldStartMs: COLD_START_MS, coldPerS });
    await fleet.timers.advance(5_000);
    fleet.register(COLD);
    let sent = 0;
    /** Sends 50 requests a second, in turn to all VMs. */
    const load = async (durationMs: number): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            sent += 1;
            const vm = fleet.vmNames[sent % VM_COUNT] ?? "";
            fleet.sendPlain(vm, { path: `/stock/${sent}` }).summary.catch(() => undefined);
            await fleet.timers.advance(STEP_MS);
        }
    };
    const countBusiest = (): number =>
        Math.max(
            0,
            ...sentAt.map(start => sentAt.filter(at => at >= start && at < start + WINDOW_MS).length),
        );
    return { fleet, sentAt, load, countBusiest };
};

// Guards against parts that aren't wired: the configuration, the list of VMs, the directory and placement.
test("whole VMs keep the limit of a cold instance and use it, while two are cut off and two restart", async () => {
    const { fleet, sentAt, load, countBusiest } = await createFleet(COLD_PER_S);
    await load(4_000);
    fleet.getVm("vm-1").isCutFromPeers = true;
    fleet.getVm("vm-2").isCutFromPeers = true;
    await load(3_000);
    fleet.restartVm("vm-2");
    fleet.restartVm("vm-3");
    await load(7_000);
    expect(countBusiest()).toBeLessThanOrEqual(COLD_ALLOWED);
    expect(sentAt.length).toBeGreaterThan(0.5 * COLD_PER_S * 14);
    const status = JSON.stringify(fleet.getVm("vm-4").vm.getStatus());
    expect(status).toContain('"cold":{"remainingMs":');
    await load(10_000);
    expect(countBusiest()).toBeGreaterThan(2 * COLD_ALLOWED);
});

test("without a rate for cold instances, the same load reaches a new instance at once", async () => {
    const { load, countBusiest } = await createFleet(0);
    await load(4_000);
    expect(countBusiest()).toBeGreaterThan(2 * COLD_ALLOWED);
});
