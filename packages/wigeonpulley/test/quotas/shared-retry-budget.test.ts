import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import { SharedRetryBudget, VirtualTimerService } from "wigeonpulley";
import { readPropertyParameters } from "../fixtures/properties.js";

const LIMITS = { ratio: 0.2, extra: 52, windowMs: 10_000 };
const STEP_MS = 100;
const MOST_VMS = 7;

/** One stretch of a drawn history. */
interface Stretch {
    /** Requests at each VM in a step, and how many of them have to be repeated. */
    readonly requests: readonly number[];
    readonly failing: number;
    readonly steps: number;
}

const stretch: fc.Arbitrary<Stretch> = fc.record({
    requests: fc.array(fc.integer({ min: 0, max: 6 }), { minLength: MOST_VMS, maxLength: MOST_VMS }),
    failing: fc.constantFrom(0, 0.05, 0.3, 1),
    steps: fc.integer({ min: 5, max: 80 }),
});

interface Step {
    requests: number;
    repeats: number;
}

/** Plays a history over several VMs that know how many they are, and returns what all of them did in each step. */
const playHistory = (history: readonly Stretch[], vms: number, countedVms: number): readonly Step[] => {
    let now = 0;
    const timers = VirtualTimerService.create();
    Object.assign(timers, { now: () => now });
    const budgets = Array.from(
        { length: vms },
        () => SharedRetryBudget.create({ timers, getLimits: () => LIMITS, countVms: () => countedVms }),
    );
    return history.flatMap(({ requests, failing, steps }) =>
        Array.from({ length: steps }, () => {
            now += STEP_MS;
            const step: Step = { requests: 0, repeats: 0 };
            budgets.forEach((budget, index) => {
                for (let request = 0; request < (requests[index] ?? 0); request += 1) {
                    budget.recordRequest("stock");
                    step.requests += 1;
                    const isFailing = request < (requests[index] ?? 0) * failing;
                    step.repeats += isFailing && budget.tryRetry("stock") ? 1 : 0;
                }
            });
            return step;
        })
    );
};

/** The largest excess over the users' rule in any window: repeats - (ratio x requests + extra). */
const findWorstExcess = (steps: readonly Step[]): number => {
    const length = LIMITS.windowMs / STEP_MS;
    const sum = (from: number, read: (step: Step) => number): number =>
        steps.slice(Math.max(0, from), Math.max(0, from + length)).reduce(
            (total, step) => total + read(step),
            0,
        );
    return Math.max(...steps.map((step, start) => {
        const requests = Math.max(
            ...[start, start - length, start - length / 2].map(from =>
                sum(from, ({ requests: count }) => count)
            ),
        );
        return sum(start, ({ repeats }) => repeats) - (LIMITS.ratio * requests + LIMITS.extra);
    }));
};

propertyTest.prop(
    [fc.array(stretch, { minLength: 1, maxLength: 6 }), fc.integer({ min: 1, max: MOST_VMS })],
    readPropertyParameters(60),
)("no window has more repeats over all VMs than the budget allows", (history, vms) => {
    expect(findWorstExcess(playHistory(history, vms, vms))).toBeLessThanOrEqual(0);
});

test("the check catches VMs that each take the whole budget", () => {
    const failing: Stretch = { requests: Array.from({ length: MOST_VMS }, () => 3), failing: 1, steps: 150 };
    expect(findWorstExcess(playHistory([failing], MOST_VMS, 1))).toBeGreaterThan(0);
});

test("a burst of failures at one VM gets its part of the budget at once", () => {
    const failing: Stretch = { requests: [6, 0, 0, 0, 0, 0, 0], failing: 1, steps: 20 };
    const repeats = playHistory([failing], MOST_VMS, MOST_VMS).reduce((sum, step) => sum + step.repeats, 0);
    expect(repeats).toBeGreaterThan(0.6 * (LIMITS.ratio * 120 + LIMITS.extra / MOST_VMS));
});
