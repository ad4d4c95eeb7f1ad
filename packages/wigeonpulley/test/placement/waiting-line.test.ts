import { expect, test } from "vitest";
import { RankHeadroom, WaitingLine, type WaitingRequest } from "wigeonpulley";

interface Named extends WaitingRequest {
    readonly name: string;
}

const createLine = (...requests: readonly Named[]): WaitingLine<Named> => {
    const line = WaitingLine.create<Named>();
    requests.forEach(request => line.add(request));
    return line;
};

const createRequest = (
    name: string,
    rank: number,
    arrivedAt: number,
    onTimeUntil = arrivedAt + 600,
): Named => ({
    name,
    rank,
    arrivedAt,
    onTimeUntil,
});

const listNames = (line: WaitingLine<Named>, now: number): readonly string[] =>
    line.listInOrder(now).map(({ name }) => name);

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
    const headroom = RankHeadroom.create();
    [0, 1, 2].forEach(rank => headroom.note(rank, 1_000));
    const limits = [0, 1, 2].map(rank => headroom.computeLimit(rank, 12, 1_500));
    expect(limits).toEqual([14, 11, 10]);
});

test("a rank that is alone uses every place, and one that was not seen lately reserves nothing", () => {
    const headroom = RankHeadroom.create();
    headroom.note(0, 0);
    headroom.note(2, 5_000);
    expect(headroom.computeLimit(2, 12, 5_000)).toBe(13);
});

test("an instance with one slot stays usable for every rank", () => {
    const headroom = RankHeadroom.create();
    [0, 1, 2, 3].forEach(rank => headroom.note(rank, 0));
    expect(headroom.computeLimit(3, 1, 0)).toBe(1);
});
