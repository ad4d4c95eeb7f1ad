import { expect, test } from "vitest";
import { CallerRetryDetector, SeededRandom, VirtualTimerService } from "wigeonpulley";

const DEADLINE_MS = 15_000;
const ROUTE = "r-quote";

/** Notes new requests whose deadlines vary by 15%, one each 100 ms. */
const noteNew = async (
    memory: CallerRetryDetector,
    timers: VirtualTimerService,
    count: number,
): Promise<number[]> => {
    const random = SeededRandom.create(3);
    const spent: number[] = [];
    for (let index = 0; index < count; index += 1) {
        await timers.advance(100);
        spent.push(
            memory.estimateEarlierAttemptsMs(ROUTE, DEADLINE_MS * (0.85 + 0.15 * random.pickFraction())),
        );
    }
    return spent;
};

test("new requests have spent nothing, those that come back at least what their deadline lacks", async () => {
    const timers = VirtualTimerService.create();
    const memory = CallerRetryDetector.create(timers);
    expect(Math.max(...await noteNew(memory, timers, 100))).toBe(0);
    const spentMs = memory.estimateEarlierAttemptsMs(ROUTE, 10_000);
    expect(spentMs).toBeGreaterThan(1_500);
    expect(spentMs).toBeLessThan(5_000);
});

test("callers with quite different deadlines are not taken for ones that come back", async () => {
    const timers = VirtualTimerService.create();
    const memory = CallerRetryDetector.create(timers);
    const random = SeededRandom.create(3);
    const spent = Array.from(
        { length: 300 },
        () => memory.estimateEarlierAttemptsMs(ROUTE, random.pickFraction() < 0.1 ? DEADLINE_MS : 2_000),
    );
    expect(spent.slice(100).every(spentMs => spentMs === 0)).toBe(true);
});

test("shorter deadlines after a change are learned within a minute", async () => {
    const timers = VirtualTimerService.create();
    const memory = CallerRetryDetector.create(timers);
    await noteNew(memory, timers, 100);
    let spentMs = -1;
    for (let second = 0; second < 60; second += 1) {
        await timers.advance(1_000);
        spentMs = memory.estimateEarlierAttemptsMs(ROUTE, 5_000);
    }
    expect(spentMs).toBe(0);
});

test("a request without a deadline, and a route's first ones, tell nothing", () => {
    const memory = CallerRetryDetector.create(VirtualTimerService.create());
    expect(memory.estimateEarlierAttemptsMs(ROUTE, undefined)).toBe(0);
    expect(memory.estimateEarlierAttemptsMs(ROUTE, DEADLINE_MS)).toBe(0);
    expect(memory.estimateEarlierAttemptsMs(ROUTE, 5_000)).toBe(0);
});
