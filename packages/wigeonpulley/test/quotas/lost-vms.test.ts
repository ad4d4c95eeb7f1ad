/** Quotas when all VMs are lost and start again while the store can't serve the list of VMs. */
import { expect, test } from "vitest";
import type { Quota, Topic } from "wigeonpulley";
import { createSignedResponse } from "../fixtures/forwarding-fixture.js";
import { createEngineInstances, RoutedFleet } from "../fixtures/routed-fleet.js";

const VM_COUNT = 6;
const QUOTA: Quota = { ratePerS: 141_514, burst: 141_514, unit: "tokens", plainTokens: 200 };
/** The default bounds of the settings: no slack, and a window of 8 s. */
const WINDOW_MS = 8_000;
const REQUEST_UNITS = 700;
const STEP_MS = 10;

/**
 * Restarts all VMs while topics are down, has a workspace ask each of them for several times its quota, and returns the units
 * that were admitted within a window from then on.
 */
const sendAfterLoss = async (
    downTopics: readonly Topic[],
): Promise<{ admitted: number; allowed: number; }> => {
    const fleet = await RoutedFleet.create(
        VM_COUNT,
        createEngineInstances(4),
        () => createSignedResponse("ok"),
    );
    await fleet.timers.advance(10_000);
    downTopics.forEach(topic => fleet.store.unavailableTopics.add(topic));
    fleet.vmNames.forEach(name => fleet.restartVm(name));
    let admitted = 0;
    for (let elapsedMs = 0; elapsedMs < WINDOW_MS; elapsedMs += STEP_MS) {
        await fleet.timers.advance(STEP_MS);
        const takers = fleet.vmNames.filter(name => {
            const { vm } = fleet.getVm(name);
            return vm.isReady() && vm.quotaLimiter.tryConsume("lushoto", QUOTA, REQUEST_UNITS);
        });
        admitted += takers.length * REQUEST_UNITS;
    }
    fleet.vmNames.forEach(name => fleet.getVm(name).vm.stopTasks());
    return { admitted, allowed: QUOTA.ratePerS * WINDOW_MS / 1_000 + QUOTA.burst };
};

// Guards against QUOTA: each VM that could not read the list of VMs took itself for the only one.
test.each<{ readonly down: readonly Topic[]; }>([
    { down: ["vms"] },
    { down: ["vms", "vms-copy-1"] },
    { down: ["vms", "vms-copy-1", "vms-copy-2"] },
])("VMs that were all lost admit no more than a quota while the list is down ($down)", async ({ down }) => {
    const { admitted, allowed } = await sendAfterLoss(down);
    expect(admitted).toBeLessThanOrEqual(1.1 * allowed);
});

// Guards against RECOVER: VMs that refuse what is within a quota because one partition of the store is down.
test("VMs that were all lost serve a quota while the list is down", async () => {
    const { admitted } = await sendAfterLoss(["vms"]);
    expect(admitted).toBeGreaterThan(0.75 * QUOTA.ratePerS * WINDOW_MS / 1_000);
});
