/** What the monitor shows of a process: how busy its event loop is, why it is late, and how long input waits unread. */
import { expect, test } from "vitest";
import {
    EventLogger,
    MemorySink,
    MetricsRegistry,
    ProcessorMonitor,
    VirtualTimerService,
    WorkMeter,
} from "wigeonpulley";
import { ManualClocks } from "../fixtures/manual-clocks.js";
import { ManualProcessorClock } from "../fixtures/processor.js";

/** Creates a monitor whose clocks the test sets. */
const createMonitor = () => {
    const timers = VirtualTimerService.create();
    const sink = MemorySink.create();
    const clock = ManualProcessorClock.create();
    const monitor = ProcessorMonitor.create({ timers, logger: EventLogger.create(sink), clock });
    /** Lets time pass of which the event loop is idle and the process uses the processor for a part. */
    const pass = async (durationMs: number, idleMs: number, usedMs: number): Promise<void> => {
        await timers.advance(durationMs);
        clock.idleMs += idleMs;
        clock.usedMs += usedMs;
    };
    return { timers, sink, monitor, pass };
};

/** Lets this process's event loop end its turn. */
const endTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

test("a process that waits for the processor is busy and uses little of it", async () => {
    const { monitor, pass } = createMonitor();
    for (let count = 0; count < 30; count += 1) {
        await pass(250, 0, 30);
        monitor.getBusyShare();
    }
    expect(monitor.getBusyShare()).toBeGreaterThan(0.99);
    expect(monitor.getUsedShare()).toBeCloseTo(0.12, 2);
});

test("a process whose requests wait for slots is idle", async () => {
    const { monitor, pass } = createMonitor();
    for (let count = 0; count < 30; count += 1) {
        await pass(250, 225, 20);
        monitor.getBusyShare();
    }
    expect(monitor.getBusyShare()).toBeCloseTo(0.1, 2);
});

test("a late event loop is reported with the work that filled it, at most once in five seconds", async () => {
    const { timers, sink, monitor, pass } = createMonitor();
    await pass(10_000, 1_000, 1_200);
    monitor.work.add("gossip", 4_000);
    monitor.recordTimerDelay(600);
    monitor.recordTimerDelay(700);
    await timers.advance(5_000);
    monitor.recordTimerDelay(100);
    expect(sink.events.map(({ name, details }) => ({ name, details }))).toEqual([{
        name: "EventLoopLate",
        details: expect.objectContaining({
            delayMs: 600,
            overMs: 10_000,
            busyPercent: 90,
            processorPercent: 12,
            work: expect.stringContaining("gossip 40%"),
        }) as unknown,
    }]);
    await endTurn();
});

test("input has waited since the poll before, less the time for which the event loop waited for it", async () => {
    const { monitor, pass } = createMonitor();
    await pass(100, 90, 10);
    expect(monitor.estimateUnreadMs()).toBe(10);
    await pass(40, 0, 5);
    expect(monitor.estimateUnreadMs()).toBe(40);
    await endTurn();
    await pass(70, 0, 9);
    expect(monitor.estimateUnreadMs()).toBe(70);
    await endTurn();
    await pass(30, 20, 9);
    expect(monitor.estimateUnreadMs()).toBe(10);
    await endTurn();
});

test("work that calls work of another kind is not counted twice", () => {
    const clocks = ManualClocks.create();
    const work = WorkMeter.create(clocks);
    work.measure("gossip", () => {
        clocks.advance(30);
        work.measure("placement", () => clocks.advance(50));
        clocks.advance(10);
    });
    expect(work.getTotalMs("gossip")).toBe(40);
    expect(work.getTotalMs("placement")).toBe(50);
});

test("the metrics have the shares, the delays and the time by kind of work", async () => {
    const { monitor } = createMonitor();
    const metrics = MetricsRegistry.create();
    monitor.registerMetrics(metrics);
    monitor.work.add("gossip", 1_500);
    monitor.recordTimerDelay(40);
    const text = await metrics.formatText();
    expect(text).toContain('wigeonpulley_work_seconds_total{kind="gossip"} 1.5');
    expect(text).toContain('wigeonpulley_event_loop_delay_milliseconds{quantile="0.5"} 40');
    expect(text).toContain("wigeonpulley_event_loop_busy_share");
    expect(text).toContain("wigeonpulley_processor_cores");
    await endTurn();
});
