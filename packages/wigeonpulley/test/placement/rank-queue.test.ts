import { expect, test } from "vitest";
import { combineRanks, type QueuedRequest, RankFairness, RankQueue, RankReservation } from "wigeonpulley";

interface Named extends QueuedRequest {
    readonly name: string;
}

const createLine = (...requests: readonly Named[]): RankQueue<Named> => {
    const line = RankQueue.create<Named>();
    requests.forEach(request => line.add(request));
    return line;
};

const createRequest = (
    name: string,
    rank: number,
    arrivedAt: number,
    latestOnTimeStartAt = arrivedAt + 600,
): Named => ({
    name,
    rank,
    arrivedAt,
    latestOnTimeStartAt,
});

const listNames = (line: RankQueue<Named>, now: number): readonly string[] =>
    line.listInDispatchOrder(now).map(({ name }) => name);

test("ranks go strictly before arrival", () => {
    const line = createLine(createRequest("b", 1, 0), createRequest("c", 2, 0), createRequest("a", 0, 50));
    expect(listNames(line, 100)).toEqual(["a", "b", "c"]);
});

test("a burst of one rank: those that can still be on time go before those that can't", () => {
    const line = createLine(
        createRequest("late", 1, 0),
        createRequest("fresh", 1, 500),
        createRequest("fresher", 1, 600),
    );
    expect(listNames(line, 700)).toEqual(["fresh", "fresher", "late"]);
});

test("a late request still goes before any request of a lower rank", () => {
    const line = createLine(createRequest("late", 0, 0), createRequest("fresh", 1, 900));
    expect(listNames(line, 1_000)).toEqual(["late", "fresh"]);
});

test("a request that comes back keeps its place by arrival", () => {
    const line = createLine(createRequest("second", 1, 20), createRequest("third", 1, 30));
    line.add(createRequest("first", 1, 10));
    expect(listNames(line, 40)).toEqual(["first", "second", "third"]);
});

test("a full engine: the best rank finds a place that the lower ranks left free", () => {
    const headroom = RankReservation.create();
    [0, 1, 2].forEach(rank => headroom.recordRequest(rank, 1_000));
    const limits = [0, 1, 2].map(rank => headroom.computeInFlightLimit(rank, 12, 1_500));
    expect(limits).toEqual([14, 11, 11]);
});

test("a rank that is alone uses every place, and one that was not seen lately reserves nothing", () => {
    const headroom = RankReservation.create();
    headroom.recordRequest(0, 0);
    headroom.recordRequest(2, 5_000);
    expect(headroom.computeInFlightLimit(2, 12, 5_000)).toBe(13);
});

test("an instance with one slot stays usable for every rank", () => {
    const headroom = RankReservation.create();
    [0, 1, 2, 3].forEach(rank => headroom.recordRequest(rank, 0));
    expect(headroom.computeInFlightLimit(3, 1, 0)).toBe(1);
});

test("lasting overload: a starved rank goes before a better one until it has caught up, never before the best", () => {
    const balance = RankFairness.create();
    for (let count = 0; count < 10; count += 1) {
        balance.recordOutcome(0, true, 0);
        balance.recordOutcome(1, count % 2 === 0, 0);
        balance.recordOutcome(2, false, 0);
    }
    const order = [0, 1, 2].toSorted((left, right) =>
        balance.computeEffectiveRank(left, 10) - balance.computeEffectiveRank(right, 10)
    );
    expect(order).toEqual([0, 2, 1]);
    for (let count = 0; count < 12; count += 1) {
        balance.recordOutcome(2, true, 20);
    }
    expect(balance.computeEffectiveRank(2, 20)).toBe(2);
});

test("without refusals every rank keeps its own place", () => {
    const balance = RankFairness.create();
    [0, 1, 2].forEach(rank => Array.from({ length: 20 }).forEach(() => balance.recordOutcome(rank, true, 0)));
    expect([0, 1, 2].map(rank => balance.computeEffectiveRank(rank, 0))).toEqual([0, 1, 2]);
});

test("workspaces' ranks go first, and the best rank of each workspace's rank stays in front of its others", () => {
    const balance = RankFairness.create();
    const ranks = [combineRanks(0, 2), combineRanks(1, 0), combineRanks(1, 1), combineRanks(1, 2)];
    ranks.forEach((rank, index) =>
        Array.from({ length: 10 }).forEach((unused, count) =>
            balance.recordOutcome(rank, count < [9, 7, 5, 2][index]!, 0)
        )
    );
    const order = ranks.toSorted((left, right) =>
        balance.computeEffectiveRank(left, 0) - balance.computeEffectiveRank(right, 0)
    );
    expect(order).toEqual([combineRanks(0, 2), combineRanks(1, 0), combineRanks(1, 2), combineRanks(1, 1)]);
});

test("two ranks: the lower one never goes before the best", () => {
    const balance = RankFairness.create();
    Array.from({ length: 20 }).forEach(() => {
        balance.recordOutcome(0, true, 0);
        balance.recordOutcome(1, false, 0);
    });
    expect(balance.computeEffectiveRank(1, 0)).toBe(1);
});
