import { expect, test } from "vitest";
import { SeededRandom } from "wigeonpulley";
import { CrashingEngines, type Framing } from "../fixtures/crashing-engines.js";
import type { FleetRequest, RoutedFleet } from "../fixtures/routed-fleet.js";

const VM_COUNT = 7;
const ENGINE_COUNT = 8;
const HARMFUL_BLOCK = "harmful";
const SYSTEM_PROMPT = "system";
const SUBJECT_COUNT = 20;
const SOUND_INTERVAL_MS = 40;
const HARMFUL_INTERVAL_MS = 400;
const STEP_MS = 20;
/** Time that VMs have to learn of the crashes, as the platform sets it (`contact_ms`). */
const CONTACT_MS = 4_000;
/** Requests with a harmful block that may still reach engines after that. */
const MAX_LATE_ARRIVALS = 3;
const COUNTED_CRASH = 5;
const FROZEN_FROM_MS = 300;
const FROZEN_FOR_MS = 8_000;

/** Something that happens to the fleet at a time after the start of the harmful requests. */
interface FleetFault {
    readonly atMs: number;
    readonly apply: (fleet: RoutedFleet) => void;
}

interface Outcome {
    readonly engines: CrashingEngines;
    readonly startedAt: number;
    /** Sound requests that were sent when VMs could know the harmful block, and how many of them were answered. */
    readonly soundSent: number;
    readonly soundAnswered: number;
}

/** Sends sound and harmful requests to random VMs. Harmful ones have the system prompt and a subject of sound ones. */
const runTraffic = async (
    {
        vmCount = VM_COUNT,
        engineCount = ENGINE_COUNT,
        harmfulIntervalMs = HARMFUL_INTERVAL_MS,
        faults = [],
        framing = "chunked",
        durationMs = 30_000,
        isResumable = false,
        harmful,
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
): Promise<Outcome> => {
    const engines = await CrashingEngines.create({
        vmCount,
        engineCount,
        harmfulBlock: HARMFUL_BLOCK,
        framing,
    });
    const { fleet } = engines;
    const random = SeededRandom.create(23);
    const startedAt = fleet.timers.now();
    const pendingFaults = [...faults];
    const sound: FleetRequest[] = [];
    const pickVm = (): string => fleet.vmNames[random.pickInteger(vmCount)] ?? "";
    const pickSubject = (): string => `subject-${random.pickInteger(SUBJECT_COUNT)}`;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
        while ((pendingFaults[0]?.atMs ?? durationMs) <= elapsedMs) {
            pendingFaults.shift()?.apply(fleet);
        }
        if (elapsedMs % SOUND_INTERVAL_MS === 0) {
            sound.push(
                fleet.send(pickVm(), [SYSTEM_PROMPT, pickSubject(), `own-${elapsedMs}`], isResumable),
            );
        }
        if (elapsedMs % harmfulIntervalMs === 0) {
            const own = `harmful-${elapsedMs}`;
            const blocks = harmful?.(pickSubject(), own)
                ?? [SYSTEM_PROMPT, pickSubject(), HARMFUL_BLOCK, own];
            fleet.send(pickVm(), blocks, isResumable);
        }
        await fleet.timers.advance(STEP_MS);
    }
    const knownAt = (engines.crashes[COUNTED_CRASH - 1] ?? engines.crashes.at(-1) ?? startedAt)
        + 2 * CONTACT_MS;
    await fleet.timers.advance(5_000);
    const counted = sound.filter(({ sentAt }) => sentAt >= knownAt);
    return {
        engines,
        startedAt,
        soundSent: counted.length,
        soundAnswered: counted.filter(({ view }) => view.status === 200 && view.isComplete).length,
    };
};

const expectContained = ({ engines, soundSent, soundAnswered }: Outcome): void => {
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
