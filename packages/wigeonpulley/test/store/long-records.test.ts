/** A follower whose records take long to arrive. */
import { expect, test } from "vitest";
import {
    type ClockReading,
    EventLogger,
    MemorySink,
    SeededRandom,
    TopicFollower,
    VirtualTimerService,
} from "wigeonpulley";
import { InMemoryKeyedStore } from "../fixtures/in-memory-keyed-store.js";
import { SlowLinkStore } from "../fixtures/slow-link-store.js";

const LONG_POLL_MS = 4_000;
const TRANSFER_MS = 2_000;
/** Interval at which a refresh is asked for while the age of what was read matters. */
const REFRESH_INTERVAL_MS = 150;

const createFollower = () => {
    const timers = VirtualTimerService.create();
    const records = InMemoryKeyedStore.create();
    const store = SlowLinkStore.create(records, timers);
    const applied: string[] = [];
    const confirmations: ClockReading[] = [];
    const follower = TopicFollower.create({
        store,
        topic: "operator",
        timers,
        random: SeededRandom.create(1),
        logger: EventLogger.create(MemorySink.create()),
        longPollMs: LONG_POLL_MS,
        pauseMs: 0,
        listener: {
            applySnapshot: snapshot => snapshot.forEach(({ key }) => applied.push(key)),
            applyChanges: changes => changes.forEach(({ key }) => applied.push(key)),
            confirm: sentAt => confirmations.push(sentAt),
            handleStoreLost: () => undefined,
            handleStoreRecovered: () => undefined,
        },
    });
    const write = (key: string): void => records.write("operator", key, "1");
    /** Starts to follow a topic with one record, up to a long poll that waits for the next one. */
    const startFollowing = async (): Promise<void> => {
        write("a");
        follower.start();
        await timers.advance(100);
        store.transferMs = TRANSFER_MS;
    };
    return { timers, store, follower, applied, confirmations, write, startFollowing };
};

// Guards against SHORT: VMs read a long record twice at the same time over a link that was full of it.
test("no refresh reads records that the regular read is receiving already", async () => {
    const { timers, store, follower, applied, write, startFollowing } = createFollower();
    await startFollowing();
    write("b");
    await timers.advance(50);
    const stopAsking = timers.scheduleRepeating(
        REFRESH_INTERVAL_MS,
        () => follower.refreshWhenAvailable(),
    );
    let mostOngoing = 0;
    for (let elapsedMs = 0; elapsedMs < TRANSFER_MS + 500; elapsedMs += 50) {
        mostOngoing = Math.max(mostOngoing, store.ongoingTransfers);
        await timers.advance(50);
    }
    stopAsking();
    follower.stop();
    expect(applied).toEqual(["a", "b"]);
    expect(mostOngoing).toBe(1);
    expect(store.transferCount).toBe(2);
});

// Guards against SHORT: requests to a VM that has just started ask for the snapshot that it is receiving.
test("no refresh reads a snapshot that a follower which starts is receiving already", async () => {
    const { timers, store, follower, applied, write } = createFollower();
    write("a");
    store.transferMs = TRANSFER_MS;
    follower.start();
    await timers.advance(50);
    const refreshed = follower.refresh();
    await timers.advance(TRANSFER_MS + 50);
    await timers.runUntilSettled(refreshed, 100);
    follower.stop();
    expect(applied).toEqual(["a"]);
    expect(store.transferCount).toBe(1);
});

// Guards against CONFIG: a confirmation by a response that was on its way already would hide a revoked key.
test("a refresh that has waited for a read says what the store held after the refresh was asked for", async () => {
    const { timers, store, follower, applied, confirmations, write, startFollowing } = createFollower();
    await startFollowing();
    write("b");
    await timers.advance(500);
    write("c");
    store.transferMs = 0;
    const askedAt = timers.now();
    const caughtUp = follower.catchUp();
    await timers.runUntilSettled(follower.refresh(), 2 * TRANSFER_MS);
    expect(await timers.runUntilSettled(caughtUp, 2 * TRANSFER_MS)).toBe(true);
    follower.stop();
    expect(applied).toEqual(["a", "b", "c"]);
    // The read that was receiving is dated by its sending, before the refresh was asked for; the others follow it.
    const [snapshot, received, ...later] = confirmations.map(({ monotonicMs }) => monotonicMs);
    expect(snapshot).toBe(0);
    expect(received).toBeLessThan(askedAt);
    expect(later.length).toBeGreaterThan(0);
    later.forEach(sentAtMs => expect(sentAtMs).toBeGreaterThanOrEqual(askedAt));
});

// Guards against SHORT: a refresh that waits for a read that has broken off would wait for ever.
test("a refresh reads when the read that it waits for breaks off", async () => {
    const { timers, store, follower, applied, write, startFollowing } = createFollower();
    await startFollowing();
    store.isBreaking = true;
    write("b");
    await timers.advance(50);
    const refreshed = follower.refresh();
    await timers.advance(TRANSFER_MS - 100);
    expect(store.transferCount).toBe(2);
    await timers.advance(100);
    store.isBreaking = false;
    await timers.runUntilSettled(refreshed, 2 * TRANSFER_MS);
    await timers.advance(100);
    follower.stop();
    expect(applied).toEqual(["a", "b"]);
    expect(store.transferCount).toBe(3);
});

// Guards against CONFIG: a configuration that is confirmed by refreshes alone would grow old.
test("a refresh does not wait for a read that only waits for records", async () => {
    const { timers, follower, confirmations, startFollowing } = createFollower();
    await startFollowing();
    const askedAt = timers.now();
    await timers.runUntilSettled(follower.refresh(), 100);
    follower.stop();
    expect(confirmations.at(-1)?.monotonicMs).toBe(askedAt);
});

// Guards against SHORT: a VM that had the records from another one still waited for its own long read to confirm them.
test("a refresh does not wait for a read whose records came from another VM", async () => {
    const { timers, store, follower, applied, confirmations, write, startFollowing } = createFollower();
    await startFollowing();
    store.transferMs = 8_000;
    const position = follower.readPosition;
    write("b");
    await timers.advance(500);
    expect(position).toBeDefined();
    follower.applyFetched(position, {
        records: [{ key: "b", value: Buffer.from("1"), offset: position?.offset ?? 0 }],
        next: { era: position?.era ?? 0, offset: (position?.offset ?? 0) + 1 },
    });
    const askedAt = timers.now();
    await timers.runUntilSettled(follower.refresh(), 1_000);
    expect(applied).toEqual(["a", "b"]);
    expect(confirmations.at(-1)?.monotonicMs).toBeGreaterThanOrEqual(askedAt);
    await timers.advance(20_000);
    expect(applied).toEqual(["a", "b"]);
    follower.stop();
});
