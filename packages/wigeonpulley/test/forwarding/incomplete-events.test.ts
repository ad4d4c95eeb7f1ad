/** Streams whose events have no end: what is held of them is part of the memory for clients. */
import { expect, test } from "vitest";
import { ByteBudget, VirtualTimerService } from "wigeonpulley";
import { createForwarding, createSignedHead, createStreamEvent } from "../fixtures/forwarding-fixture.js";

const STREAM = { kind: "stream", isResumable: false, timeoutMs: 15_000 } as const;
const LIMIT_MS = 30_000;
const CHUNK = { kind: "chunk", text: `data: ${"x".repeat(16_384)}\n`, afterMs: 10 } as const;

/** Serves streams that have begun an event without its end; the budget is shared by all. */
const createStreams = (limitBytes: number, chunks: number) => {
    const budget = ByteBudget.create({ timers: VirtualTimerService.create(), limitBytes });
    const forwarding = createForwarding({
        script: () => [
            createSignedHead(),
            createStreamEvent(1),
            ...Array.from({ length: chunks }, () => CHUNK),
            { kind: "chunk", text: "\n", afterMs: 500 },
            { kind: "end" },
        ],
    });
    return {
        budget,
        ...forwarding,
        serveStream: () => forwarding.serve(STREAM, { account: budget.open("requests") }),
    };
};

// Guards against GONE: each stream held up to 1 MiB of an event that the budget did not know of.
test("an event without its end is charged while it is held, and released with it", async () => {
    const { budget, timers, serveStream } = createStreams(1_000_000, 20);
    const { summary, view } = serveStream();
    await timers.advance(400);
    expect(budget.totalBytes).toBeGreaterThan(20 * 16_384);
    expect(await timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({ outcome: "answered" });
    expect(view.isComplete).toBe(true);
    expect(budget.totalBytes).toBe(0);
});

test("a long event that has no room breaks its stream off, and short ones go on", async () => {
    const long = createStreams(200_000, 40);
    const broken = long.serveStream();
    await long.timers.runUntilSettled(broken.summary, LIMIT_MS);
    expect(broken.view).toMatchObject({ isComplete: false, isAborted: true });
    expect(long.budget.totalBytes).toBe(0);

    const short = createStreams(1, 1);
    const served = short.serveStream();
    await short.timers.runUntilSettled(served.summary, LIMIT_MS);
    expect(served.view.isComplete).toBe(true);
});
