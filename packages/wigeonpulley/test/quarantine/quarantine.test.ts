import { expect, test } from "vitest";
import {
    EventLogger,
    MemorySink,
    Quarantine,
    QUARANTINE_MS,
    QuarantineStore,
    SeededRandom,
    VirtualTimerService,
} from "wigeonpulley";
import { InMemoryKeyedStore } from "../fixtures/in-memory-keyed-store.js";
import { createInstance } from "../fixtures/raw-endpoint.js";
import { WaitingKeyedStore } from "../fixtures/waiting-keyed-store.js";

const SETTLE_MS = 1_600;
const LOSS_WINDOW_MS = 60_000;

const createQuarantine = (timers = VirtualTimerService.create()) => {
    const log = MemorySink.create();
    const logger = EventLogger.create(log);
    return { timers, log, logger, quarantine: Quarantine.create({ timers, logger }) };
};

const recordLosses = (
    quarantine: Quarantine,
    traits: readonly string[],
    instances: readonly string[],
): void => instances.forEach(id => quarantine.recordLoss(traits, createInstance({ id })));

test("three instances that lose responses with a block that nobody saw answered quarantine it after a settling time", async () => {
    const { timers, quarantine } = createQuarantine();
    recordLosses(quarantine, ["a"], ["i-1", "i-2"]);
    expect(quarantine.isSuspicious(["a"])).toBe(true);
    await timers.advance(SETTLE_MS);
    expect(quarantine.findQuarantined(["a"])).toBeUndefined();
    recordLosses(quarantine, ["a"], ["i-3"]);
    expect(quarantine.findQuarantined(["a"])).toBeUndefined();
    await timers.advance(SETTLE_MS);
    expect(quarantine.findQuarantined(["b", "a"])).toMatchObject({ trait: "a" });
});

test("losses at one instance count once, and those of the next incarnation count again", async () => {
    const { timers, quarantine } = createQuarantine();
    recordLosses(quarantine, ["a"], ["i-1", "i-1", "i-1", "i-1"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.findQuarantined(["a"])).toBeUndefined();
    [1, 2].forEach(bornMs => quarantine.recordLoss(["a"], createInstance({ id: "i-1", bornMs })));
    await timers.advance(SETTLE_MS);
    expect(quarantine.findQuarantined(["a"])).toMatchObject({ trait: "a" });
});

test("losses that are a minute and more apart add up while nobody sees the block answered", async () => {
    const { timers, quarantine } = createQuarantine();
    for (const instance of ["i-1", "i-2", "i-3"]) {
        await timers.advance(2 * LOSS_WINDOW_MS);
        recordLosses(quarantine, ["a"], [instance]);
    }
    await timers.advance(SETTLE_MS);
    expect(quarantine.findQuarantined(["a"])).toBeDefined();
});

test("a block that all prompts share is not quarantined with the harmful one, though nobody saw it answered", async () => {
    const { timers, quarantine } = createQuarantine();
    recordLosses(quarantine, ["system", "harmful"], ["i-1", "i-2", "i-3", "i-4"]);
    // Sound requests at the same engines, and at one whose harmful request another VM has lost.
    recordLosses(quarantine, ["system"], ["i-1", "i-2", "i-5"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.listQuarantined().map(({ trait }) => trait)).toEqual(["harmful"]);
});

test("a harmful first block is found though the blocks after it are lost with it", async () => {
    const { timers, quarantine } = createQuarantine();
    for (const index of [1, 2, 3, 4, 5, 6]) {
        recordLosses(quarantine, ["harmful", `subject-${index % 3}`], [`i-${index}`]);
    }
    await timers.advance(SETTLE_MS);
    expect(quarantine.listQuarantined().map(({ trait }) => trait)).toEqual(["harmful"]);
});

test("many blocks under suspicion don't displace a quarantined one", async () => {
    const { timers, quarantine } = createQuarantine();
    recordLosses(quarantine, ["a"], ["i-1", "i-2", "i-3"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.findQuarantined(["a"])).toBeDefined();
    for (let index = 0; index < 2_000; index += 1) {
        recordLosses(quarantine, [`rare-${index}`], ["i-4"]);
    }
    expect(quarantine.findQuarantined(["a"])).toBeDefined();
});

// A VM whose connections break, or the loss of a whole rack, must not ban the prompts that were running.
test("connections to all instances that break at the same moment quarantine no block that was answered before", async () => {
    const { timers, quarantine } = createQuarantine();
    quarantine.recordAnswer(["system"]);
    await timers.advance(1_000);
    recordLosses(quarantine, ["system"], ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"]);
    await timers.advance(10_000);
    expect(quarantine.findQuarantined(["system"])).toBeUndefined();
});

test("a block that was answered before is quarantined after losses at more instances, spread over a longer time", async () => {
    const { timers, quarantine } = createQuarantine();
    quarantine.recordAnswer(["a"]);
    for (let index = 1; index <= 6; index += 1) {
        await timers.advance(500);
        recordLosses(quarantine, ["a"], [`i-${index}`]);
    }
    await timers.advance(SETTLE_MS);
    expect(quarantine.findQuarantined(["a"])).toMatchObject({ trait: "a" });
});

test("an answer clears earlier losses and ends a quarantine", async () => {
    const { timers, quarantine, log } = createQuarantine();
    recordLosses(quarantine, ["a"], ["i-1", "i-2", "i-3"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.listQuarantined()).toHaveLength(1);
    quarantine.recordAnswer(["a"]);
    expect(quarantine.findQuarantined(["a"])).toBeUndefined();
    expect(log.events.map(({ name }) => name)).toEqual(["PromptBlockQuarantined", "PromptBlockReleased"]);
});

test("a quarantine ends with its time; then a single loss renews it", async () => {
    const { timers, quarantine } = createQuarantine();
    recordLosses(quarantine, ["a"], ["i-1", "i-2", "i-3"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.findQuarantined(["a"])).toBeDefined();
    await timers.advance(QUARANTINE_MS);
    expect(quarantine.findQuarantined(["a"])).toBeUndefined();
    recordLosses(quarantine, ["a"], ["i-4"]);
    expect(quarantine.findQuarantined(["a"])).toBeDefined();
});

test("after the probation a block is judged like any other again", async () => {
    const { timers, quarantine } = createQuarantine();
    recordLosses(quarantine, ["a"], ["i-1", "i-2", "i-3"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.listQuarantined()).toHaveLength(1);
    await timers.advance(3 * QUARANTINE_MS);
    recordLosses(quarantine, ["a"], ["i-4", "i-5"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.listQuarantined()).toEqual([]);
    recordLosses(quarantine, ["a"], ["i-6"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.listQuarantined()).toHaveLength(1);
});

// The store's record of the first quarantine is read again after the quarantine was renewed.
test("an earlier quarantine that has ended doesn't end the one that renewed it", async () => {
    const { timers, quarantine } = createQuarantine();
    recordLosses(quarantine, ["a"], ["i-1", "i-2", "i-3"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.listQuarantined()).toHaveLength(1);
    await timers.advance(QUARANTINE_MS);
    recordLosses(quarantine, ["a"], ["i-4"]);
    expect(quarantine.listQuarantined()).toHaveLength(1);
    // The loss that renewed it is no evidence any more.
    await timers.advance(2 * LOSS_WINDOW_MS);
    quarantine.applyStored("a", 0);
    expect(quarantine.listQuarantined()).toHaveLength(1);
});

test("VMs add up their losses, and an answer at one of them contradicts the losses of the others", async () => {
    const { timers, quarantine: left } = createQuarantine();
    const { quarantine: right } = createQuarantine(timers);
    await timers.advance(1_000);
    recordLosses(left, ["a", "b"], ["i-1", "i-2"]);
    recordLosses(right, ["a", "b"], ["i-2", "i-3"]);
    await timers.advance(100);
    right.recordAnswer(["b"]);
    const askedAt = timers.now();
    right.applyReports(left.listReports(), undefined);
    left.applyReports(right.listReports(), askedAt);
    await timers.advance(SETTLE_MS);
    for (const quarantine of [left, right]) {
        expect(quarantine.findQuarantined(["a"])).toBeDefined();
        expect(quarantine.findQuarantined(["b"])).toBeUndefined();
    }
});

// A report that was on its way for seconds makes an old answer look newer than a crash.
test("an answer in a report that came unasked releases nothing", async () => {
    const { timers, quarantine } = createQuarantine();
    recordLosses(quarantine, ["a"], ["i-1", "i-2", "i-3"]);
    await timers.advance(SETTLE_MS);
    const report = { trait: "a", losses: [], depth: 0, answeredAgeMs: 0, quarantinedMs: undefined };
    quarantine.applyReports([report], undefined);
    expect(quarantine.findQuarantined(["a"])).toBeDefined();
    quarantine.applyReports([report], timers.now());
    expect(quarantine.findQuarantined(["a"])).toBeUndefined();
});

test("reports are bounded and carry the quarantined blocks first", async () => {
    const { timers, quarantine } = createQuarantine();
    recordLosses(quarantine, ["a"], ["i-1", "i-2", "i-3"]);
    await timers.advance(SETTLE_MS);
    for (let index = 0; index < 50; index += 1) {
        recordLosses(quarantine, [`rare-${index}`], ["i-4"]);
    }
    recordLosses(quarantine, ["a"], Array.from({ length: 40 }, (unused, index) => `i-${index}`));
    const reports = quarantine.listReports();
    expect(reports).toHaveLength(8);
    expect(reports[0]).toMatchObject({ trait: "a" });
    expect(reports[0]?.losses).toHaveLength(8);
});

/** Starts the quarantine of a VM with its records in a store. */
const startVm = (records: InMemoryKeyedStore, timers: VirtualTimerService, isReachable = () => true) => {
    const { quarantine, logger } = createQuarantine(timers);
    const store = QuarantineStore.create({
        vm: "vm-1",
        timers,
        random: SeededRandom.create(1),
        logger,
        store: WaitingKeyedStore.create(records, timers, isReachable),
        quarantine,
    });
    store.start();
    return { quarantine, store };
};

test("a quarantine is written to the store, kept over a restart and ended when its record is removed", async () => {
    const records = InMemoryKeyedStore.create();
    const timers = VirtualTimerService.create();
    const first = startVm(records, timers);
    recordLosses(first.quarantine, ["a"], ["i-1", "i-2", "i-3"]);
    await timers.advance(SETTLE_MS);
    expect(first.quarantine.findQuarantined(["a"])).toBeDefined();
    await timers.advance(1_000);
    first.store.stop();
    const second = startVm(records, timers);
    records.write("quarantine", "unreadable", "{");
    await timers.advance(100);
    expect(second.quarantine.findQuarantined(["a"])).toBeDefined();
    records.write("quarantine", "a", undefined);
    await timers.advance(1_000);
    expect(second.quarantine.findQuarantined(["a"])).toBeUndefined();
    second.store.stop();
});

// The record of a quarantine that had ended would have banned sound requests at all VMs, for as long as a quarantine lasts.
test("a record is not written any more when its quarantine ended while the store was down", async () => {
    const records = InMemoryKeyedStore.create();
    const timers = VirtualTimerService.create();
    let isReachable = false;
    const { quarantine, store } = startVm(records, timers, () => isReachable);
    recordLosses(quarantine, ["a"], ["i-1", "i-2", "i-3"]);
    await timers.advance(SETTLE_MS);
    expect(quarantine.listQuarantined()).toHaveLength(1);
    await timers.advance(2_000);
    quarantine.recordAnswer(["a"]);
    isReachable = true;
    await timers.advance(10_000);
    expect((await records.readSnapshot("quarantine")).unwrap().records).toEqual([]);
    store.stop();
});
