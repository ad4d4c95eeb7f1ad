import { expect, test } from "vitest";
import { type Quota, SharedQuotaLimiter, VirtualTimerService } from "wigeonpulley";

const QUOTA: Quota = { ratePerS: 20_000, burst: 20_000, unit: "tokens", plainTokens: 200 };
const WORKSPACES = Array.from({ length: 16 }, (unused, index) => `workspace-${index}`);
const VM_COUNT = 65;
/** Digests that a VM creates in 100 ms while slots are scarce. */
const DIGEST_COUNT = 4;

/** A limiter that has a report of each other VM, and a count of how often it reads the clock. */
const createLimiter = () => {
    const timers = VirtualTimerService.create();
    let clockReads = 0;
    Object.assign(timers, {
        now: () => {
            clockReads += 1;
            return 0;
        },
    });
    const limiter = SharedQuotaLimiter.create({
        timers,
        getVmCount: () => ({ count: VM_COUNT, isKnown: true }),
        getTolerance: () => ({ slack: 140_000, overrun: 0.1, windowMs: 8_000 }),
    });
    const usage = WORKSPACES.map(workspace => {
        limiter.tryConsume(workspace, QUOTA, 100);
        return { workspace, keptPerS: 100, demandPerS: 100, usedUnits: 100, knownUnits: 100 };
    });
    const applyReports = (): void => {
        for (let vm = 1; vm < VM_COUNT; vm += 1) {
            limiter.applyPeerUsage(`vm-${vm}`, 1n, usage);
        }
    };
    return { limiter, applyReports, countClockReads: () => clockReads };
};

// Guards against SHORT: each digest added up the usage of all VMs several times for each workspace.
test("digests that follow each other closely compute the usage of quotas once", () => {
    const { limiter, applyReports, countClockReads } = createLimiter();
    applyReports();
    const before = countClockReads();
    limiter.listUsage();
    const once = countClockReads() - before;
    for (let digest = 1; digest < DIGEST_COUNT; digest += 1) {
        limiter.listUsage();
    }
    expect(countClockReads() - before).toBeLessThan(2 * once);
    expect(once).toBeLessThan(WORKSPACES.length * VM_COUNT);
});

test("a report tells of usage that came after the one before", () => {
    const { limiter } = createLimiter();
    const before = limiter.listUsage().map(({ usedUnits }) => usedUnits);
    limiter.tryConsume("workspace-0", QUOTA, 500);
    expect(limiter.listUsage().map(({ usedUnits }) => usedUnits)).not.toEqual(before);
    limiter.refund("workspace-0", 500);
    expect(limiter.listUsage().map(({ usedUnits }) => usedUnits)).toEqual(before);
});
