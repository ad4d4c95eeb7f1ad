import { expect, test } from "vitest";
import { combineRanks, type QueuedRequest, RankFairness, RankQueue, RankReservation } from "wigeonpulley";

interface NamedRequest extends QueuedRequest {
    readonly name: string;
}

const createQueue = (...requests: readonly NamedRequest[]): RankQueue<NamedRequest> => {
    const queue = RankQueue.create<NamedRequest>();
    requests.forEach(request => queue.add(request));
    return queue;
};

const createRequest = (
    name: string,
    rank: number,
    arrivedAt: number,
    latestOnTimeStartAt = arrivedAt + 600,
): NamedRequest => ({
    name,
    rank,
    arrivedAt,
    latestOnTimeStartAt,
});

const listNames = (queue: RankQueue<NamedRequest>, now: number): readonly string[] =>
    queue.listInDispatchOrder(now).map(({ name }) => name);

const createSlots = (slots: number, id = "i-1") => ({ id, slots });

test("requests are ordered by rank before arrival", () => {
    const queue = createQueue(createRequest("b", 1, 0), createRequest("c", 2, 0), createRequest("a", 0, 50));
    expect(listNames(queue, 100)).toEqual(["a", "b", "c"]);
});

test("within a rank, requests that can still be on time go before those that can't", () => {
    const queue = createQueue(
        createRequest("late", 1, 0),
        createRequest("fresh", 1, 500),
        createRequest("fresher", 1, 600),
    );
    expect(listNames(queue, 700)).toEqual(["fresh", "fresher", "late"]);
});

test("a request that can no longer be on time still goes before any request of a lower rank", () => {
    const queue = createQueue(createRequest("late", 0, 0), createRequest("fresh", 1, 900));
    expect(listNames(queue, 1_000)).toEqual(["late", "fresh"]);
});

test("a request that is queued again keeps its position by arrival", () => {
    const queue = createQueue(createRequest("second", 1, 20), createRequest("third", 1, 30));
    queue.add(createRequest("first", 1, 10));
    expect(listNames(queue, 40)).toEqual(["first", "second", "third"]);
});

test("on a full engine the best rank finds a slot that the lower ranks left free", () => {
    const reservation = RankReservation.create();
    [0, 1, 2].forEach(rank => reservation.recordRequest(rank, 1_000));
    const limits = [0, 1, 2].map(rank => reservation.computeInFlightLimit(rank, createSlots(12), 1_500));
    expect(limits).toEqual([14, 11, 11]);
});

test("a rank in use alone gets every slot, and a rank not used recently reserves none", () => {
    const reservation = RankReservation.create();
    reservation.recordRequest(0, 0);
    reservation.recordRequest(2, 5_000);
    expect(reservation.computeInFlightLimit(2, createSlots(12), 5_000)).toBe(13);
});

test.each([2, 6, 9, 10, 18])(
    "lower ranks leave one slot in twelve free over instances of %i slots",
    slots => {
        const reservation = RankReservation.create();
        [0, 1].forEach(rank => reservation.recordRequest(rank, 0));
        const count = 600;
        const limits = Array.from(
            { length: count },
            (unused, index) => reservation.computeInFlightLimit(1, createSlots(slots, `i-${index}`), 0),
        );
        const reserved = count * slots - limits.reduce((sum, limit) => sum + limit, 0);
        expect(reserved / (count * slots)).toBeGreaterThan(1 / 14);
        expect(reserved / (count * slots)).toBeLessThan(1 / 10);
    },
);

test("an instance with one slot stays usable for every rank", () => {
    const reservation = RankReservation.create();
    [0, 1, 2, 3].forEach(rank => reservation.recordRequest(rank, 0));
    expect(reservation.computeInFlightLimit(3, createSlots(1), 0)).toBe(1);
});

test("under lasting overload a starved rank goes before a better one until it has caught up, never before the best", () => {
    const fairness = RankFairness.create();
    for (let count = 0; count < 10; count += 1) {
        fairness.recordOutcome(0, true, 0);
        fairness.recordOutcome(1, count % 2 === 0, 0);
        fairness.recordOutcome(2, false, 0);
    }
    const order = [0, 1, 2].toSorted((left, right) =>
        fairness.computeEffectiveRank(left, 10) - fairness.computeEffectiveRank(right, 10)
    );
    expect(order).toEqual([0, 2, 1]);
    for (let count = 0; count < 12; count += 1) {
        fairness.recordOutcome(2, true, 20);
    }
    expect(fairness.computeEffectiveRank(2, 20)).toBe(2);
});

test("without refusals every rank keeps its position", () => {
    const fairness = RankFairness.create();
    [0, 1, 2].forEach(rank =>
        Array.from({ length: 20 }).forEach(() => fairness.recordOutcome(rank, true, 0))
    );
    expect([0, 1, 2].map(rank => fairness.computeEffectiveRank(rank, 0))).toEqual([0, 1, 2]);
});

test("workspace ranks go first, and the best route rank within a workspace rank stays ahead of the others", () => {
    const fairness = RankFairness.create();
    const ranks = [combineRanks(0, 2), combineRanks(1, 0), combineRanks(1, 1), combineRanks(1, 2)];
    ranks.forEach((rank, index) =>
        Array.from({ length: 10 }).forEach((unused, count) =>
            fairness.recordOutcome(rank, count < [9, 7, 5, 2][index]!, 0)
        )
    );
    const order = ranks.toSorted((left, right) =>
        fairness.computeEffectiveRank(left, 0) - fairness.computeEffectiveRank(right, 0)
    );
    expect(order).toEqual([combineRanks(0, 2), combineRanks(1, 0), combineRanks(1, 2), combineRanks(1, 1)]);
});

test("with two ranks the lower one never goes before the best", () => {
    const fairness = RankFairness.create();
    Array.from({ length: 20 }).forEach(() => {
        fairness.recordOutcome(0, true, 0);
        fairness.recordOutcome(1, false, 0);
    });
    expect(fairness.computeEffectiveRank(1, 0)).toBe(1);
});
