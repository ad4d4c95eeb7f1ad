import { expect, test } from "vitest";
import { SeededRandom } from "wigeonpulley";
import { computeAllowedRequests, LimitedEngines } from "../fixtures/limited-engines.js";
import type { RoutedFleet } from "../fixtures/routed-fleet.js";

const ENGINE_COUNT = 6;
const REQUEST_INTERVAL_MS = 20;
const DURATION_MS = 24_000;
const NAMED_AT_MS = 4_000;
/** Time that VMs have to keep a limit after it was first named, as the platform sets it (`contact_ms`). */
const CONTACT_MS = 4_000;
const WINDOW_MS = 4_000;
/** Share of what an instance takes that the VMs together should use while there is more demand. */
const MIN_USED_SHARE = 0.5;
const MS_PER_S = 1_000;

/** Something that happens at a time after the start of the traffic. */
interface LimitFault {
    readonly atMs: number;
    readonly apply: (fleet: RoutedFleet, engines: LimitedEngines) => void;
}

interface LimitRun {
    readonly vmCount?: number;
    readonly limits: Readonly<Record<string, number>>;
    readonly faults?: readonly LimitFault[];
    readonly durationMs?: number;
    /** VMs whose requests count against the limit; all by default. */
    readonly isCounted?: (vm: string) => boolean;
}

interface Outcome {
    readonly engines: LimitedEngines;
    readonly startedAt: number;
    readonly servedShare: number;
    readonly countWindow: (instance: string, fromMs: number, untilMs: number) => number;
}

/** Sends requests to random VMs, of which the first get more than the others. */
const runTraffic = async (
    { vmCount = 7, limits, faults = [], durationMs = DURATION_MS, isCounted = () => true }: LimitRun,
): Promise<Outcome> => {
    const engines = await LimitedEngines.create(vmCount, ENGINE_COUNT);
    const { fleet } = engines;
    const random = SeededRandom.create(31);
    const startedAt = fleet.timers.now();
    const pending = [
        {
            atMs: NAMED_AT_MS,
            apply: () => Object.entries(limits).forEach(([id, limit]) => engines.limits.set(id, limit)),
        },
        ...faults,
    ];
    const requests = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += REQUEST_INTERVAL_MS) {
        while ((pending[0]?.atMs ?? durationMs) <= elapsedMs) {
            pending.shift()?.apply(fleet, engines);
        }
        const vm = Math.floor(vmCount * random.pickFraction() ** 2);
        requests.push(
            fleet.send(fleet.vmNames[vm] ?? "", ["system", `subject-${elapsedMs % 7}`, `own-${elapsedMs}`]),
        );
        await fleet.timers.advance(REQUEST_INTERVAL_MS);
    }
    await fleet.timers.advance(5_000);
    return {
        engines,
        startedAt,
        servedShare: requests.filter(({ view }) => view.isComplete).length / requests.length,
        countWindow: (instance, fromMs, untilMs) =>
            engines.findBusiestWindow(instance, {
                from: startedAt + fromMs,
                until: startedAt + untilMs,
                windowMs: WINDOW_MS,
                vms: fleet.vmNames.filter(isCounted),
            }),
    };
};

const expectKept = (
    { limits, durationMs = DURATION_MS }: LimitRun,
    { countWindow }: Outcome,
): void => {
    for (const [instance, limit] of Object.entries(limits)) {
        expect(countWindow(instance, NAMED_AT_MS + CONTACT_MS, durationMs))
            .toBeLessThanOrEqual(computeAllowedRequests(limit, WINDOW_MS));
    }
};

// Incident second1 (LIMIT): seven VMs sent an instance several times what it had said that it takes.
test("all VMs together keep the limit that an instance names, and use it", async () => {
    const run: LimitRun = { limits: { "i-1": 4.3, "i-2": 1.6 } };
    const outcome = await runTraffic(run);
    expectKept(run, outcome);
    expect(outcome.servedShare).toBe(1);
    const fromMs = NAMED_AT_MS + CONTACT_MS;
    for (const [instance, limit] of Object.entries(run.limits)) {
        const arrivals = outcome.engines.countArrivals(
            instance,
            outcome.startedAt + fromMs,
            outcome.startedAt + DURATION_MS,
        );
        expect(arrivals).toBeGreaterThan(MIN_USED_SHARE * limit * (DURATION_MS - fromMs) / MS_PER_S);
    }
});

test("many VMs keep a limit that is lower than their number", async () => {
    const run: LimitRun = { vmCount: 40, limits: { "i-1": 2, "i-2": 0.4 } };
    expectKept(run, await runTraffic(run));
});

test("the limit is kept while VMs restart", async () => {
    const run: LimitRun = {
        limits: { "i-1": 3 },
        faults: [
            { atMs: 10_000, apply: fleet => fleet.restartVm("vm-1") },
            { atMs: 15_000, apply: fleet => fleet.vmNames.forEach(name => fleet.restartVm(name)) },
        ],
        durationMs: 30_000,
    };
    expectKept(run, await runTraffic(run));
});

test("the limit is kept by the others while a VM is cut off or frozen", async () => {
    const run: LimitRun = {
        limits: { "i-1": 3 },
        faults: [
            {
                atMs: 3_000,
                apply: fleet => {
                    fleet.getVm("vm-6").isCutFromPeers = true;
                },
            },
            { atMs: 9_000, apply: fleet => fleet.getVm("vm-7").clock.suspend(5_000) },
        ],
        isCounted: vm => vm !== "vm-6" && vm !== "vm-7",
    };
    expectKept(run, await runTraffic(run));
});

test("a limit that an instance no longer names ends at all VMs", async () => {
    const outcome = await runTraffic({
        limits: { "i-1": 1 },
        faults: [{ atMs: 12_000, apply: (fleet, engines) => engines.limits.clear() }],
    });
    const { engines, startedAt } = outcome;
    const limited = engines.countArrivals("i-1", startedAt + 8_000, startedAt + 12_000);
    const unlimited = engines.countArrivals("i-1", startedAt + 18_000, startedAt + 22_000);
    expect(limited).toBeLessThanOrEqual(computeAllowedRequests(1, WINDOW_MS));
    // Without the limit, the instance gets about its even part of the requests, and no VM knows of a limit.
    const evenPart = WINDOW_MS / REQUEST_INTERVAL_MS / ENGINE_COUNT;
    expect(unlimited).toBeGreaterThan(0.75 * evenPart);
    const limitsAtVms = engines.fleet.vmNames.map(name =>
        engines.fleet.getVm(name).vm["rateLimits"].listReports()
    );
    expect(limitsAtVms.flat().filter(({ limitPerS }) => limitPerS !== undefined)).toEqual([]);
});
