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

test("an instance that fails most requests is ejected after a few of them", () => {
    const { health } = createHealth();
    recordAll(health, ["i-1", "i-2", "i-3"], "success", 10);
    recordAll(health, ["i-1"], "failure", 4);
    expect(["i-1", "i-2", "i-3"].map(id => health.canUse(id))).toEqual([false, true, true]);
});

test("failures common to all instances eject none of them", () => {
    const { health } = createHealth();
    for (let round = 0; round < 20; round += 1) {
        recordAll(health, ["i-1", "i-2", "i-3"], round % 7 === 0 ? "failure" : "success", 1);
    }
    expect(["i-1", "i-2", "i-3"].every(id => health.canUse(id))).toBe(true);
});

test("at most half of a service's instances are ejected for failures", () => {
    const { health } = createHealth();
    const ids = ["i-1", "i-2", "i-3", "i-4"];
    recordAll(health, ids, "success", 3);
    recordAll(health, ids, "failure", 10);
    expect(ids.filter(id => health.canUse(id)).length).toBeGreaterThanOrEqual(2);
});

test("an unreachable instance is ejected at once, even when all are unreachable", () => {
    const { health } = createHealth();
    recordAll(health, ["i-1", "i-2"], "unreachable", 1);
    expect(["i-1", "i-2"].map(id => health.canUse(id))).toEqual([false, false]);
});

test("an instance is readmitted after single probes, and a failed probe doubles its ejection time", async () => {
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

test("failures of requests in flight before the ejection do not prolong it", async () => {
    const { health, timers } = createHealth();
    recordAll(health, ["i-1", "i-2", "i-3"], "success", 5);
    recordAll(health, ["i-1"], "failure", 9);
    expect(health.canUse("i-1")).toBe(false);
    await timers.advance(1_000);
    expect(health.canUse("i-1")).toBe(true);
});
