/** Quotas of VMs that start without knowing how many there are. */
import { expect, test } from "vitest";
import { type Quota, SharedQuotaLimiter, VirtualTimerService } from "wigeonpulley";

const QUOTA: Quota = { ratePerS: 141_514, burst: 141_514, unit: "tokens", plainTokens: 200 };
const TOLERANCE = { slack: 140_000, overrun: 0.1, windowMs: 8_000 };
const ALLOWED = (QUOTA.ratePerS * TOLERANCE.windowMs / 1_000 + QUOTA.burst) * (1 + TOLERANCE.overrun)
    + TOLERANCE.slack;
const VM_COUNT = 6;
const REQUEST_UNITS = 7_000;
const STEP_MS = 48;

/** VMs that start together, each of which is asked for the whole quota and more. */
const startVms = () => {
    const timers = VirtualTimerService.create();
    let vmCount = { count: 400, isKnown: false };
    const limiters = Array.from(
        { length: VM_COUNT },
        () => SharedQuotaLimiter.create({ timers, getVmCount: () => vmCount, getTolerance: () => TOLERANCE }),
    );
    /** Sends requests for a time; returns the units that were admitted. */
    const sendFor = async (durationMs: number): Promise<number> => {
        let admitted = 0;
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            await timers.advance(STEP_MS);
            admitted += limiters.filter(limiter => limiter.tryConsume("t1", QUOTA, REQUEST_UNITS)).length
                * REQUEST_UNITS;
        }
        return admitted;
    };
    return {
        timers,
        limiters,
        sendFor,
        learnVmCount: (): void => {
            vmCount = { count: VM_COUNT, isKnown: true };
        },
    };
};

// Guards against QUOTA: each VM that had not read the list of VMs used the whole quota.
test("VMs that don't know each other use no more than the quota together", async () => {
    const { sendFor } = startVms();
    expect(await sendFor(TOLERANCE.windowMs)).toBeLessThanOrEqual(ALLOWED);
});

test("VMs that learn the number of VMs within a window use no more than the quota together", async () => {
    const { sendFor, learnVmCount } = startVms();
    const before = await sendFor(TOLERANCE.windowMs / 2);
    learnVmCount();
    expect(before + await sendFor(TOLERANCE.windowMs / 2)).toBeLessThanOrEqual(ALLOWED);
});

// Guards against SHORT: a part of the burst that was divided by an assumed number would stay small.
test("a VM has the same part of the burst as if it had known the number of VMs from the start", () => {
    const { timers, limiters: [limiter], learnVmCount } = startVms();
    const knowing = SharedQuotaLimiter.create({
        timers,
        getVmCount: () => ({ count: VM_COUNT, isKnown: true }),
        getTolerance: () => TOLERANCE,
    });
    limiter?.tryConsume("t1", QUOTA, 1);
    knowing.tryConsume("t1", QUOTA, 1);
    learnVmCount();
    limiter?.tryConsume("t1", QUOTA, 1);
    knowing.tryConsume("t1", QUOTA, 1);
    expect(knowing.getState("t1").level).toBeGreaterThan(0);
    expect(Math.abs((limiter?.getState("t1").level ?? 0) - knowing.getState("t1").level)).toBeLessThan(10);
});

test("a caller is not sent away for long by a VM that assumes the number of VMs", async () => {
    const { limiters: [limiter], timers } = startVms();
    expect(limiter).toBeDefined();
    for (let count = 0; count < 20; count += 1) {
        limiter?.tryConsume("t1", QUOTA, 1_000);
        await timers.advance(1);
    }
    expect(limiter?.estimateWaitMs("t1", QUOTA, REQUEST_UNITS)).toBeLessThanOrEqual(1_000);
});
