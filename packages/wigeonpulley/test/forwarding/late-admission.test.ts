/** Requests on a VM whose processor is too slow for all of them: a resource with a price of each kind of work. */
import { expect, test } from "vitest";
import { LateAdmission, SeededRandom, VirtualTimerService } from "wigeonpulley";

/** Processor time of a request that is served, and of one that is refused, in milliseconds. */
const SERVE_MS = 10;
const REFUSE_MS = 1;
/** A turn reads what has arrived and serves it; the caller has what it waits for after so many more. */
const TURNS_AFTER_READ = 3;
const DURATION_MS = 20_000;

interface KindOfRequest {
    readonly rank: number;
    readonly perS: number;
    readonly targetLatencyMs: number;
}

interface Outcome {
    readonly rank: number;
    readonly result: "on-time" | "late" | "refused";
    /** Time from arrival to the end, in milliseconds. */
    readonly tookMs: number;
}

/** Plays requests on one processor, in turns that each handle what arrived during the one before. */
const playRequests = (kinds: readonly KindOfRequest[], isRefusing: boolean): readonly Outcome[] => {
    const timers = VirtualTimerService.create();
    let now = 0;
    let delayMs = 0;
    Object.assign(timers, { now: () => now });
    const admission = LateAdmission.create({
        timers,
        random: SeededRandom.create(1),
        processor: { getDelayMs: () => delayMs },
    });
    const arrivals = kinds.flatMap(kind =>
        Array.from(
            { length: kind.perS * DURATION_MS / 1_000 },
            (unused, index) => ({ ...kind, at: (index + 0.5) * 1_000 / kind.perS }),
        )
    ).sort((left, right) => left.at - right.at);
    const running: { readonly request: typeof arrivals[number]; turnsLeft: number; }[] = [];
    const outcomes: Outcome[] = [];
    while (arrivals.length > 0 || running.length > 0) {
        const turnStartedAt = now;
        const arrived = arrivals.findIndex(({ at }) => at > turnStartedAt);
        const batch = arrivals.splice(0, arrived === -1 ? arrivals.length : arrived);
        running.forEach(entry => {
            now += SERVE_MS / (TURNS_AFTER_READ + 1);
            entry.turnsLeft -= 1;
            if (entry.turnsLeft === 0) {
                const tookMs = now - entry.request.at;
                const isOnTime = tookMs <= entry.request.targetLatencyMs;
                outcomes.push({ rank: entry.request.rank, result: isOnTime ? "on-time" : "late", tookMs });
            }
        });
        running.splice(0, running.length, ...running.filter(({ turnsLeft }) => turnsLeft > 0));
        batch.forEach(request => {
            if (
                isRefusing
                && admission.check({ ...request, ageMs: now - request.at, queueMs: 0 }) !== undefined
            ) {
                now += REFUSE_MS;
                outcomes.push({ rank: request.rank, result: "refused", tookMs: now - request.at });
            }
            else {
                now += SERVE_MS / (TURNS_AFTER_READ + 1);
                running.push({ request, turnsLeft: TURNS_AFTER_READ });
            }
        });
        delayMs = now - turnStartedAt;
        now = Math.max(now, turnStartedAt + 1);
    }
    return outcomes;
};

const measureShare = (outcomes: readonly Outcome[], rank: number, result: Outcome["result"]): number => {
    const ofRank = outcomes.filter(outcome => outcome.rank === rank);
    return ofRank.filter(outcome => outcome.result === result).length / ofRank.length;
};

/** Work of 1.4 times what the processor can do; half of it has the worst rank. */
const OVERLOAD: readonly KindOfRequest[] = [
    { rank: 0, perS: 20, targetLatencyMs: 800 },
    { rank: 1, perS: 50, targetLatencyMs: 400 },
    { rank: 2, perS: 70, targetLatencyMs: 400 },
];

// Guards against SHORT: a VM without enough processor time served every request, and nearly all of them late.
test("a VM that is late refuses the worst rank and serves the others on time", () => {
    const outcomes = playRequests(OVERLOAD, true);
    expect(measureShare(outcomes, 0, "on-time")).toBeGreaterThan(0.9);
    expect(measureShare(outcomes, 1, "on-time")).toBeGreaterThan(0.9);
    expect(measureShare(outcomes, 2, "refused")).toBeGreaterThan(0.3);
    expect(measureShare(outcomes, 0, "refused")).toBe(0);
});

test("no request is held long and then served late", () => {
    const outcomes = playRequests(OVERLOAD, true);
    expect(Math.max(...outcomes.map(({ tookMs }) => tookMs))).toBeLessThan(1_500);
    expect(Math.max(...playRequests(OVERLOAD, false).map(({ tookMs }) => tookMs))).toBeGreaterThan(5_000);
});

test("a VM with enough processor time refuses nothing", () => {
    const outcomes = playRequests(OVERLOAD.map(kind => ({ ...kind, perS: kind.perS / 2 })), true);
    expect(outcomes.every(({ result }) => result === "on-time")).toBe(true);
});

test("requests of a single rank are served, however late", () => {
    const outcomes = playRequests([{ rank: 5, perS: 140, targetLatencyMs: 400 }], true);
    expect(outcomes.some(({ result }) => result === "refused")).toBe(false);
});

test("a refused caller is to come back when the backlog is gone", () => {
    const timers = VirtualTimerService.create();
    let delayMs = 400;
    const admission = LateAdmission.create({
        timers,
        random: SeededRandom.create(1),
        processor: { getDelayMs: () => delayMs },
    });
    const check = (rank: number) => admission.check({ rank, targetLatencyMs: 400, ageMs: 0, queueMs: 0 });
    check(0);
    check(1);
    Object.assign(timers, { now: () => 1_000 });
    expect(check(0)).toBeUndefined();
    const refusal = check(1);
    expect(refusal?.name).toBe("ProcessorOverloaded");
    expect(refusal?.retryAfterMs).toBeGreaterThanOrEqual(1_600);
    expect(refusal?.retryAfterMs).toBeLessThanOrEqual(2_400);
    delayMs = 10;
    Object.assign(timers, { now: () => 2_000 });
    expect(check(1)).toBeUndefined();
});

test("a late VM refuses a request that would wait for a slot for too long", () => {
    const timers = VirtualTimerService.create();
    let delayMs = 80;
    const admission = LateAdmission.create({
        timers,
        random: SeededRandom.create(1),
        processor: { getDelayMs: () => delayMs },
    });
    const check = (rank: number, queueMs: number) =>
        admission.check({ rank, targetLatencyMs: 400, ageMs: 0, queueMs });
    check(0, 0);
    check(1, 0);
    Object.assign(timers, { now: () => 1_000 });
    check(0, 0);
    delayMs = 30;
    expect(check(1, 50)).toBeUndefined();
    expect(check(1, 100)?.name).toBe("ProcessorOverloaded");
    expect(check(0, 100)).toBeUndefined();
});
