import { expect, test } from "vitest";
import { EventLogger, type Instance, MemorySink, Quarantine, VirtualTimerService } from "wigeonpulley";
import { createInstance } from "../fixtures/raw-endpoint.js";

const SETTLE_MS = 1_600;
/** Time after which an answer counts as one of the incarnation that lost a response. */
const CONFIRMED_MS = 600;
const INSTANCES = ["i-1", "i-2", "i-3", "i-4"].map((id, index) => createInstance({ id, bornMs: index + 1 }));

const createQuarantine = (timers: VirtualTimerService, list: () => readonly Instance[] = () => INSTANCES) =>
    Quarantine.create({ timers, logger: EventLogger.create(MemorySink.create()), listInstances: list });

/** Loses the responses of all instances to requests with the block "a" at the same moment. */
const loseAll = (quarantine: Quarantine): void =>
    INSTANCES.forEach(instance => quarantine.recordLoss(["a"], instance));

const isQuarantined = (quarantine: Quarantine): boolean => quarantine.findQuarantined(["a"]) !== undefined;

test("instances that answer later requests did not crash", async () => {
    const timers = VirtualTimerService.create();
    const quarantine = createQuarantine(timers);
    loseAll(quarantine);
    await timers.advance(100);
    INSTANCES.forEach(instance => quarantine.recordResponse(instance, timers.now()));
    await timers.advance(SETTLE_MS);
    expect(isQuarantined(quarantine)).toBe(false);
});

test("a quarantine ends when its instances answer, and another VM doesn't bring it back", async () => {
    const timers = VirtualTimerService.create();
    const quarantine = createQuarantine(timers);
    const other = createQuarantine(timers);
    loseAll(quarantine);
    loseAll(other);
    await timers.advance(SETTLE_MS);
    expect(isQuarantined(quarantine)).toBe(true);
    expect(isQuarantined(other)).toBe(true);
    INSTANCES.forEach(instance => quarantine.recordResponse(instance, timers.now()));
    await timers.advance(CONFIRMED_MS);
    expect(isQuarantined(quarantine)).toBe(false);
    quarantine.applyReports(other.listReports(), timers.now());
    expect(isQuarantined(quarantine)).toBe(false);
    other.applyLiveInstances(quarantine.listLiveInstances(), timers.now());
    expect(isQuarantined(other)).toBe(false);
});

// What an instance had sent before it crashed may arrive after another VM has lost its connection.
test("bytes of an earlier response count once they can't have been on their way since before the loss", async () => {
    const timers = VirtualTimerService.create();
    const quarantine = createQuarantine(timers);
    await timers.advance(100);
    loseAll(quarantine);
    await timers.advance(500);
    INSTANCES.forEach(instance => quarantine.recordResponse(instance, 50));
    await timers.advance(SETTLE_MS);
    expect(isQuarantined(quarantine)).toBe(true);
    INSTANCES.forEach(instance => quarantine.recordResponse(instance, 50));
    expect(isQuarantined(quarantine)).toBe(false);
});

// A VM that doesn't know yet that a server has started again takes its answers for those of the one before.
test("an answer doesn't count when the directory has another incarnation soon after", async () => {
    const timers = VirtualTimerService.create();
    let listed: readonly Instance[] = INSTANCES;
    const quarantine = createQuarantine(timers, () => listed);
    loseAll(quarantine);
    await timers.advance(1_000);
    INSTANCES.forEach(instance => quarantine.recordResponse(instance, timers.now()));
    await timers.advance(200);
    listed = INSTANCES.map(instance => ({ ...instance, bornMs: instance.bornMs + 1_000 }));
    await timers.advance(SETTLE_MS);
    expect(isQuarantined(quarantine)).toBe(true);
});

// BUDGET: a VM that is cut off from the store would withdraw the crashes that all others count.
test("what another VM takes for a life doesn't count when this VM's directory has another incarnation", async () => {
    const timers = VirtualTimerService.create();
    const cutOff = createQuarantine(timers);
    const restarted = INSTANCES.map(instance => ({ ...instance, bornMs: instance.bornMs + 1_000 }));
    const quarantine = createQuarantine(timers, () => restarted);
    [cutOff, quarantine].forEach(loseAll);
    await timers.advance(100);
    INSTANCES.forEach(instance => cutOff.recordResponse(instance, timers.now()));
    await timers.advance(CONFIRMED_MS);
    expect(cutOff.listLiveInstances()).toHaveLength(INSTANCES.length);
    quarantine.applyLiveInstances(cutOff.listLiveInstances(), timers.now());
    await timers.advance(SETTLE_MS);
    expect(isQuarantined(quarantine)).toBe(true);
});

test("an instance whose start is unknown is not taken to have lived on", async () => {
    const timers = VirtualTimerService.create();
    const instances = INSTANCES.map(instance => ({ ...instance, bornMs: 0 }));
    const quarantine = createQuarantine(timers, () => instances);
    instances.forEach(instance => quarantine.recordLoss(["a"], instance));
    await timers.advance(100);
    instances.forEach(instance => quarantine.recordResponse(instance, timers.now()));
    await timers.advance(SETTLE_MS);
    expect(isQuarantined(quarantine)).toBe(true);
});

// BUDGET: crashes after the instances had lost answers must count like any others.
test("instances that lost answers, lived on and crash later are counted, also by a VM that hears of it", async () => {
    const timers = VirtualTimerService.create();
    const quarantine = createQuarantine(timers);
    const other = createQuarantine(timers);
    loseAll(quarantine);
    other.applyReports(quarantine.listReports(), timers.now());
    await timers.advance(100);
    INSTANCES.forEach(instance => quarantine.recordResponse(instance, timers.now()));
    await timers.advance(CONFIRMED_MS);
    expect(quarantine.listLiveInstances()).toHaveLength(INSTANCES.length);
    other.applyLiveInstances(quarantine.listLiveInstances(), timers.now());
    await timers.advance(1_000);
    loseAll(quarantine);
    other.applyReports(quarantine.listReports(), timers.now());
    await timers.advance(SETTLE_MS);
    expect(isQuarantined(quarantine)).toBe(true);
    expect(isQuarantined(other)).toBe(true);
});

test("a crash counts although the instance had lived on after a loss that this VM still remembers", async () => {
    const timers = VirtualTimerService.create();
    const quarantine = createQuarantine(timers);
    loseAll(quarantine);
    await timers.advance(100);
    const answeredAt = timers.now();
    await timers.advance(1_500);
    loseAll(quarantine);
    // The answer came before the crash and is read after it.
    INSTANCES.forEach(instance => quarantine.recordResponse(instance, answeredAt));
    await timers.advance(SETTLE_MS);
    expect(isQuarantined(quarantine)).toBe(true);
});

// A report that was on its way for seconds makes an old life look newer than a crash.
test("lives in a report that came unasked withdraw nothing", async () => {
    const timers = VirtualTimerService.create();
    const quarantine = createQuarantine(timers);
    const other = createQuarantine(timers);
    loseAll(quarantine);
    loseAll(other);
    await timers.advance(SETTLE_MS);
    INSTANCES.forEach(instance => quarantine.recordResponse(instance, timers.now()));
    await timers.advance(CONFIRMED_MS);
    expect(isQuarantined(quarantine)).toBe(false);
    other.applyLiveInstances(quarantine.listLiveInstances(), undefined);
    expect(isQuarantined(other)).toBe(true);
});

// One VM's wrong evidence must not end what rests on the crashes that the others saw.
test("a quarantine stays while two instances are left that nobody saw alive, and one that was adopted stays, too", async () => {
    const timers = VirtualTimerService.create();
    const quarantine = createQuarantine(timers);
    loseAll(quarantine);
    await timers.advance(SETTLE_MS);
    expect(isQuarantined(quarantine)).toBe(true);
    INSTANCES.slice(2).forEach(instance => quarantine.recordResponse(instance, timers.now()));
    await timers.advance(CONFIRMED_MS);
    expect(isQuarantined(quarantine)).toBe(true);
    const adopting = createQuarantine(timers);
    adopting.applyStored("a", timers.now());
    adopting.recordLoss(["b"], INSTANCES[0] ?? createInstance());
    await timers.advance(100);
    INSTANCES.forEach(instance => adopting.recordResponse(instance, timers.now()));
    await timers.advance(CONFIRMED_MS);
    expect(isQuarantined(adopting)).toBe(true);
});
