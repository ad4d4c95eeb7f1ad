import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import { type Quota, SeededRandom, SharedQuotaLimiter, VirtualTimerService } from "wigeonpulley";
import { readPropertyParameters } from "../fixtures/properties.js";

const QUOTA: Quota = { ratePerS: 10_000, burst: 10_000, unit: "tokens", plainTokens: 200 };
const SLACK = 14_000;
const OVERRUN = 0.1;
const WINDOW_MS = 8_000;
const STEP_MS = 100;
const REPORT_INTERVAL_MS = 500;

/** One phase of a generated history. */
interface Phase {
    /** VMs that exchange no reports. */
    readonly partitioned: readonly boolean[];
    /** Demand on each VM, as a fraction of the quota's rate. */
    readonly demand: readonly number[];
    /** VM that restarts at the start of the phase; none when out of range. */
    readonly restarted: number;
    readonly steps: number;
}

const VM_COUNT = 4;
const phase: fc.Arbitrary<Phase> = fc.record({
    partitioned: fc.array(fc.boolean(), { minLength: VM_COUNT, maxLength: VM_COUNT }),
    demand: fc.array(fc.constantFrom(0, 0.1, 0.5, 1, 3), { minLength: VM_COUNT, maxLength: VM_COUNT }),
    restarted: fc.integer({ min: 0, max: 3 * VM_COUNT }),
    steps: fc.integer({ min: 5, max: 60 }),
});

/** What a quota allows in a window, including the tolerance. */
const ALLOWED = (QUOTA.ratePerS * WINDOW_MS / 1_000 + QUOTA.burst) * (1 + OVERRUN) + SLACK;

interface Admission {
    readonly at: number;
    readonly units: number;
}

/** Simulates a history on several VMs and returns what all of them admitted. */
const simulateHistory = (
    history: readonly Phase[],
    seed: number,
    isVmCountKnown = true,
): readonly Admission[] => {
    const random = SeededRandom.create(seed);
    let now = 0;
    const timers = VirtualTimerService.create();
    Object.assign(timers, { now: () => now });
    const createVm = () => ({
        limiter: SharedQuotaLimiter.create({
            timers,
            getVmCount: () => ({ count: isVmCountKnown ? VM_COUNT : 1, isKnown: true }),
            getTolerance: () => ({ slack: SLACK, overrun: OVERRUN, windowMs: WINDOW_MS }),
        }),
    });
    const vms = Array.from({ length: VM_COUNT }, createVm);
    const admitted: Admission[] = [];
    for (const { partitioned, demand, restarted, steps } of history) {
        if (restarted < VM_COUNT) {
            vms[restarted] = createVm();
        }
        for (let step = 0; step < steps; step += 1) {
            now += STEP_MS;
            vms.forEach(({ limiter }, index) => {
                let demanded = (demand[index] ?? 0) * QUOTA.ratePerS * STEP_MS / 1_000;
                while (demanded > 0) {
                    const units = 50 + random.pickInteger(1_000);
                    demanded -= units;
                    if (limiter.tryConsume("lushoto", QUOTA, units)) {
                        admitted.push({ at: now, units });
                    }
                }
            });
            if (now % REPORT_INTERVAL_MS === 0) {
                vms.forEach((from, fromIndex) =>
                    vms.forEach(({ limiter }, toIndex) => {
                        if (
                            fromIndex !== toIndex && partitioned[fromIndex] !== true
                            && partitioned[toIndex] !== true
                        ) {
                            limiter.applyPeerUsage(`vm-${fromIndex}`, 1n, from.limiter.listUsage());
                        }
                    })
                );
            }
        }
    }
    return admitted;
};

const findMaxInWindow = (admitted: readonly Admission[]): number => {
    let max = 0;
    let sum = 0;
    let start = 0;
    admitted.forEach(({ at, units }) => {
        sum += units;
        for (
            let first = admitted[start];
            first !== undefined && first.at <= at - WINDOW_MS;
            first = admitted[start]
        ) {
            sum -= first.units;
            start += 1;
        }
        max = Math.max(max, sum);
    });
    return max;
};

propertyTest.prop(
    [fc.array(phase, { minLength: 1, maxLength: 8 }), fc.integer({ min: 1, max: 1_000 })],
    readPropertyParameters(60),
)(
    "no window admits more than the quota allows, whichever VMs are partitioned or restarted",
    (history, seed) => {
        expect(findMaxInWindow(simulateHistory(history, seed))).toBeLessThanOrEqual(ALLOWED);
    },
);

test("the check detects VMs that don't count the VMs they receive no reports from", () => {
    const alone: Phase = {
        partitioned: [true, true, true, true],
        demand: [3, 3, 3, 3],
        restarted: 99,
        steps: 200,
    };
    expect(findMaxInWindow(simulateHistory([alone], 1, false))).toBeGreaterThan(ALLOWED);
});

test("uneven demand within the quota is admitted almost completely", () => {
    const uneven: Phase = {
        partitioned: [false, false, false, false],
        demand: [0.6, 0.1, 0, 0],
        restarted: 99,
        steps: 200,
    };
    const admitted = simulateHistory([uneven], 7).reduce((sum, { units }) => sum + units, 0);
    const demanded = 0.7 * QUOTA.ratePerS * 20;
    expect(admitted / demanded).toBeGreaterThan(0.95);
});

test("demand far beyond the quota still uses most of it", () => {
    const overloaded: Phase = {
        partitioned: [false, false, false, false],
        demand: [3, 1, 0.1, 0],
        restarted: 99,
        steps: 200,
    };
    const admitted = simulateHistory([overloaded], 7).reduce((sum, { units }) => sum + units, 0);
    expect(admitted / (QUOTA.ratePerS * 20)).toBeGreaterThan(0.85);
});

test("large requests well within the quota are admitted although one exceeds a VM's whole share", () => {
    let now = 0;
    const timers = VirtualTimerService.create();
    Object.assign(timers, { now: () => now });
    const random = SeededRandom.create(3);
    const limiter = SharedQuotaLimiter.create({
        timers,
        getVmCount: () => ({ count: VM_COUNT, isKnown: true }),
        getTolerance: () => ({ slack: SLACK, overrun: OVERRUN, windowMs: WINDOW_MS }),
    });
    let admittedCount = 0;
    let requestCount = 0;
    for (; now < 600_000; now += 500) {
        // The other VMs report that they are idle.
        ["vm-1", "vm-2", "vm-3"].forEach(vm => limiter.applyPeerUsage(vm, 1n, []));
        // Half of the VM's equal share on average, in requests of up to nearly half a second of the quota.
        if (random.pickInteger(4) === 0) {
            const units = 500 + random.pickInteger(4_000);
            requestCount += 1;
            admittedCount += limiter.tryConsume("lushoto", QUOTA, units) ? 1 : 0;
        }
    }
    expect(admittedCount / requestCount).toBeGreaterThan(0.95);
});

test("a lowered quota takes effect within a window", () => {
    let now = 0;
    const timers = VirtualTimerService.create();
    Object.assign(timers, { now: () => now });
    const limiter = SharedQuotaLimiter.create({
        timers,
        getVmCount: () => ({ count: 1, isKnown: true }),
        getTolerance: () => ({ slack: 0, overrun: 0, windowMs: WINDOW_MS }),
    });
    const loweredQuota: Quota = { ...QUOTA, ratePerS: 1_000, burst: 1_000 };
    limiter.tryConsume("lushoto", QUOTA, 100);
    let consumedUnits = 0;
    for (; now < 8_000; now += 10) {
        consumedUnits += limiter.tryConsume("lushoto", loweredQuota, 100) ? 100 : 0;
    }
    expect(consumedUnits).toBeLessThanOrEqual(1_000 * 8 + 1_000 + 100);
});
