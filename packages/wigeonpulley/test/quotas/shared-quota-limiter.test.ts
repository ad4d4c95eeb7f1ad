import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import { type Quota, SeededRandom, SharedQuotaLimiter, VirtualTimerService } from "wigeonpulley";
import { readPropertyParameters } from "../fixtures/properties.js";

const QUOTA: Quota = { ratePerS: 10_000, burst: 10_000, unit: "tokens", plainTokens: 200 };
const SLACK = 14_000;
const OVERRUN = 0.1;
const WINDOW_MS = 8_000;
const STEP_MS = 100;
const REPORT_MS = 500;

/** One stretch of a drawn history. */
interface Stretch {
    /** VMs that hear nothing from the others. */
    readonly cut: readonly boolean[];
    /** Units that each VM is asked for, as a part of the rate. */
    readonly demand: readonly number[];
    /** VM that starts anew at the beginning; none when out of range. */
    readonly restarted: number;
    readonly steps: number;
}

const VMS = 4;
const stretch: fc.Arbitrary<Stretch> = fc.record({
    cut: fc.array(fc.boolean(), { minLength: VMS, maxLength: VMS }),
    demand: fc.array(fc.constantFrom(0, 0.1, 0.5, 1, 3), { minLength: VMS, maxLength: VMS }),
    restarted: fc.integer({ min: 0, max: 3 * VMS }),
    steps: fc.integer({ min: 5, max: 60 }),
});

/** What a quota allows in a window, by the rule that the users set. */
const ALLOWED = (QUOTA.ratePerS * WINDOW_MS / 1_000 + QUOTA.burst) * (1 + OVERRUN) + SLACK;

interface Admission {
    readonly at: number;
    readonly units: number;
}

/** Plays a history over several VMs and returns what all of them admitted. */
const playHistory = (history: readonly Stretch[], seed: number, isAssumed = true): readonly Admission[] => {
    const random = SeededRandom.create(seed);
    let now = 0;
    const timers = VirtualTimerService.create();
    Object.assign(timers, { now: () => now });
    const createVm = () => ({
        ledger: SharedQuotaLimiter.create({
            timers,
            countVms: () => (isAssumed ? VMS : 1),
            getTolerance: () => ({ slack: SLACK, overrun: OVERRUN, windowMs: WINDOW_MS }),
        }),
    });
    const vms = Array.from({ length: VMS }, createVm);
    const admitted: Admission[] = [];
    for (const { cut, demand, restarted, steps } of history) {
        if (restarted < VMS) {
            vms[restarted] = createVm();
        }
        for (let step = 0; step < steps; step += 1) {
            now += STEP_MS;
            vms.forEach(({ ledger }, index) => {
                let asked = (demand[index] ?? 0) * QUOTA.ratePerS * STEP_MS / 1_000;
                while (asked > 0) {
                    const units = 50 + random.pickInteger(1_000);
                    asked -= units;
                    if (ledger.tryConsume("lushoto", QUOTA, units)) {
                        admitted.push({ at: now, units });
                    }
                }
            });
            if (now % REPORT_MS === 0) {
                vms.forEach((from, fromIndex) =>
                    vms.forEach(({ ledger }, toIndex) => {
                        if (fromIndex !== toIndex && cut[fromIndex] !== true && cut[toIndex] !== true) {
                            ledger.applyPeerUsage(`vm-${fromIndex}`, 1n, from.ledger.listUsage());
                        }
                    })
                );
            }
        }
    }
    return admitted;
};

const findMostInWindow = (admitted: readonly Admission[]): number => {
    let most = 0;
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
        most = Math.max(most, sum);
    });
    return most;
};

propertyTest.prop(
    [fc.array(stretch, { minLength: 1, maxLength: 8 }), fc.integer({ min: 1, max: 1_000 })],
    readPropertyParameters(60),
)("no window admits more than the rule allows, whoever is cut off or starts anew", (history, seed) => {
    expect(findMostInWindow(playHistory(history, seed))).toBeLessThanOrEqual(ALLOWED);
});

test("the check catches VMs that ignore those they don't hear", () => {
    const alone: Stretch = { cut: [true, true, true, true], demand: [3, 3, 3, 3], restarted: 99, steps: 200 };
    expect(findMostInWindow(playHistory([alone], 1, false))).toBeGreaterThan(ALLOWED);
});

test("an uneven demand within the quota is admitted nearly whole", () => {
    const quiet: Stretch = {
        cut: [false, false, false, false],
        demand: [0.6, 0.1, 0, 0],
        restarted: 99,
        steps: 200,
    };
    const admitted = playHistory([quiet], 7).reduce((sum, { units }) => sum + units, 0);
    const asked = 0.7 * QUOTA.ratePerS * 20;
    expect(admitted / asked).toBeGreaterThan(0.95);
});

test("a demand far beyond the quota still uses most of it", () => {
    const busy: Stretch = {
        cut: [false, false, false, false],
        demand: [3, 1, 0.1, 0],
        restarted: 99,
        steps: 200,
    };
    const admitted = playHistory([busy], 7).reduce((sum, { units }) => sum + units, 0);
    expect(admitted / (QUOTA.ratePerS * 20)).toBeGreaterThan(0.85);
});

test("large requests well within the quota are admitted, although one exceeds a VM's whole share", () => {
    let now = 0;
    const timers = VirtualTimerService.create();
    Object.assign(timers, { now: () => now });
    const random = SeededRandom.create(3);
    const ledger = SharedQuotaLimiter.create({
        timers,
        countVms: () => VMS,
        getTolerance: () => ({ slack: SLACK, overrun: OVERRUN, windowMs: WINDOW_MS }),
    });
    let admitted = 0;
    let asked = 0;
    for (; now < 600_000; now += 500) {
        // The other VMs are idle and say so.
        ["vm-1", "vm-2", "vm-3"].forEach(vm => ledger.applyPeerUsage(vm, 1n, []));
        // Half of the VM's equal share on average, in lumps of up to a whole second of the quota.
        if (random.pickInteger(4) === 0) {
            const units = 500 + random.pickInteger(4_000);
            asked += 1;
            admitted += ledger.tryConsume("lushoto", QUOTA, units) ? 1 : 0;
        }
    }
    expect(admitted / asked).toBeGreaterThan(0.95);
});

test("a lowered quota binds within a window", () => {
    let now = 0;
    const timers = VirtualTimerService.create();
    Object.assign(timers, { now: () => now });
    const ledger = SharedQuotaLimiter.create({
        timers,
        countVms: () => 1,
        getTolerance: () => ({ slack: 0, overrun: 0, windowMs: WINDOW_MS }),
    });
    const low: Quota = { ...QUOTA, ratePerS: 1_000, burst: 1_000 };
    ledger.tryConsume("lushoto", QUOTA, 100);
    let taken = 0;
    for (; now < 8_000; now += 10) {
        taken += ledger.tryConsume("lushoto", low, 100) ? 100 : 0;
    }
    expect(taken).toBeLessThanOrEqual(1_000 * 8 + 1_000 + 100);
});
