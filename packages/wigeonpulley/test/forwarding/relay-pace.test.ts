/** How streams are relayed while the processor is scarce. */
import { expect, test } from "vitest";
import { RelayPace, type Route, VirtualTimerService } from "wigeonpulley";
import { createForwarding, createSignedHead, createStreamEvent } from "../fixtures/forwarding-fixture.js";
import { createProcessorMonitor } from "../fixtures/processor.js";

const STREAM: Partial<Route> = { kind: "stream", isResumable: false, maxAttempts: 1, timeoutMs: 10_000 };
const EVENTS = 40;
const EVENT_INTERVAL_MS = 30;
/** Time after which a busy share has become the smoothed one. */
const SMOOTHING_MS = 6_000;

/** Relays one stream and collects the times between the writes to its caller. */
const relayStream = async (busyShare: number) => {
    const { timers, serve } = createForwarding({
        script: () => [
            createSignedHead(),
            ...Array.from(
                { length: EVENTS },
                (unused, index) => createStreamEvent(index + 1, EVENT_INTERVAL_MS),
            ),
            { kind: "end" },
        ],
        getBusyShare: () => busyShare,
    });
    // Requests before let the share be sampled.
    for (let count = 0; count < SMOOTHING_MS / 250; count += 1) {
        serve({ ...STREAM, timeoutMs: 200 });
        await timers.advance(250);
    }
    const startedAt = timers.now();
    const { view, summary } = serve(STREAM);
    const writtenAt: number[] = [];
    for (let writes = 0; !view.isComplete && timers.now() - startedAt < 5_000;) {
        await timers.advance(1);
        if (view.writeCount > writes) {
            writes = view.writeCount;
            writtenAt.push(timers.now() - startedAt);
        }
    }
    return { view, writtenAt, summary: await summary };
};

const EXPECTED_BODY = Array.from(
    { length: EVENTS },
    (unused, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`,
).join("");

// Guards against SHORT: each event of each stream was relayed by itself, also when that took the processor time of other requests.
test("a VM without processor time to spare relays several events of a stream together", async () => {
    const { view, writtenAt, summary } = await relayStream(1);
    expect(view.body).toBe(EXPECTED_BODY);
    expect(summary).toMatchObject({ status: 200, events: EVENTS });
    expect(view.writeCount).toBeLessThan(EVENTS / 2);
    const gaps = writtenAt.slice(1).map((at, index) => at - (writtenAt[index] ?? 0));
    expect(Math.max(...gaps)).toBeLessThanOrEqual(150);
});

test("the first event of a stream never waits", async () => {
    const [busy, idle] = await Promise.all([relayStream(1), relayStream(0)]);
    expect(busy.writtenAt[0]).toBe(idle.writtenAt[0]);
});

test("a VM with processor time to spare relays each event as it arrives", async () => {
    const { view } = await relayStream(0.3);
    expect(view.body).toBe(EXPECTED_BODY);
    expect(view.writeCount).toBe(EVENTS);
});

test("all streams share one turn", async () => {
    const timers = VirtualTimerService.create();
    const monitor = createProcessorMonitor(timers, () => 1);
    const pace = RelayPace.create(timers, monitor);
    for (let count = 0; count < SMOOTHING_MS / 250; count += 1) {
        await timers.advance(250);
        monitor.getBusyShare();
    }
    const turn = pace.waitForTurn();
    await timers.advance(50);
    expect(pace.waitForTurn()).toBe(turn);
    await timers.advance(60);
    expect(pace.waitForTurn()).not.toBe(turn);
});
