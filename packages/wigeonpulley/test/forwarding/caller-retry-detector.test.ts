import { expect, test } from "vitest";
import { CallerRetryDetector, SeededRandom, VirtualTimerService } from "wigeonpulley";

const DEADLINE_MS = 15_000;
const ROUTE = "r-quote";

/** Records first attempts whose deadlines vary by 15%, one every 100 ms. */
const recordFirstAttempts = async (
    detector: CallerRetryDetector,
    timers: VirtualTimerService,
    count: number,
): Promise<number[]> => {
    const random = SeededRandom.create(3);
    const estimatesMs: number[] = [];
    for (let index = 0; index < count; index += 1) {
        await timers.advance(100);
        estimatesMs.push(
            detector.estimateEarlierAttemptsMs(ROUTE, DEADLINE_MS * (0.85 + 0.15 * random.pickFraction())),
        );
    }
    return estimatesMs;
};

test("first attempts are estimated at zero, retries at part of what is missing from their deadline", async () => {
    const timers = VirtualTimerService.create();
    const detector = CallerRetryDetector.create(timers);
    expect(Math.max(...await recordFirstAttempts(detector, timers, 100))).toBe(0);
    const earlierAttemptsMs = detector.estimateEarlierAttemptsMs(ROUTE, 10_000);
    expect(earlierAttemptsMs).toBeGreaterThan(1_500);
    expect(earlierAttemptsMs).toBeLessThan(5_000);
});

test("callers with very different deadlines are not taken for retries", async () => {
    const timers = VirtualTimerService.create();
    const detector = CallerRetryDetector.create(timers);
    const random = SeededRandom.create(3);
    const estimatesMs = Array.from(
        { length: 300 },
        () => detector.estimateEarlierAttemptsMs(ROUTE, random.pickFraction() < 0.1 ? DEADLINE_MS : 2_000),
    );
    expect(estimatesMs.slice(100).every(earlierAttemptsMs => earlierAttemptsMs === 0)).toBe(true);
});

test("shorter deadlines after a change are learned within a minute", async () => {
    const timers = VirtualTimerService.create();
    const detector = CallerRetryDetector.create(timers);
    await recordFirstAttempts(detector, timers, 100);
    let earlierAttemptsMs = -1;
    for (let second = 0; second < 60; second += 1) {
        await timers.advance(1_000);
        earlierAttemptsMs = detector.estimateEarlierAttemptsMs(ROUTE, 5_000);
    }
    expect(earlierAttemptsMs).toBe(0);
});

test("requests without a deadline and the first requests of a route give no estimate", () => {
    const detector = CallerRetryDetector.create(VirtualTimerService.create());
    expect(detector.estimateEarlierAttemptsMs(ROUTE, undefined)).toBe(0);
    expect(detector.estimateEarlierAttemptsMs(ROUTE, DEADLINE_MS)).toBe(0);
    expect(detector.estimateEarlierAttemptsMs(ROUTE, 5_000)).toBe(0);
});
