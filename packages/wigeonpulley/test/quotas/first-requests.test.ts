import { expect, test } from "vitest";
import { type Quota, SharedQuotaLimiter, VirtualTimerService } from "wigeonpulley";

const QUOTA: Quota = { ratePerS: 70_000, burst: 70_000, unit: "tokens", plainTokens: 200 };
const OTHER_USAGE = { workspace: "other", keptPerS: 100, demandPerS: 100, usedUnits: 100, knownUnits: 100 };
const LARGE_REQUEST = 30_000;

/** A limiter with reports of other VMs, none of which has used the quota of the workspace "new". */
const createLimiter = (vmCount: number, reportingCount: number) => {
    const timers = VirtualTimerService.create();
    const limiter = SharedQuotaLimiter.create({
        timers,
        getVmCount: () => ({ count: vmCount, isKnown: true }),
        getTolerance: () => ({ slack: 140_000, overrun: 0.1, windowMs: 8_000 }),
    });
    for (let vm = 1; vm <= reportingCount; vm += 1) {
        limiter.applyPeerUsage(`vm-${vm}`, 1n, [OTHER_USAGE]);
    }
    return { timers, limiter };
};

// Guards against SHORT: the first large requests of a workspace at a VM were refused, as if all other VMs had used its quota.
test.each([7, 65, 400])("the first request of a workspace at one of %d VMs is within its quota", vmCount => {
    const { limiter } = createLimiter(vmCount, vmCount - 1);
    expect(limiter.tryConsume("new", QUOTA, LARGE_REQUEST)).toBe(true);
});

test("usage that other VMs reported before the first request counts", () => {
    const { limiter } = createLimiter(65, 64);
    const usage = { ...OTHER_USAGE, workspace: "new", usedUnits: 1_000_000 };
    limiter.applyPeerUsage("vm-1", 1n, [usage]);
    expect(limiter.tryConsume("new", QUOTA, LARGE_REQUEST)).toBe(false);
});

test("VMs that have not reported for a window may have used their parts", async () => {
    const { timers, limiter } = createLimiter(65, 64);
    await timers.advance(9_000);
    expect(limiter.tryConsume("new", QUOTA, LARGE_REQUEST)).toBe(false);
});
