import { expect, test } from "vitest";
import {
    ByteBudget,
    EventLogger,
    LimitRecorder,
    MemorySink,
    MetricsRegistry,
    VirtualTimerService,
} from "wigeonpulley";

// Guards against a log that a crowd of clients fills.
test("what the limits end is logged at most once a second, with all that came together", async () => {
    const timers = VirtualTimerService.create();
    const sink = MemorySink.create();
    const metrics = MetricsRegistry.create();
    const recorder = LimitRecorder.create({
        timers,
        logger: EventLogger.create(sink),
        metrics,
        budget: ByteBudget.create({ timers, limitBytes: 1_000 }),
    });
    for (let count = 0; count < 500; count += 1) {
        recorder.record("memory");
        recorder.record("unread");
        await timers.advance(10);
    }
    await timers.advance(1_000);
    expect(sink.events.length).toBeGreaterThanOrEqual(4);
    expect(sink.events.length).toBeLessThanOrEqual(6);
    const counted = sink.events.map(({ details }) => details as { readonly memory: number; });
    expect(counted.reduce((sum, { memory }) => sum + memory, 0)).toBe(500);
    expect(await metrics.formatText()).toContain('wigeonpulley_client_limits_total{limit="unread"} 500');
    const lineCount = sink.events.length;
    await timers.advance(60_000);
    expect(sink.events).toHaveLength(lineCount);
});
