import { expect, test } from "vitest";
import {
    CONTACT_MS,
    type CrashOutcome,
    type FleetFault,
    runCrashTraffic,
} from "../fixtures/crash-traffic.js";
import { CrashingEngines, type Framing, hasBlock } from "../fixtures/crashing-engines.js";

const VM_COUNT = 7;
const ENGINE_COUNT = 8;
const HARMFUL_BLOCK = "harmful";
const SYSTEM_PROMPT = "system";
const SUBJECT_COUNT = 20;
/** Requests with a harmful block that may still reach engines when VMs had time to learn of the crashes. */
const MAX_LATE_ARRIVALS = 3;
const COUNTED_CRASH = 5;
const FROZEN_FROM_MS = 300;
const FROZEN_FOR_MS = 8_000;

/** Harmful requests have the system prompt and a subject of sound ones. */
const runTraffic = async (
    {
        vmCount = VM_COUNT,
        engineCount = ENGINE_COUNT,
        framing = "chunked",
        isResumable = false,
        harmful,
        ...traffic
    }: {
        readonly vmCount?: number;
        readonly engineCount?: number;
        readonly harmfulIntervalMs?: number;
        readonly faults?: readonly FleetFault[];
        readonly framing?: Framing;
        readonly durationMs?: number;
        readonly isResumable?: boolean;
        readonly harmful?: (subject: string, own: string) => readonly string[];
    },
): Promise<CrashOutcome> =>
    runCrashTraffic({
        ...traffic,
        engines: await CrashingEngines.create({
            vmCount,
            instanceCount: engineCount,
            isHarmful: hasBlock(HARMFUL_BLOCK),
            framing,
        }),
        countedCrash: COUNTED_CRASH,
        sendSound: (fleet, vm, elapsedMs, random) => {
            const subject = `subject-${random.pickInteger(SUBJECT_COUNT)}`;
            return fleet.send(vm, [SYSTEM_PROMPT, subject, `own-${elapsedMs}`], isResumable);
        },
        sendHarmful: (fleet, vm, elapsedMs, random) => {
            const subject = `subject-${random.pickInteger(SUBJECT_COUNT)}`;
            const own = `harmful-${elapsedMs}`;
            const blocks = harmful?.(subject, own) ?? [SYSTEM_PROMPT, subject, HARMFUL_BLOCK, own];
            return fleet.send(vm, blocks, isResumable);
        },
    });

const expectContained = ({ engines, soundSent, soundAnswered }: CrashOutcome): void => {
    expect(engines.crashes.length).toBeGreaterThan(2);
    expect(engines.countArrivalsAfterCrash(COUNTED_CRASH, CONTACT_MS)).toBeLessThanOrEqual(MAX_LATE_ARRIVALS);
    expect(soundSent).toBeGreaterThan(100);
    // Requests of VMs that restart or are cut off are among them.
    expect(soundAnswered / soundSent).toBeGreaterThan(0.5);
};

// Incident inc1 (BUDGET): requests that share a prompt block crashed engine after engine.
test("a prompt block under which engines crash reaches no engine any more, and sound requests go on", async () => {
    const outcome = await runTraffic({});
    expectContained(outcome);
    expect(outcome.soundAnswered).toBe(outcome.soundSent);
});

test("a harmful first block is contained like any other", async () => {
    expectContained(await runTraffic({ harmful: (subject, own) => [HARMFUL_BLOCK, subject, own] }));
});

test("a crash is recognised in a response without a length, which only the end of the connection ends", async () => {
    expectContained(await runTraffic({ framing: "until the connection ends" }));
});

test("retries of resumable requests don't carry a harmful block on", async () => {
    expectContained(await runTraffic({ isResumable: true }));
});

test.each([20, 100])(
    "many VMs learn of a harmful block in time, of which none sees more than one crash (one each %i ms)",
    async harmfulIntervalMs => {
        expectContained(
            await runTraffic({ vmCount: 60, engineCount: 24, harmfulIntervalMs, durationMs: 15_000 }),
        );
    },
);

test("a VM that restarts knows the harmful blocks, also when no other VM is left to tell it", async () => {
    expectContained(
        await runTraffic({
            faults: [
                { atMs: 10_000, apply: fleet => fleet.restartVm("vm-1") },
                { atMs: 14_000, apply: fleet => fleet.vmNames.forEach(name => fleet.restartVm(name)) },
            ],
        }),
    );
});

test("VMs tell each other of harmful blocks while the store is down", async () => {
    expectContained(
        await runTraffic({
            faults: [{
                atMs: 0,
                apply: fleet => {
                    fleet.isStoreDown = true;
                },
            }],
            durationMs: 20_000,
        }),
    );
});

test("a VM that reaches no other VM learns of harmful blocks from the store", async () => {
    const outcome = await runTraffic({
        faults: [{
            atMs: 0,
            apply: fleet => {
                fleet.getVm("vm-1").isCutFromPeers = true;
            },
        }],
    });
    expectContained(outcome);
});

test("a VM that was frozen while the others learned of a harmful block learns of it when it wakes", async () => {
    const outcome = await runTraffic({
        faults: [{
            atMs: FROZEN_FROM_MS,
            apply: fleet => fleet.getVm("vm-1").clock.suspend(FROZEN_FOR_MS),
        }],
    });
    expect(outcome.engines.crashes.length).toBeGreaterThan(2);
    const knownAt = outcome.startedAt + FROZEN_FROM_MS + FROZEN_FOR_MS + CONTACT_MS;
    expect(outcome.engines.harmfulArrivals.filter(({ at }) => at > knownAt)).toEqual([]);
});
