/** A follower whose store returns a long backlog in parts. */
import { expect, test } from "vitest";
import {
    EventLogger,
    MemorySink,
    SeededRandom,
    TopicFollower,
    type TopicPosition,
    VirtualTimerService,
} from "wigeonpulley";
import { InMemoryKeyedStore } from "../fixtures/in-memory-keyed-store.js";
import { WaitingKeyedStore } from "../fixtures/waiting-keyed-store.js";

const LONG_POLL_MS = 4_000;
/** Pause between reads; reading a backlog must not take one for each part. */
const PAUSE_MS = 500;
const MAX_RECORDS = 10;
/** Time for one read of a store that responds after 4 ms, with a margin. */
const READ_MS = 10;

/** Creates a follower of a topic with one record, which it has read, behind a store that returns ten records at most. */
const createFollower = async () => {
    const timers = VirtualTimerService.create();
    const records = InMemoryKeyedStore.create();
    records.maxRecords = MAX_RECORDS;
    const applied: number[] = [];
    /** Number of records that were applied at each confirmation. */
    const confirmations: number[] = [];
    let isReachable = true;
    const follower = TopicFollower.create({
        store: WaitingKeyedStore.create(records, timers, () => isReachable),
        topic: "operator",
        timers,
        random: SeededRandom.create(1),
        logger: EventLogger.create(MemorySink.create()),
        longPollMs: LONG_POLL_MS,
        pauseMs: PAUSE_MS,
        listener: {
            applySnapshot: snapshot => applied.push(...snapshot.map(({ offset }) => offset)),
            applyChanges: changes => applied.push(...changes.map(({ offset }) => offset)),
            confirm: () => confirmations.push(applied.length),
            handleStoreLost: () => undefined,
            handleStoreRecovered: () => undefined,
        },
    });
    const write = (count: number): void => {
        for (let index = 0; index < count; index += 1) {
            records.write("operator", "config", "1");
        }
    };
    write(1);
    await Promise.all([follower.catchUp(), timers.advance(READ_MS)]);
    confirmations.length = 0;
    return {
        timers,
        records,
        follower,
        applied,
        confirmations,
        write,
        setReachable: (value: boolean): void => {
            isReachable = value;
        },
    };
};

/** Offsets of a topic's first records. */
const listOffsets = (count: number): readonly number[] =>
    Array.from({ length: count }, (unused, index) => index);

// Guards against CONFIG: the first part of a backlog confirmed the configuration in it, and a revoked key was admitted.
test("only the last part of a backlog confirms, and all parts are read without a pause", async () => {
    const { timers, follower, applied, confirmations, write, setReachable } = await createFollower();
    follower.start();
    setReachable(false);
    await timers.advance(8_000);
    write(45);
    setReachable(true);
    await timers.advance(2_000);
    expect(confirmations.length).toBeGreaterThan(0);
    expect(confirmations.filter(count => count < 46)).toEqual([]);
    expect(applied).toEqual(listOffsets(46));
});

// Guards against EXPOSURE: the state of a roll-out was written on the strength of a part of the orders.
test("a follower has caught up only when it has read to the end", async () => {
    const { timers, follower, applied, confirmations, write } = await createFollower();
    write(45);
    let hasCaughtUp: boolean | undefined;
    void follower.catchUp().then(value => {
        hasCaughtUp = value;
    });
    await timers.advance(READ_MS);
    expect(applied.length).toBeGreaterThan(MAX_RECORDS);
    expect(hasCaughtUp).toBeUndefined();
    await timers.advance(5 * READ_MS);
    expect(hasCaughtUp).toBe(true);
    expect(applied).toEqual(listOffsets(46));
    expect(confirmations).toEqual([46]);
});

test("a follower whose store is lost between two parts has not caught up", async () => {
    const { timers, follower, confirmations, write, setReachable } = await createFollower();
    write(45);
    const caughtUp = follower.catchUp();
    await timers.advance(READ_MS);
    setReachable(false);
    await timers.advance(5 * READ_MS);
    expect(await caughtUp).toBe(false);
    expect(confirmations).toEqual([]);
});

// Guards against SHORT: reads beside each other fetched the same part twice over one link.
test("reads beside each other fetch each part once", async () => {
    const { timers, records, follower, applied, write, setReachable } = await createFollower();
    follower.start();
    setReachable(false);
    await timers.advance(8_000);
    write(200);
    setReachable(true);
    const bytesBefore = records.deliveredBytes;
    const stopAsking = timers.scheduleRepeating(1, () => follower.refreshWhenAvailable());
    await timers.advance(2_000);
    stopAsking();
    expect(applied).toEqual(listOffsets(201));
    // A refresh that starts beside the first response may fetch that part again.
    expect(records.deliveredBytes - bytesBefore).toBeLessThanOrEqual(200 + MAX_RECORDS);
});

// Guards against CONFIG and SHORT: a backlog without end confirms nothing, and what was read is applied all the same.
test("a backlog that grows faster than it is read is applied and never confirmed", async () => {
    const { timers, records, follower, applied, confirmations, write } = await createFollower();
    write(MAX_RECORDS);
    const stopWriting = timers.scheduleRepeating(1, () => write(4));
    follower.start();
    await timers.advance(100);
    const caughtUp = follower.catchUp();
    await timers.advance(2_000);
    expect(await caughtUp).toBe(false);
    expect(confirmations).toEqual([]);
    expect(applied).toEqual(listOffsets(applied.length));
    // Some 500 reads of ten records, one after the other.
    expect(applied.length).toBeGreaterThan(4_000);
    stopWriting();
    const backlog = countRecords(follower.readPosition, records);
    await timers.advance(backlog);
    expect(confirmations.length).toBeGreaterThan(0);
    expect(applied).toEqual(listOffsets(applied.length));
});

const countRecords = (position: TopicPosition | undefined, records: InMemoryKeyedStore): number =>
    records.countRecords("operator") - (position?.offset ?? 0);
