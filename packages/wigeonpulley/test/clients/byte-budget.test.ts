import { fc, test as property } from "@fast-check/vitest";
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

// Guards against REFUSED: bytes that were charged after the end of a request were never released.
test("an account that is closed takes no more bytes", () => {
    const { budget } = createBudget();
    const account = budget.open("requests");
    account.close();
    expect(account.tryAdd(100)).toBe(false);
    account.set(50);
    expect(budget.totalBytes).toBe(0);
});

/** Steps of a mix of uploads: a client sends bytes, and time passes. */
const stepArbitrary = fc.record({
    client: fc.integer({ min: 0, max: 11 }),
    bytes: fc.integer({ min: 1, max: 300 }),
    waitMs: fc.integer({ min: 0, max: 400 }),
});

// Guards against REFUSED: an ordinary upload that had paused was displaced before a crowd that stood still for far longer.
property.prop([fc.array(stepArbitrary, { minLength: 1, maxLength: 80 })], { numRuns: 200, seed: 55 })(
    "no upload is refused while there is room, and without room those that stand still for longest go first",
    async steps => {
        const { timers, budget } = createBudget();
        const uploads = new Map<number, ReturnType<typeof budget.open>>();
        const openClient = (client: number) => {
            const account = budget.open("requests");
            account.startUpload(() => {
                expect(budget.totalBytes).toBeGreaterThan(0);
                const others = [...uploads.values()].filter(other => other !== account && other.bytes > 0);
                // The one that asks for room has just made progress.
                expect(account.progressAt).toBeLessThanOrEqual(
                    Math.min(...others.map(({ progressAt }) => progressAt)),
                );
                uploads.delete(client);
                account.finishUpload();
                account.close();
            });
            uploads.set(client, account);
            return account;
        };
        for (const { client, bytes, waitMs } of steps) {
            const account = uploads.get(client) ?? openClient(client);
            const hasRoom = budget.totalBytes + bytes <= budget.limitBytes;
            const openBefore = uploads.size;
            account.recordProgress();
            const isAdded = account.tryAdd(bytes);
            expect(budget.totalBytes).toBeLessThanOrEqual(budget.limitBytes);
            if (hasRoom) {
                expect(isAdded).toBe(true);
                expect(uploads.size).toBe(openBefore);
            }
            await timers.advance(waitMs);
        }
    },
);
