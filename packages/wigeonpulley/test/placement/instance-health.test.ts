import { expect, test } from "vitest";
import {
    EventLogger,
    InstanceHealth,
    MemorySink,
    type RequestOutcome,
    VirtualTimerService,
} from "wigeonpulley";

const createHealth = (): { readonly health: InstanceHealth; readonly timers: VirtualTimerService; } => {
    const timers = VirtualTimerService.create();
    return { health: InstanceHealth.create(timers, EventLogger.create(MemorySink.create())), timers };
};

const recordAll = (
    health: InstanceHealth,
    ids: readonly string[],
    outcome: RequestOutcome,
    count: number,
): void =>
    ids.forEach(id => {
        for (let recorded = 0; recorded < count; recorded += 1) {
            health.recordOutcome("stock", id, outcome, "test");
        }
    });

test("a grey instance that fails most requests is taken out within a few of them", () => {
    const { health } = createHealth();
    recordAll(health, ["i-1", "i-2", "i-3"], "success", 10);
    recordAll(health, ["i-1"], "failure", 4);
    expect(["i-1", "i-2", "i-3"].map(id => health.canUse(id))).toEqual([false, true, true]);
});

test("failures that all instances share take none of them out", () => {
    const { health } = createHealth();
    for (let round = 0; round < 20; round += 1) {
        recordAll(health, ["i-1", "i-2", "i-3"], round % 7 === 0 ? "failure" : "success", 1);
    }
    expect(["i-1", "i-2", "i-3"].every(id => health.canUse(id))).toBe(true);
});

test("at most half of a service is taken out for failing", () => {
    const { health } = createHealth();
    const ids = ["i-1", "i-2", "i-3", "i-4"];
    recordAll(health, ids, "success", 3);
    recordAll(health, ids, "failure", 10);
    expect(ids.filter(id => health.canUse(id)).length).toBeGreaterThanOrEqual(2);
});

test("an instance that takes no connection is out at once, also when all are", () => {
    const { health } = createHealth();
    recordAll(health, ["i-1", "i-2"], "unreachable", 1);
    expect(["i-1", "i-2"].map(id => health.canUse(id))).toEqual([false, false]);
});

test("an instance comes back through single trials, and a failed trial doubles its time out", async () => {
    const { health, timers } = createHealth();
    health.recordOutcome("stock", "i-1", "unreachable", "test");
    await timers.advance(1_000);
    expect(health.canUse("i-1")).toBe(true);
    health.recordDispatch("i-1");
    expect(health.canUse("i-1")).toBe(false);
    health.recordOutcome("stock", "i-1", "failure", "test");
    await timers.advance(1_500);
    expect(health.canUse("i-1")).toBe(false);
    await timers.advance(500);
    for (let probe = 0; probe < 2; probe += 1) {
        health.recordDispatch("i-1");
        health.recordOutcome("stock", "i-1", "success", "test");
    }
    expect(health.isTrusted("i-1")).toBe(true);
});

test("failures of requests that were on their way before the time out do not lengthen it", async () => {
    const { health, timers } = createHealth();
    recordAll(health, ["i-1", "i-2", "i-3"], "success", 5);
    recordAll(health, ["i-1"], "failure", 9);
    expect(health.canUse("i-1")).toBe(false);
    await timers.advance(1_000);
    expect(health.canUse("i-1")).toBe(true);
});
