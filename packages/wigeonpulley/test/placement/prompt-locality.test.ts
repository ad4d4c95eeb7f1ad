import { expect, test } from "vitest";
import { MIXED_CLASSES, type PromptFleetLoad, simulatePromptFleet } from "../fixtures/prompt-fleet.js";

/** Fleets of two sizes with about half of their slots in use. */
const FLEETS = [
    { vms: 18, engines: 42, slots: 6, requestsPerSecond: 100 },
    { vms: 67, engines: 48, slots: 10, requestsPerSecond: 200 },
] as const;

type Fleet = (typeof FLEETS)[number];

const simulate = (fleet: Fleet, policy: PromptFleetLoad["policy"], load: Partial<PromptFleetLoad> = {}) =>
    simulatePromptFleet({
        ...fleet,
        durationMs: 60_000,
        classes: MIXED_CLASSES,
        policy,
        seed: 1,
        ...load,
    });

test.each(FLEETS)(
    "$vms VMs, each of which knows what it sent itself, read under half as many tokens again as without homes",
    async fleet => {
        const index = await simulate(fleet, "index");
        const homes = await simulate(fleet, "homes");
        const oracle = await simulate(fleet, "oracle");
        expect(index.readAgainShare).toBeGreaterThan(0.4);
        expect(homes.readAgainShare).toBeLessThan(index.readAgainShare * 0.45);
        expect(homes.readAgainSoonShare).toBeLessThan(index.readAgainSoonShare * 0.45);
        expect(oracle.readAgainShare).toBeLessThan(homes.readAgainShare);
        expect(homes.meanFirstEventMs).toBeLessThan(index.meanFirstEventMs);
        expect(homes.p95FirstEventMs).toBeLessThan(index.p95FirstEventMs);
        expect(homes.busiestOverMean).toBeLessThan(1.5);
        expect(homes.turnedAway).toBeLessThan(index.turnedAway / 2);
        expect([homes.waited, homes.refused]).toEqual([0, 0]);
    },
);

test.each(FLEETS)(
    "a block of 30% of the requests overloads no engine and makes none of them wait, with $vms VMs",
    async fleet => {
        const index = await simulate(fleet, "index", { hotShare: 0.3 });
        const homes = await simulate(fleet, "homes", { hotShare: 0.3 });
        expect(homes.readAgainShare).toBeLessThan(index.readAgainShare * 0.45);
        expect(homes.hotEngines).toBeGreaterThan(fleet.engines * 0.3);
        expect(homes.busiestOverMean).toBeLessThan(1.5);
        expect(homes.meanFirstEventMs).toBeLessThan(index.meanFirstEventMs);
        expect([homes.waited, homes.refused]).toEqual([0, 0]);
    },
);

test.each(FLEETS)(
    "with $vms VMs, homes hold while an empty engine takes the place of another every four seconds",
    async fleet => {
        const index = await simulate(fleet, "index", { replaceEveryMs: 4_000 });
        const homes = await simulate(fleet, "homes", { replaceEveryMs: 4_000 });
        expect(homes.readAgainShare).toBeLessThan(index.readAgainShare * 0.45);
        expect(homes.meanFirstEventMs).toBeLessThan(index.meanFirstEventMs);
        expect(homes.busiestOverMean).toBeLessThan(index.busiestOverMean);
        expect([homes.waited, homes.refused]).toEqual([0, 0]);
    },
);

test.each(FLEETS)("under a light load over $vms VMs, no request starts later for its home", async fleet => {
    const light = { requestsPerSecond: fleet.requestsPerSecond / 16 };
    const index = await simulate(fleet, "index", light);
    const homes = await simulate(fleet, "homes", light);
    expect([homes.waited, homes.refused, homes.turnedAway]).toEqual([0, 0, 0]);
    expect(homes.readAgainShare).toBeLessThan(index.readAgainShare);
    expect(homes.meanFirstEventMs).toBeLessThan(index.meanFirstEventMs * 1.03);
});
