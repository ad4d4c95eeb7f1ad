import { expect, test } from "vitest";
import { EventLogger, MemorySink, SeededRandom, TopicFollower, VirtualTimerService } from "wigeonpulley";
import { InMemoryKeyedStore } from "../fixtures/in-memory-keyed-store.js";

const createFollower = () => {
    const store = InMemoryKeyedStore.create();
    const timers = VirtualTimerService.create();
    const sink = MemorySink.create();
    const seen: string[] = [];
    let confirms = 0;
    const follower = TopicFollower.create({
        store,
        topic: "operator",
        timers,
        random: SeededRandom.create(1),
        logger: EventLogger.create(sink),
        longPollMs: 0,
        pauseMs: 100,
        listener: {
            applySnapshot: records => seen.push(`list ${records.map(({ key }) => key).join(",")}`),
            applyChanges: records =>
                records.forEach(({ key, value }) =>
                    seen.push(value === undefined ? `drop ${key}` : `put ${key}`)
                ),
            confirm: () => {
                confirms += 1;
            },
            handleStoreLost: () => seen.push("lost"),
            handleStoreRecovered: () => seen.push("back"),
        },
    });
    return { store, timers, follower, seen, sink, countConfirms: () => confirms };
};

test("a topic is listed once and then read from where the list ended", async () => {
    const { store, timers, follower, seen } = createFollower();
    store.write("operator", "a", "1");
    follower.start();
    await timers.advance(10);
    store.write("operator", "b", "1");
    store.write("operator", "a", undefined);
    await timers.advance(200);
    expect(seen).toEqual(["list a", "put b", "drop a"]);
});

test("an outage changes nothing of what is known, and confirms nothing", async () => {
    const { store, timers, follower, seen, countConfirms } = createFollower();
    store.write("operator", "a", "1");
    follower.start();
    await timers.advance(10);
    store.isUnavailable = true;
    await timers.advance(200);
    const confirmed = countConfirms();
    await timers.advance(5_000);
    expect(seen).toEqual(["list a", "lost"]);
    expect(countConfirms()).toBe(confirmed);
    store.isUnavailable = false;
    await timers.advance(1_200);
    expect(seen).toEqual(["list a", "lost", "back"]);
    expect(countConfirms()).toBeGreaterThan(confirmed);
});

test("reads that fail are repeated with growing delays", async () => {
    const { store, timers, follower } = createFollower();
    store.isUnavailable = true;
    follower.start();
    await timers.advance(10_000);
    expect(store.callCount).toBeLessThan(25);
    expect(store.callCount).toBeGreaterThan(9);
});

test("a topic whose history was forgotten is listed anew, and what is missing then is gone", async () => {
    const { store, timers, follower, seen } = createFollower();
    store.write("operator", "a", "1");
    store.write("operator", "b", "1");
    follower.start();
    await timers.advance(10);
    store.write("operator", "a", undefined);
    store.write("operator", "c", "1");
    store.trimHistory("operator");
    await timers.advance(300);
    expect(seen).toEqual(["list a,b", "list b,c"]);
});

test("a refresh reads beside the regular reads and applies nothing twice", async () => {
    const { store, timers, follower, seen } = createFollower();
    follower.start();
    await timers.advance(10);
    store.write("operator", "a", "1");
    await Promise.all([follower.refresh(), follower.refresh()]);
    await timers.advance(300);
    expect(seen).toEqual(["list ", "put a"]);
});
