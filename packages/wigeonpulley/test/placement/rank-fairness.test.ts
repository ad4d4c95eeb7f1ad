/** Loads above capacity in which a lower rank's requests hold their slots longer or shorter than a better rank's. */
import { expect, test } from "vitest";
import { RankFairness } from "wigeonpulley";
import { computeResultShare, simulatePlacementLoad } from "../fixtures/placement-load.js";

const SECONDS = 1_000;

const MIDDLE_SLOT_TIME_MS = 330;
const LOWEST_SLOT_TIME_MS = 1_000;

/** 60 slots for callers that first need about 40 of them, and 85 from `burstAtMs` on. */
const simulateBurst = (burstAtMs: number, durationMs: number, seed: number) =>
    simulatePlacementLoad({
        instances: 10,
        slots: 6,
        durationMs,
        seed,
        profiles: [0, burstAtMs].flatMap(startMs => [
            { rank: 0, requestsPerSecond: 5, targetMs: 600, slotHoldMs: 500, retries: 1, startMs },
            {
                rank: 1,
                requestsPerSecond: 30,
                targetMs: 600,
                slotHoldMs: MIDDLE_SLOT_TIME_MS,
                retries: 1,
                startMs,
            },
            {
                rank: 2,
                requestsPerSecond: 30,
                targetMs: 400,
                slotHoldMs: LOWEST_SLOT_TIME_MS,
                retries: 1,
                startMs,
            },
        ]),
    });

test.each([1, 2, 3])(
    "long requests of the lowest rank yield to a better rank in a burst (seed %i)",
    async seed => {
        const results = await simulateBurst(10 * SECONDS, 20 * SECONDS, seed);
        expect(computeResultShare(results, 1, "on-time")).toBeGreaterThan(0.9);
        expect(computeResultShare(results, 2, "refused")).toBeLessThan(0.5);
    },
);

test.each([1, 2, 3])(
    "under lasting overload two fifths of the long requests are served (seed %i)",
    async seed => {
        const results = await simulateBurst(0, 60 * SECONDS, seed);
        expect(computeResultShare(results, 2, "refused")).toBeLessThan(0.6);
        expect(computeResultShare(results, 1, "refused")).toBeLessThan(
            computeResultShare(results, 2, "refused"),
        );
    },
);

test("a rank of long requests is moved ahead only when too few of it were served over a longer time", () => {
    const fairness = RankFairness.create();
    fairness.recordSlotTime(1, 300);
    fairness.recordSlotTime(2, 900);
    const recordSecond = (second: number, servedOfLowest: number): void => {
        for (let count = 0; count < 10; count += 1) {
            fairness.recordOutcome(0, true, second * SECONDS);
            fairness.recordOutcome(1, true, second * SECONDS);
            fairness.recordOutcome(2, count < servedOfLowest, second * SECONDS);
        }
    };
    for (let second = 0; second < 20; second += 1) {
        recordSecond(second, 10);
    }
    for (let second = 20; second < 25; second += 1) {
        recordSecond(second, 0);
    }
    expect(fairness.computeEffectiveRank(2, 25 * SECONDS)).toBe(2);
    for (let second = 25; second < 40; second += 1) {
        recordSecond(second, 0);
    }
    expect(fairness.computeEffectiveRank(2, 40 * SECONDS)).toBeLessThan(1);
});
