import { expect, test, vi } from "vitest";
import { createSignedResponse } from "../fixtures/forwarding-fixture.js";
import { createEngineInstances, RoutedFleet } from "../fixtures/routed-fleet.js";

const VM_COUNT = 12;
const WORKSPACE_COUNT = 16;
const SECONDS = 4;
/** Listings of all members that a VM may make in a second for all its tasks together. */
const MAX_LISTINGS_PER_S = 10;

// Guards against SHORT: each digest listed all members several times for each workspace, which took most of a VM's time.
test("the number of listings of all members does not grow with the number of workspaces", async () => {
    const fleet = await RoutedFleet.create(
        VM_COUNT,
        createEngineInstances(4),
        () => createSignedResponse("ok"),
    );
    const { vm } = fleet.getVm("vm-1");
    const quota = { ratePerS: 1_000, burst: 1_000, unit: "requests", plainTokens: 0 } as const;
    Array.from(
        { length: WORKSPACE_COUNT },
        (unused, index) => vm.quotaLimiter.tryConsume(`workspace-${index}`, quota, 1),
    );
    const listMembers = vi.spyOn(vm.membership, "listMembers");
    await fleet.timers.advance(SECONDS * 1_000);
    expect(listMembers.mock.calls.length).toBeLessThanOrEqual(SECONDS * MAX_LISTINGS_PER_S);
    listMembers.mockRestore();
    expect(vm.membership.memberCount).toBe(vm.membership.listMembers().length);
    expect(vm.membership.memberCount).toBe(VM_COUNT);
});
