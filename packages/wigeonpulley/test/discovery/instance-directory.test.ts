import { expect, test } from "vitest";
import { EventLogger, InstanceDirectory, MemorySink, VirtualTimerService } from "wigeonpulley";
import { createInstance } from "../fixtures/raw-endpoint.js";

const createDirectory = (): {
    readonly directory: InstanceDirectory;
    readonly timers: VirtualTimerService;
} => {
    const timers = VirtualTimerService.create();
    return { directory: InstanceDirectory.create(timers, EventLogger.create(MemorySink.create())), timers };
};
const INSTANCE_A = createInstance({ id: "i-a" });
const INSTANCE_B = createInstance({ id: "i-b", port: 2 });

test("an instance that is missing from a snapshot is removed", () => {
    const { directory } = createDirectory();
    directory.applySnapshot([{ id: "i-a", instance: INSTANCE_A }, { id: "i-b", instance: INSTANCE_B }]);
    directory.applySnapshot([{ id: "i-b", instance: INSTANCE_B }]);
    expect(directory.list()).toEqual([INSTANCE_B]);
});

test("the entries of a draining and of a restarted instance are replaced", () => {
    const { directory } = createDirectory();
    directory.applySnapshot([{ id: "i-a", instance: INSTANCE_A }, { id: "i-b", instance: INSTANCE_B }]);
    expect(directory.list()).toEqual([INSTANCE_A, INSTANCE_B]);
    directory.applyChanges([
        { id: "i-a", instance: { ...INSTANCE_A, state: "draining" } },
        { id: "i-b", instance: { ...INSTANCE_B, bornMs: 5 } },
    ]);
    expect(directory.list()).toEqual([{ ...INSTANCE_A, state: "draining" }, { ...INSTANCE_B, bornMs: 5 }]);
});

test("an entry without an instance removes the known one", () => {
    const { directory } = createDirectory();
    directory.applySnapshot([{ id: "i-a", instance: INSTANCE_A }]);
    directory.applyChanges([{ id: "i-a", instance: undefined }]);
    expect(directory.list()).toEqual([]);
});

test("entries that expired during an outage of the store are kept until live instances had time to register", async () => {
    const { directory, timers } = createDirectory();
    directory.applySnapshot([{ id: "i-a", instance: INSTANCE_A }, { id: "i-b", instance: INSTANCE_B }]);
    directory.handleStoreLost();
    await timers.advance(5_000);
    directory.handleStoreRecovered();
    directory.applySnapshot([]);
    expect(directory.list()).toHaveLength(2);
    await timers.advance(1_000);
    directory.applyChanges([{ id: "i-b", instance: INSTANCE_B }]);
    await timers.advance(1_500);
    expect(directory.list()).toEqual([INSTANCE_B]);
});

test("after an outage of this VM's link alone, an entry that is missing from the snapshot is removed at once", async () => {
    const { directory, timers } = createDirectory();
    directory.applySnapshot([{ id: "i-a", instance: INSTANCE_A }, { id: "i-b", instance: INSTANCE_B }]);
    directory.handleStoreLost();
    await timers.advance(9_000);
    directory.recordServedOthers(timers.now() - 3_000);
    directory.handleStoreRecovered();
    directory.applySnapshot([{ id: "i-b", instance: INSTANCE_B }]);
    expect(directory.list()).toEqual([INSTANCE_B]);
});

test("news that the store served others during the outage ends the grace period of missing entries", async () => {
    const { directory, timers } = createDirectory();
    directory.applySnapshot([{ id: "i-a", instance: INSTANCE_A }, { id: "i-b", instance: INSTANCE_B }]);
    directory.handleStoreLost();
    await timers.advance(9_000);
    directory.handleStoreRecovered();
    directory.applySnapshot([{ id: "i-b", instance: INSTANCE_B }]);
    expect(directory.list()).toHaveLength(2);
    await timers.advance(200);
    directory.recordServedOthers(timers.now() - 1_000);
    expect(directory.list()).toHaveLength(2);
    directory.recordServedOthers(timers.now() - 1_300);
    await timers.advance(900);
    expect(directory.list()).toEqual([INSTANCE_B]);
});

test("news from before an outage, or from after the end of one that hit all VMs, shortens no grace period", async () => {
    const { directory, timers } = createDirectory();
    directory.applySnapshot([{ id: "i-a", instance: INSTANCE_A }, { id: "i-b", instance: INSTANCE_B }]);
    await timers.advance(1_000);
    directory.handleStoreLost();
    await timers.advance(5_000);
    directory.recordServedOthers(timers.now() - 5_000);
    directory.handleStoreRecovered();
    directory.applySnapshot([]);
    await timers.advance(300);
    directory.recordServedOthers(timers.now() - 100);
    await timers.advance(1_800);
    expect(directory.list()).toHaveLength(2);
    await timers.advance(100);
    expect(directory.list()).toEqual([]);
});
