import { expect, test } from "vitest";
import { ByteBudget, VirtualTimerService } from "wigeonpulley";

const STALLED_MS = 600;

const createBudget = () => {
    const timers = VirtualTimerService.create();
    return { timers, budget: ByteBudget.create({ timers, limitBytes: 1_000 }) };
};

/** Opens an upload that holds bytes; records in `displaced` when the budget ends it. */
const openUpload = (budget: ByteBudget, bytes: number, name: string, displaced: string[]) => {
    const account = budget.open("requests");
    account.startUpload(() => {
        displaced.push(name);
        account.set(0);
        account.finishUpload();
    });
    expect(account.tryAdd(bytes)).toBe(true);
    return account;
};

// Guards against GONE: the budget must hold whatever is asked for.
test("bytes beyond the budget are refused, and released bytes are available again", () => {
    const { budget } = createBudget();
    const first = budget.open("requests");
    const second = budget.open("responses");
    expect(first.tryAdd(900)).toBe(true);
    expect(second.tryAdd(200)).toBe(false);
    expect(budget.totalBytes).toBe(900);
    first.close();
    expect(second.tryAdd(200)).toBe(true);
    expect(budget.getBytes("requests")).toBe(0);
    expect(budget.getBytes("responses")).toBe(200);
});

// Guards against REFUSED: an upload that stands still must not displace one that arrives.
test("the oldest unfinished upload without progress is displaced first", async () => {
    const { budget, timers } = createBudget();
    const displaced: string[] = [];
    const moving = openUpload(budget, 300, "moving", displaced);
    openUpload(budget, 300, "old", displaced);
    openUpload(budget, 300, "young", displaced);
    await timers.advance(STALLED_MS);
    moving.recordProgress();
    const newest = budget.open("requests");
    expect(newest.tryAdd(300)).toBe(true);
    expect(displaced).toEqual(["old"]);
});

// Guards against REFUSED: a request whose body is complete waits in a queue and is no upload any more.
test("a complete request is not displaced", async () => {
    const { budget, timers } = createBudget();
    const displaced: string[] = [];
    const complete = openUpload(budget, 900, "complete", displaced);
    complete.finishUpload();
    await timers.advance(STALLED_MS);
    expect(budget.open("requests").tryAdd(300)).toBe(false);
    expect(displaced).toEqual([]);
    expect(budget.getBytes("requests")).toBe(900);
});

// Guards against REFUSED: many uploads that all arrive must not end each other.
test("an upload that has just made progress is not displaced", () => {
    const { budget } = createBudget();
    const displaced: string[] = [];
    openUpload(budget, 900, "arriving", displaced);
    expect(budget.open("requests").tryAdd(300)).toBe(false);
    expect(displaced).toEqual([]);
});
