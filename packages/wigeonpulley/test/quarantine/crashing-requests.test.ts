import { expect, test } from "vitest";
import {
    CONTACT_MS,
    type CrashOutcome,
    type CrashTraffic,
    runCrashTraffic,
} from "../fixtures/crash-traffic.js";
import { CrashingEngines, type Framing } from "../fixtures/crashing-engines.js";
import type { PlainRequest } from "../fixtures/routed-fleet.js";

const VM_COUNT = 7;
const SERVER_COUNT = 3;
const HARMFUL_PATH = "/stock/harmful?page=1";
const HARMFUL_BODY = "a body that crashes engines";
/** Times that a request may still reach servers when VMs had time to learn that it crashed `COUNTED_CRASH` of them. */
const MAX_LATE_ARRIVALS = 3;
const COUNTED_CRASH = 3;
const WORKSPACES = ["lushoto", "korogwe"];
const FROZEN_FROM_MS = 300;
const FROZEN_FOR_MS = 8_000;

/** Sends a request that crashes the plain servers, beside sound requests of the same and another caller. */
const runPlainTraffic = async (
    { vmCount = VM_COUNT, serverCount = SERVER_COUNT, framing = "chunked", harmful, ...traffic }: {
        readonly vmCount?: number;
        readonly serverCount?: number;
        readonly framing?: Framing;
        readonly harmful?: Partial<PlainRequest>;
    } & Partial<CrashTraffic>,
): Promise<CrashOutcome> =>
    runCrashTraffic({
        engines: await CrashingEngines.create({
            vmCount,
            instanceCount: serverCount,
            isPlain: true,
            isHarmful: ({ path }) => path === HARMFUL_PATH,
            framing,
        }),
        countedCrash: COUNTED_CRASH,
        sendSound: (fleet, vm, elapsedMs, random) =>
            fleet.sendPlain(vm, {
                path: `/stock/${elapsedMs}`,
                workspace: WORKSPACES[random.pickInteger(WORKSPACES.length)] ?? "",
            }),
        sendHarmful: (fleet, vm) => fleet.sendPlain(vm, { path: HARMFUL_PATH, ...harmful }),
        ...traffic,
    });

const expectContained = ({ engines, soundSent, soundAnswered }: CrashOutcome): void => {
    expect(engines.crashes.length).toBeGreaterThanOrEqual(COUNTED_CRASH);
    expect(engines.countArrivalsAfterCrash(COUNTED_CRASH, CONTACT_MS)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
    expect(soundSent).toBeGreaterThan(100);
    // Requests of VMs that restart or are cut off are among them.
    expect(soundAnswered / soundSent).toBeGreaterThan(0.5);
};

// Incident second1 (BUDGET): a request that its caller sent again and again crashed all servers of a service.
test("a request under which servers crash reaches no server any more when it comes again, and sound requests go on", async () => {
    const outcome = await runPlainTraffic({});
    expectContained(outcome);
    expect(outcome.soundAnswered).toBe(outcome.soundSent);
});

test("a request that may run once is contained like one that may be repeated", async () => {
    expectContained(await runPlainTraffic({ harmful: { kind: "once", body: "order" } }));
});

test("a request that crashes engines is contained, and none of its prompt blocks with it", async () => {
    const engines = await CrashingEngines.create({
        vmCount: VM_COUNT,
        instanceCount: 8,
        isHarmful: ({ body }) => body?.toString() === HARMFUL_BODY,
    });
    const outcome = await runCrashTraffic({
        engines,
        countedCrash: COUNTED_CRASH,
        sendSound: (fleet, vm, elapsedMs) => fleet.send(vm, ["system", "subject", `own-${elapsedMs}`]),
        sendHarmful: (fleet, vm) => fleet.send(vm, ["system", "rare", "own"], false, HARMFUL_BODY),
    });
    expectContained(outcome);
    expect(outcome.soundAnswered).toBe(outcome.soundSent);
    const { quarantine } = engines.fleet.getVm("vm-1").vm;
    expect(quarantine.listQuarantined()).toEqual([
        expect.objectContaining({ trait: expect.stringMatching(/^request:/) as unknown }),
    ]);
});

test.each([200, 1_000])(
    "many VMs learn of a harmful request in time, of which none sees more than one crash (one each %i ms)",
    async harmfulIntervalMs => {
        expectContained(
            await runPlainTraffic({ vmCount: 60, serverCount: 6, harmfulIntervalMs, durationMs: 20_000 }),
        );
    },
);

test("several harmful requests at the same time are all contained", async () => {
    const engines = await CrashingEngines.create({
        vmCount: VM_COUNT,
        instanceCount: 6,
        isPlain: true,
        isHarmful: ({ path }) => path.startsWith("/stock/harmful"),
    });
    const outcome = await runCrashTraffic({
        engines,
        countedCrash: COUNTED_CRASH,
        durationMs: 60_000,
        sendSound: (fleet, vm, elapsedMs) => fleet.sendPlain(vm, { path: `/stock/${elapsedMs}` }),
        sendHarmful: (fleet, vm, elapsedMs) =>
            fleet.sendPlain(vm, { path: `/stock/harmful-${Math.floor(elapsedMs / 400) % 4}` }),
    });
    // Each of the four may crash three servers before the VMs know it.
    expect(engines.countArrivalsAfterCrash(4 * COUNTED_CRASH, CONTACT_MS)).toBeLessThanOrEqual(
        4 * MAX_LATE_ARRIVALS,
    );
    expect(outcome.soundAnswered / outcome.soundSent).toBeGreaterThan(0.5);
});

test("a sound request that comes again and again is not taken for the one that crashes its servers", async () => {
    const outcome = await runPlainTraffic({
        sendSound: (fleet, vm) => fleet.sendPlain(vm, { path: "/stock/popular" }),
    });
    expectContained(outcome);
    expect(outcome.soundAnswered).toBe(outcome.soundSent);
});

test("a VM that restarts knows the harmful request, also when no other VM is left to tell it", async () => {
    expectContained(
        await runPlainTraffic({
            faults: [
                { atMs: 10_000, apply: fleet => fleet.restartVm("vm-1") },
                { atMs: 14_000, apply: fleet => fleet.vmNames.forEach(name => fleet.restartVm(name)) },
            ],
        }),
    );
});

test("VMs tell each other of a harmful request while the store is down", async () => {
    expectContained(
        await runPlainTraffic({
            // Servers that start again can't be found while the store is down, so some must be left.
            serverCount: 4 * SERVER_COUNT,
            faults: [{
                atMs: 0,
                apply: fleet => {
                    fleet.isStoreDown = true;
                },
            }],
        }),
    );
});

test("a VM that reaches no other VM learns of a harmful request from the store", async () => {
    expectContained(
        await runPlainTraffic({
            faults: [{
                atMs: 0,
                apply: fleet => {
                    fleet.getVm("vm-1").isCutFromPeers = true;
                },
            }],
        }),
    );
});

test("a VM that was frozen while the others learned of a harmful request learns of it when it wakes", async () => {
    const outcome = await runPlainTraffic({
        faults: [{
            atMs: FROZEN_FROM_MS,
            apply: fleet => fleet.getVm("vm-1").clock.suspend(FROZEN_FOR_MS),
        }],
    });
    expect(outcome.engines.crashes.length).toBeGreaterThanOrEqual(COUNTED_CRASH);
    const knownAt = outcome.startedAt + FROZEN_FROM_MS + FROZEN_FOR_MS + CONTACT_MS;
    expect(outcome.engines.harmfulArrivals.filter(({ at }) => at > knownAt)).toEqual([]);
});

test("a harmful request that some servers answer with an error of their own is contained", async () => {
    const engines = await CrashingEngines.create({
        vmCount: VM_COUNT,
        instanceCount: SERVER_COUNT,
        isPlain: true,
        isHarmful: ({ path }) => path === HARMFUL_PATH,
        failsEveryThird: true,
    });
    expectContained(await runPlainTraffic({ engines }));
});
