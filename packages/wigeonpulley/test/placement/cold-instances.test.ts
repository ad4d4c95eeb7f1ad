/** When an instance counts as cold, and from when a VM sends to cold ones. */
import { expect, test } from "vitest";
import {
    ColdInstances,
    EventLogger,
    type Instance,
    InstanceDirectory,
    MemorySink,
    VirtualTimerService,
} from "wigeonpulley";
import { createInstance } from "../fixtures/raw-endpoint.js";

const COLD_START_MS = 20_000;
const WALL_CLOCK_MS = 1_700_000_000_000;
const SERVICE = { name: "stock", coldStartMs: COLD_START_MS, coldPerS: 11 };
/** Start of an instance that has been running for long. */
const LONG_AGO_MS = WALL_CLOCK_MS - 3_600_000;
const WARM = createInstance({ id: "i-1", bornMs: LONG_AGO_MS, sequence: 1 });
/** Longest spacing of four VMs that share a cold instance of the example, in milliseconds. */
const SPACING_MS = 551;
const SETTLED_MS = 2_500;

const createVm = (
    {
        services = [SERVICE],
        wallClockMs = WALL_CLOCK_MS,
        names = ["vm-1", "vm-2", "vm-3", "vm-4"],
        hasReadList = true,
        hasContact = true,
    } = {},
) => {
    const timers = VirtualTimerService.create(wallClockMs);
    const sink = MemorySink.create();
    const logger = EventLogger.create(sink);
    const directory = InstanceDirectory.create(timers, logger);
    const view = { names, hasReadList, hasContact };
    const coldInstances = ColdInstances.create({
        self: "vm-1",
        timers,
        logger,
        directory,
        listVms: () => view.names,
        hasReadVmList: () => view.hasReadList,
        hasContact: () => view.hasContact,
        getTolerance: () => ({ overrun: 1.5, slack: 5 }),
    });
    coldInstances.applyServices(services);
    return {
        timers,
        directory,
        view,
        coldInstances,
        read: (...instances: readonly Instance[]) =>
            directory.applySnapshot(instances.map(instance => ({ id: instance.id, instance }))),
        getRemainingMs: (instance: Instance) => coldInstances.describe(instance)?.remainingMs ?? 0,
        listLogged: (name: string) => sink.events.filter(event => event.name === name),
    };
};

/** A VM that has read a first snapshot without the instance. */
const createReadingVm = () => {
    const vm = createVm();
    vm.read();
    return vm;
};

test("an instance that appears after the first snapshot is cold from then on for the whole cold phase", async () => {
    const vm = createReadingVm();
    await vm.timers.advance(5_000);
    vm.read(WARM);
    expect(vm.getRemainingMs(WARM)).toBe(COLD_START_MS);
    await vm.timers.advance(COLD_START_MS);
    expect(vm.getRemainingMs(WARM)).toBe(0);
    expect(vm.coldInstances.canSend(WARM)).toBe(true);
});

// Clocks differ between machines: one that is ahead would make each new instance seem old.
test.each([-3_600_000, 0, 3_600_000])("a wall clock that is %d ms off doesn't shorten a phase", offsetMs => {
    const vm = createVm({ wallClockMs: WALL_CLOCK_MS + offsetMs });
    vm.read();
    const started = { ...WARM, bornMs: WALL_CLOCK_MS };
    vm.read(started);
    expect(vm.getRemainingMs(started)).toBe(COLD_START_MS);
});

test("an instance of the first snapshot is cold only if it has just started or its record says so", () => {
    const vm = createVm();
    const recent = createInstance({ id: "i-2", bornMs: WALL_CLOCK_MS - COLD_START_MS - 9_000, port: 2 });
    const ahead = createInstance({ id: "i-3", bornMs: WALL_CLOCK_MS + 5_000, port: 3 });
    const recorded = createInstance({ id: "i-4", bornMs: LONG_AGO_MS, coldMs: 700, port: 4 });
    const unknown = createInstance({ id: "i-5", port: 5 });
    vm.read(WARM, recent, ahead, recorded, unknown);
    expect([WARM, recent, ahead, recorded, unknown].map(vm.getRemainingMs))
        .toEqual([0, COLD_START_MS, COLD_START_MS, 700, 0]);
});

test("a new incarnation is cold, and the earlier one doesn't lend it its part", async () => {
    const vm = createReadingVm();
    vm.read(WARM);
    await vm.timers.advance(COLD_START_MS - 100);
    const next = { ...WARM, bornMs: WALL_CLOCK_MS, port: 9 };
    vm.read(next);
    expect(vm.getRemainingMs(next)).toBe(COLD_START_MS);
    expect(vm.coldInstances.canSend(next)).toBe(false);
});

test("an instance that vanishes and comes back as the same incarnation isn't cold by that", async () => {
    const vm = createVm();
    vm.read(WARM);
    vm.read();
    await vm.timers.advance(60_000);
    vm.read({ ...WARM, sequence: 2 });
    expect(vm.getRemainingMs(WARM)).toBe(0);
});

test("the time in a record counts whole from when it was read, and once", async () => {
    const vm = createVm();
    vm.read(WARM);
    const cold = { ...WARM, coldMs: 4_000, sequence: 2 };
    await vm.timers.advance(2_000);
    vm.read(cold);
    await vm.timers.advance(1_000);
    vm.read({ ...cold });
    expect(vm.getRemainingMs(cold)).toBe(3_000);
    await vm.timers.advance(500);
    vm.read({ ...cold, sequence: 3 });
    expect(vm.getRemainingMs(cold)).toBe(4_000);
});

test("a later record ends what an earlier one said, and no record ends the phase after a start", async () => {
    const vm = createVm();
    vm.read(WARM);
    vm.read({ ...WARM, coldMs: 60_000, sequence: 2 });
    vm.read({ ...WARM, sequence: 3 });
    expect(vm.getRemainingMs(WARM)).toBe(0);
    const started = createInstance({ id: "i-2", bornMs: WALL_CLOCK_MS, sequence: 1, port: 2 });
    vm.read(WARM, started);
    await vm.timers.advance(1_000);
    vm.read(WARM, { ...started, sequence: 2 });
    expect(vm.getRemainingMs(started)).toBe(COLD_START_MS - 1_000);
});

// Without a sequence, a record could be older than the one before.
test("a record without a sequence doesn't shorten a phase", () => {
    const vm = createVm();
    const unnumbered = { ...WARM, sequence: 0 };
    vm.read(unnumbered);
    vm.read({ ...unnumbered, coldMs: 6_000 });
    vm.read(unnumbered);
    expect(vm.getRemainingMs(unnumbered)).toBe(6_000);
});

test("all instances of a marked data centre are cold for the time after a start, and no others", async () => {
    const vm = createVm();
    const other = createInstance({ id: "i-2", bornMs: LONG_AGO_MS, dataCentre: "north-1", port: 2 });
    vm.read(WARM, other);
    await vm.timers.advance(30_000);
    vm.coldInstances.markCold("south-1");
    vm.coldInstances.markCold("west-9");
    expect([WARM, other].map(vm.getRemainingMs)).toEqual([COLD_START_MS, 0]);
});

test("a service without a rate for cold instances has none, and one whose rate is removed has none any more", () => {
    const vm = createVm({ services: [{ ...SERVICE, coldPerS: 0 }] });
    vm.read();
    vm.read({ ...WARM, coldMs: 5_000 });
    expect(vm.coldInstances.canSend(WARM)).toBe(true);
    expect(vm.coldInstances.coldCount).toBe(0);
    const limited = createReadingVm();
    limited.read(WARM);
    expect(limited.coldInstances.coldCount).toBe(1);
    limited.coldInstances.applyServices([{ ...SERVICE, coldPerS: 0 }]);
    expect(limited.coldInstances.coldCount).toBe(0);
    expect(limited.coldInstances.canSend(WARM)).toBe(true);
});

test("one event each is logged when an instance turns cold and warm", async () => {
    const vm = createReadingVm();
    vm.read(WARM);
    vm.read({ ...WARM, coldMs: 3_000, sequence: 2 });
    await vm.timers.advance(COLD_START_MS);
    vm.read({ ...WARM, sequence: 3 });
    vm.read({ ...WARM, sequence: 4 });
    expect(vm.listLogged("InstanceCold")).toHaveLength(1);
    expect(vm.listLogged("InstanceWarm")).toHaveLength(1);
});

test("requests to a cold instance keep their spacing from the start of the phase", async () => {
    const vm = createReadingVm();
    await vm.timers.advance(SETTLED_MS);
    vm.read(WARM);
    expect(vm.coldInstances.canSend(WARM)).toBe(false);
    await vm.timers.advance(SPACING_MS);
    expect(vm.coldInstances.canSend(WARM)).toBe(true);
    vm.coldInstances.recordDispatch(WARM);
    expect(vm.coldInstances.canSend(WARM)).toBe(false);
    await vm.timers.advance(SPACING_MS);
    expect(vm.coldInstances.canSend(WARM)).toBe(true);
    expect(vm.coldInstances.describe(WARM)?.ownPerS).toBeGreaterThan(1.8);
});

test("a VM sends nothing to cold instances before it has read the list and known the VMs for the settling time", async () => {
    const vm = createVm({ hasReadList: false });
    vm.read();
    vm.read(WARM);
    await vm.timers.advance(10_000);
    expect(vm.coldInstances.canSend(WARM)).toBe(false);
    vm.view.hasReadList = true;
    vm.coldInstances.refreshVms();
    await vm.timers.advance(SETTLED_MS - 1);
    expect(vm.coldInstances.canSend(WARM)).toBe(false);
    await vm.timers.advance(SPACING_MS);
    expect(vm.coldInstances.canSend(WARM)).toBe(true);
});

// A store that lost the list names few VMs at first; the others register again with their next read.
test("a VM without contact to others settles later, and one that learns of many VMs settles anew", async () => {
    const vm = createVm({ names: ["vm-1", "vm-2"], hasContact: false });
    vm.read();
    vm.read(WARM);
    await vm.timers.advance(9_000);
    expect(vm.coldInstances.canSend(WARM)).toBe(false);
    vm.view.hasContact = true;
    vm.view.names = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"];
    vm.coldInstances.refreshVms();
    await vm.timers.advance(SETTLED_MS - 1);
    expect(vm.coldInstances.canSend(WARM)).toBe(false);
    await vm.timers.advance(SPACING_MS);
    expect(vm.coldInstances.canSend(WARM)).toBe(true);
});

// Guards against one side of a partition that takes the part of the other when the list no longer names its VMs.
test("VMs that are no longer listed keep their part for two minutes", async () => {
    const vm = createVm();
    vm.view.names = Array.from({ length: 58 }, (unused, index) => `vm-${index + 1}`);
    vm.read();
    vm.coldInstances.refreshVms();
    await vm.timers.advance(SETTLED_MS);
    const cold = { ...WARM, coldMs: 300_000, sequence: 2 };
    vm.read(cold);
    const before = vm.coldInstances.describe(cold)?.ownPerS;
    vm.view.names = ["vm-1"];
    await vm.timers.advance(110_000);
    expect(vm.coldInstances.describe(cold)?.ownPerS).toBe(before);
    await vm.timers.advance(20_000);
    expect(vm.coldInstances.describe(cold)?.ownPerS).toBeGreaterThan(2);
});
