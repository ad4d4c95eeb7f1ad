/** What a VM guesses about VMs whose reports are missing or old. */
import { expect, test } from "vitest";
import { type Quota, SharedQuotaLimiter, VirtualTimerService } from "wigeonpulley";

const QUOTA: Quota = { ratePerS: 70_000, burst: 70_000, unit: "tokens", plainTokens: 200 };
const WINDOW_MS = 8_000;
/** Age at which reports are no longer fresh. */
const STALE_MS = 1_500;
const REQUEST_UNITS = 5_000;

const createLimiter = (timers: VirtualTimerService, vmCount: number): SharedQuotaLimiter =>
    SharedQuotaLimiter.create({
        timers,
        getVmCount: () => ({ count: vmCount, isKnown: true }),
        getTolerance: () => ({ slack: 140_000, overrun: 0.1, windowMs: WINDOW_MS }),
    });

const createUsage = (usedUnits: number) => ({
    workspace: "lushoto",
    keptPerS: 1_000,
    demandPerS: usedUnits / 8,
    usedUnits,
    knownUnits: usedUnits,
});

// Guards against SHORT: one VM's guess about silent VMs was gossiped as usage, so that all VMs refused all requests.
test("a VM that hears of most VMs only now and then does not make the others refuse", async () => {
    const timers = VirtualTimerService.create();
    const limiter = createLimiter(timers, 18);
    const starting = createLimiter(timers, 2);
    for (let vm = 1; vm <= 10; vm += 1) {
        starting.applyPeerUsage(`vm-${vm}`, 1n, [createUsage(1_000)]);
    }
    starting.tryConsume("lushoto", QUOTA, 1_000);
    await timers.advance(STALE_MS);
    for (let vm = 1; vm <= 16; vm += 1) {
        limiter.applyPeerUsage(`vm-${vm}`, 1n, [createUsage(1_000)]);
    }
    limiter.applyPeerUsage("starting", 1n, starting.listUsage());
    expect(limiter.tryConsume("lushoto", QUOTA, REQUEST_UNITS)).toBe(true);
});

test("usage that a VM knows of still counts at one that has lost its own counts in a restart", () => {
    const timers = VirtualTimerService.create();
    const other = createLimiter(timers, 3);
    other.tryConsume("lushoto", QUOTA, 1_000);
    other.applyPeerUsage("restarted", 1n, [createUsage(1_000_000)]);
    const restarted = createLimiter(timers, 3);
    restarted.applyPeerUsage("other", 1n, other.listUsage());
    restarted.applyPeerUsage("third", 1n, [createUsage(0)]);
    expect(restarted.tryConsume("lushoto", QUOTA, REQUEST_UNITS)).toBe(false);
});

// Guards against SHORT: a report a little older than fresh counted as a whole part of the quota, however little was used.
test.each([18, 90, 195])(
    "reports that are somewhat late refuse no request within the quota, at %d VMs",
    async vmCount => {
        const timers = VirtualTimerService.create();
        const limiter = createLimiter(timers, vmCount);
        // Half of the quota is in use.
        const usedUnits = QUOTA.ratePerS * WINDOW_MS / 1_000 / 2 / vmCount;
        for (let vm = 1; vm < vmCount; vm += 1) {
            limiter.applyPeerUsage(`vm-${vm}`, 1n, [createUsage(usedUnits)]);
        }
        await timers.advance(STALE_MS);
        expect(limiter.tryConsume("lushoto", QUOTA, REQUEST_UNITS)).toBe(true);
    },
);

test("VMs whose reports become older may have used more and more of their parts", async () => {
    const timers = VirtualTimerService.create();
    const limiter = createLimiter(timers, 18);
    for (let vm = 1; vm < 18; vm += 1) {
        limiter.applyPeerUsage(`vm-${vm}`, 1n, [createUsage(0)]);
    }
    limiter.tryConsume("lushoto", QUOTA, 1);
    const readKnownUnits = (): number => limiter.getState("lushoto").knownUnits;
    const knownUnits = [readKnownUnits()];
    for (let step = 0; step < 3; step += 1) {
        await timers.advance(2_000);
        knownUnits.push(readKnownUnits());
    }
    expect(knownUnits).toEqual(knownUnits.toSorted((left, right) => left - right));
    expect(knownUnits.at(-1)).toBeGreaterThan(QUOTA.ratePerS * 6 * 0.75);
});
