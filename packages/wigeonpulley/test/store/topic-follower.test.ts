import { expect, test } from "vitest";
import { EventLogger, MemorySink, SeededRandom, TopicFollower, VirtualTimerService } from "wigeonpulley";
import { InMemoryKeyedStore } from "../fixtures/in-memory-keyed-store.js";

const createFollower = () => {
    const store = InMemoryKeyedStore.create();
    const timers = VirtualTimerService.create();
    const sink = MemorySink.create();
    const calls: string[] = [];
    let confirmationCount = 0;
    const follower = TopicFollower.create({
        store,
        topic: "operator",
        timers,
        random: SeededRandom.create(1),
        logger: EventLogger.create(sink),
        longPollMs: 0,
        pauseMs: 100,
        listener: {
            applySnapshot: records => calls.push(`list ${records.map(({ key }) => key).join(",")}`),
            applyChanges: records =>
                records.forEach(({ key, value }) =>
                    calls.push(value === undefined ? `drop ${key}` : `put ${key}`)
                ),
            confirm: () => {
                confirmationCount += 1;
            },
            handleStoreLost: () => calls.push("lost"),
            handleStoreRecovered: () => calls.push("back"),
        },
    });
    return { store, timers, follower, calls, sink, getConfirmationCount: () => confirmationCount };
};

test("a topic is read as a snapshot once and then from the end of the snapshot", async () => {
    const { store, timers, follower, calls } = createFollower();
    store.write("operator", "a", "1");
    follower.start();
    await timers.advance(10);
    store.write("operator", "b", "1");
    store.write("operator", "a", undefined);
    await timers.advance(200);
    expect(calls).toEqual(["list a", "put b", "drop a"]);
});

test("an outage of the store removes nothing and confirms nothing", async () => {
    const { store, timers, follower, calls, getConfirmationCount } = createFollower();
    store.write("operator", "a", "1");
    follower.start();
    await timers.advance(10);
    store.isUnavailable = true;
    await timers.advance(200);
    const countDuringOutage = getConfirmationCount();
    await timers.advance(5_000);
    expect(calls).toEqual(["list a", "lost"]);
    expect(getConfirmationCount()).toBe(countDuringOutage);
    store.isUnavailable = false;
    await timers.advance(1_200);
    expect(calls).toEqual(["list a", "lost", "back"]);
    expect(getConfirmationCount()).toBeGreaterThan(countDuringOutage);
});

test("failed reads are retried with increasing delays", async () => {
    const { store, timers, follower } = createFollower();
    store.isUnavailable = true;
    follower.start();
    await timers.advance(10_000);
    expect(store.callCount).toBeLessThan(25);
    expect(store.callCount).toBeGreaterThan(9);
});

test("a new snapshot is read when the history was trimmed", async () => {
    const { store, timers, follower, calls } = createFollower();
    store.write("operator", "a", "1");
    store.write("operator", "b", "1");
    follower.start();
    await timers.advance(10);
    store.write("operator", "a", undefined);
    store.write("operator", "c", "1");
    store.trimHistory("operator");
    await timers.advance(300);
    expect(calls).toEqual(["list a,b", "list b,c"]);
});

test("a refresh reads in parallel to the regular reads and applies no record twice", async () => {
    const { store, timers, follower, calls } = createFollower();
    follower.start();
    await timers.advance(10);
    store.write("operator", "a", "1");
    await Promise.all([follower.refresh(), follower.refresh()]);
    await timers.advance(300);
    expect(calls).toEqual(["list ", "put a"]);
});

// CONFIG: offsets that a restored store gives out again hid the records that were written there since.
test("records of a restored store are read though they have offsets that were read before", async () => {
    const { store, timers, follower, calls } = createFollower();
    store.write("operator", "a", "1");
    store.copy();
    store.write("operator", "b", "1");
    store.write("operator", "c", "1");
    follower.start();
    await timers.advance(10);
    store.restore();
    store.write("operator", "b", "2");
    store.write("operator", "d", "1");
    await timers.advance(300);
    expect(calls).toEqual(["list a,b,c", "list a,b,d"]);
});

// CONFIG: the copy lacks what the operators have yet to write again.
test("a restored store confirms nothing until writers had time to write again", async () => {
    const { store, timers, follower, getConfirmationCount } = createFollower();
    store.write("operator", "a", "1");
    store.copy();
    follower.start();
    await timers.advance(210);
    store.restore();
    const countBefore = getConfirmationCount();
    await timers.advance(900);
    expect(getConfirmationCount()).toBeLessThanOrEqual(countBefore + 1);
    await timers.advance(1_000);
    expect(getConfirmationCount()).toBeGreaterThan(countBefore + 1);
});

// CONFIG: a follower that takes every shorter history for an old answer would never read such a store again.
test("a topic is read on when it became shorter though the era did not rise", async () => {
    const { store, timers, follower, calls, getConfirmationCount } = createFollower();
    store.write("operator", "a", "1");
    store.copy();
    store.write("operator", "b", "1");
    store.write("operator", "c", "1");
    follower.start();
    await timers.advance(10);
    store.restore(false);
    await timers.advance(1_500);
    const countBefore = getConfirmationCount();
    store.write("operator", "d", "1");
    await timers.advance(300);
    expect(calls).toEqual(["list a,b,c", "list a", "put d"]);
    expect(getConfirmationCount()).toBeGreaterThan(countBefore);
});
