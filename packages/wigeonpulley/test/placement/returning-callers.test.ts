import { expect, test } from "vitest";
import { computeResultShare, type PlacementLoad, simulatePlacementLoad } from "../fixtures/placement-load.js";

/** Twice the load that the slots can serve; a refused caller retries once, after the delay that it is told. */
const LOAD: PlacementLoad = {
    instances: 2,
    slots: 6,
    profiles: [{ rank: 1, requestsPerSecond: 24, targetMs: 800, slotHoldMs: 1_000, retries: 1 }],
    durationMs: 30_000,
    seed: 5,
};

test("callers that can still be served on time go before retries that are already late", async () => {
    const [known, unknown] = await Promise.all([
        simulatePlacementLoad(LOAD),
        simulatePlacementLoad({ ...LOAD, isRetryRecognised: false }),
    ]);
    const gained = computeResultShare(known, 1, "on-time") - computeResultShare(unknown, 1, "on-time");
    expect(gained).toBeGreaterThan(0.08);
});

test("late retries are served once the load is over", async () => {
    const results = await simulatePlacementLoad({ ...LOAD, durationMs: 5_000 });
    expect(computeResultShare(results, 1, "late")).toBeGreaterThan(0.2);
});

test("with a load within the slots no caller waits", async () => {
    const results = await simulatePlacementLoad({
        ...LOAD,
        profiles: LOAD.profiles.map(profile => ({ ...profile, requestsPerSecond: 6 })),
    });
    expect(computeResultShare(results, 1, "on-time")).toBeGreaterThan(0.99);
});
