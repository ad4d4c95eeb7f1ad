import { expect, test } from "vitest";
import {
    EventLogger,
    MemorySink,
    Quarantine,
    QuarantineStore,
    SeededRandom,
    VirtualTimerService,
} from "wigeonpulley";
import { InMemoryKeyedStore } from "../fixtures/in-memory-keyed-store.js";
import { createInstance } from "../fixtures/raw-endpoint.js";
import { WaitingKeyedStore } from "../fixtures/waiting-keyed-store.js";

/** Time in which a VM that has started claims a trial, and the time to the next claim of another one. */
const CLAIM_MS = 10_000;
const STEP_MS = 100;
const MAX_TRIALS = 2;

/** A store with the record of a quarantine, as older versions write it. */
const createStore = async (): Promise<{ records: InMemoryKeyedStore; timers: VirtualTimerService; }> => {
    const records = InMemoryKeyedStore.create();
    const timers = VirtualTimerService.create();
    const record = { quarantinedSince: timers.readWallClock(), vm: "vm-0" };
    records.write("quarantine", "a", JSON.stringify(record));
    await timers.advance(STEP_MS);
    return { records, timers };
};

const startVm = (
    records: InMemoryKeyedStore,
    timers: VirtualTimerService,
    seed: number,
): { quarantine: Quarantine; store: QuarantineStore; } => {
    const logger = EventLogger.create(MemorySink.create());
    const quarantine = Quarantine.create({ timers, logger });
    const store = QuarantineStore.create({
        vm: `vm-${seed}`,
        timers,
        random: SeededRandom.create(seed),
        logger,
        store: WaitingKeyedStore.create(records, timers, () => true),
        quarantine,
    });
    store.start();
    return { quarantine, store };
};

/** Sends requests to all VMs all the time; returns how many were let through, none of which is answered. */
const countTrials = async (
    timers: VirtualTimerService,
    quarantines: readonly Quarantine[],
    durationMs = CLAIM_MS,
): Promise<number> => {
    let trials = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
        await timers.advance(STEP_MS);
        for (const quarantine of quarantines) {
            if (quarantine.findRefusal(["a"]) === undefined) {
                quarantine.startTrials(["a"]);
                trials += 1;
            }
        }
    }
    return trials;
};

// BUDGET: each request that is let through may end an instance.
test("VMs let two requests through for a quarantine in all, however many there are and however often they restart", async () => {
    const { records, timers } = await createStore();
    let trials = 0;
    for (const generation of [1, 2, 3, 4]) {
        const vms = Array.from(
            { length: 20 },
            (unused, index) => startVm(records, timers, generation * 100 + index),
        );
        // Gossip would tell the VMs of the losses before the records are there.
        await timers.advance(STEP_MS);
        trials += await countTrials(timers, vms.map(({ quarantine }) => quarantine));
        vms.forEach(({ store }) => store.stop());
        await timers.advance(STEP_MS);
    }
    expect(trials).toBe(MAX_TRIALS);
});

test("a VM that was told of a loss under the quarantined trait lets no request through", async () => {
    const { records, timers } = await createStore();
    const { quarantine, store } = startVm(records, timers, 1);
    await timers.advance(STEP_MS);
    const losses = [{ instance: 17, ageMs: 10 }];
    const report = { trait: "a", losses, depth: 0, answeredAgeMs: undefined, quarantinedMs: 20 };
    quarantine.applyReports([report], undefined);
    expect(await countTrials(timers, [quarantine])).toBe(0);
    store.stop();
});

test("a VM that was there when the quarantine began lets no request through", async () => {
    const { records, timers } = await createStore();
    const { quarantine, store } = startVm(records, timers, 1);
    await timers.advance(STEP_MS);
    records.write(
        "quarantine",
        "a",
        JSON.stringify({ quarantinedSince: timers.readWallClock(), vm: "vm-0" }),
    );
    await timers.advance(STEP_MS);
    expect(await countTrials(timers, [quarantine])).toBe(0);
    store.stop();
});

test("a claimed trial that no request has used is not used once a loss is known", async () => {
    const { records, timers } = await createStore();
    const { quarantine, store } = startVm(records, timers, 1);
    for (let elapsedMs = 0; elapsedMs < CLAIM_MS; elapsedMs += STEP_MS) {
        await timers.advance(STEP_MS);
        quarantine.findRefusal(["a"]);
    }
    expect(quarantine.findRefusal(["a"])).toBeUndefined();
    quarantine.recordLoss(["a"], createInstance());
    expect(quarantine.findRefusal(["a"])).toMatchObject({ trait: "a" });
    store.stop();
});

test("an answer to a trial ends the quarantine and removes its record", async () => {
    const { records, timers } = await createStore();
    const { quarantine, store } = startVm(records, timers, 1);
    await timers.advance(STEP_MS);
    expect(await countTrials(timers, [quarantine], CLAIM_MS)).toBeGreaterThan(0);
    quarantine.recordAnswer(["a"]);
    await timers.advance(STEP_MS);
    expect(quarantine.findRefusal(["a"])).toBeUndefined();
    expect((await records.readSnapshot("quarantine")).unwrap().records).toEqual([]);
    store.stop();
});
