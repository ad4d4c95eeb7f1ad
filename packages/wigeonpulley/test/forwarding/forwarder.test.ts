import { expect, onTestFinished, test, vi } from "vitest";
import { RequestLifetime, ResponseWriter } from "wigeonpulley";
import {
    createForwarding,
    createSignedHead,
    createSignedResponse,
    createStreamEvent,
} from "../fixtures/forwarding-fixture.js";
import { createInstance } from "../fixtures/raw-endpoint.js";

const STREAM = {
    kind: "stream",
    isResumable: true,
    targetLatencyMs: 800,
    gapTargetMs: 300,
    timeoutMs: 15_000,
} as const;
const LIMIT_MS = 30_000;

test("a response is relayed unchanged, and the request is forwarded without the caller's key", async () => {
    const { timers, transport, serve } = createForwarding({ script: () => createSignedResponse("in stock") });
    const { summary, view } = serve({});
    expect(await timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({
        status: 200,
        outcome: "answered",
        sends: 1,
    });
    expect(view).toMatchObject({ status: 200, body: "in stock", isComplete: true });
    expect(view.headers.get("x-signed")).toBe("1");
    expect(transport.dispatches[0]?.request.headers).toEqual(
        ["Host", "wax.example", "X-Other", "kept", "x-deadline", "2000", "x-last", ""],
    );
});

test("a request that may run at most once is never retried after it may have run", async () => {
    const { timers, transport, serve } = createForwarding({
        script: () => [{ kind: "fail", mayHaveRun: true }],
    });
    const { summary, view } = serve({ kind: "once", maxAttempts: 3 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches).toHaveLength(1);
    expect(view.status).toBe(502);
});

test("a request that may run at most once is retried when it provably did not run", async () => {
    const { timers, transport, serve } = createForwarding({
        script: (instance, count) =>
            count === 1
                ? [{ kind: "head", status: 503, headers: { "x-not-run": "1" } }]
                : createSignedResponse("done"),
    });
    const { summary, view } = serve({ kind: "once", maxAttempts: 1 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches.map(({ instance }) => instance)).toEqual(["i-1", "i-2"]);
    expect(view).toMatchObject({ status: 200, body: "done" });
});

test("a request that may run at most once is retried when another instance has the address", async () => {
    const { timers, transport, placement, serve } = createForwarding({
        script: (instance, count) =>
            count === 1 ? [{ kind: "head", status: 421 }] : createSignedResponse("done"),
    });
    const { summary, view } = serve({ kind: "once", maxAttempts: 1 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ status: 200, body: "done" });
    expect(placement.health.canUse(transport.dispatches[0]?.instance ?? "")).toBe(false);
});

// Guards against GONE: a request that was cancelled before it got an instance was still sent and only then aborted.
test("a request whose caller has left before it gets an instance is not sent", async () => {
    const { timers, transport, placement, serve } = createForwarding({
        script: () => createSignedResponse("too late"),
    });
    const lifetime = RequestLifetime.create(timers, timers.now() + LIMIT_MS);
    lifetime.cancel("caller-gone");
    const { summary } = serve({}, { lifetime });
    expect(await timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({
        outcome: "RequestCancelled",
        mayHaveRun: false,
    });
    expect(transport.dispatches).toHaveLength(0);
    expect(["i-1", "i-2"].map(instance => placement.countInFlight(instance))).toEqual([0, 0]);
});

test("a request whose caller leaves while it waits for a slot is not sent", async () => {
    const { timers, transport, serve } = createForwarding({
        instances: [createInstance({ slots: 1 })],
        script: () => createSignedResponse("done", 200, 500),
    });
    const earlier = Array.from({ length: 5 }, () => serve({}));
    const last = serve({});
    await timers.advance(100);
    const dispatchedBefore = transport.dispatches.length;
    last.lifetime.cancel("caller-gone");
    expect(await timers.runUntilSettled(last.summary, LIMIT_MS)).toMatchObject({
        outcome: "RequestCancelled",
        mayHaveRun: false,
    });
    await timers.runUntilSettled(Promise.all(earlier.map(({ summary }) => summary)), LIMIT_MS);
    await timers.advance(1_000);
    expect(dispatchedBefore).toBeLessThan(earlier.length);
    expect(transport.dispatches.length).toBeLessThanOrEqual(earlier.length);
});

test("a refusal that an instance repeats on a kept connection proves nothing about the next request", async () => {
    const { timers, transport, serve } = createForwarding({
        script: () => [{ kind: "head", status: 503, headers: { "x-not-run": "1", "x-id": "r-0" } }],
    });
    const { summary, view } = serve({ kind: "once", maxAttempts: 3 });
    expect(await timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({ mayHaveRun: true });
    expect(transport.dispatches).toHaveLength(1);
    expect(view.status).toBe(502);
});

test("a 503 without proof that the request did not run is not relayed", async () => {
    const { timers, serve } = createForwarding({ script: () => createSignedResponse("busy", 503) });
    const { summary, view } = serve({ kind: "once" });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view.status).toBe(502);
});

test.each([
    ["without a signature", { "x-id": "r-1" }],
    ["of another request", { "x-id": "r-9", "x-signed": "1" }],
    ["with an encoding", { "x-id": "r-1", "x-signed": "1", "content-encoding": "gzip" }],
])("a response %s does not reach the caller", async (name, headers) => {
    const { timers, transport, serve } = createForwarding({
        script: () => [{ kind: "head", headers }, { kind: "chunk", text: "wrong" }, { kind: "end" }],
    });
    const { summary, view } = serve({ kind: "once" });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view.status).toBe(502);
    expect(view.body).not.toContain("wrong");
    expect(transport.dispatches).toHaveLength(1);
});

test("a retryable request with a truncated response is retried at another instance", async () => {
    const { timers, serve } = createForwarding({
        script: (instance, count) =>
            count === 1
                ? [createSignedHead(), { kind: "chunk", text: "in st" }, { kind: "fail", mayHaveRun: true }]
                : createSignedResponse("in stock"),
    });
    const { summary, view } = serve({ maxAttempts: 2 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ status: 200, body: "in stock", isComplete: true });
});

// A retryable response longer than the buffer limit is relayed as it arrives. When its endpoint fails after that, the
// caller already has a part of the response, so another attempt can't give it a whole one.
test("a response that has started is not followed by another attempt", async () => {
    const startOfBody = "x".repeat(300_000);
    const { timers, transport, serve } = createForwarding({
        script: (instance, count) =>
            count === 1
                ? [createSignedHead(), { kind: "chunk", text: startOfBody }, {
                    kind: "fail",
                    mayHaveRun: true,
                }]
                : createSignedResponse("in stock"),
    });
    const { summary, view } = serve({ maxAttempts: 2 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches).toHaveLength(1);
    expect(view).toMatchObject({ status: 200, isComplete: false, isAborted: true });
    expect(view.body).toBe(startOfBody);
});

test("no request is sent to more instances than its route allows", async () => {
    const { timers, transport, serve } = createForwarding({
        instances: undefined,
        script: () => [{ kind: "fail", mayHaveRun: true }],
    });
    const { summary, view } = serve({ maxAttempts: 2 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches).toHaveLength(2);
    expect(view.status).toBe(502);
});

test("nothing is retried when the retry budget is exhausted", async () => {
    const { timers, transport, serve } = createForwarding({
        retryBudgetExtra: 0,
        script: () => [{ kind: "fail", mayHaveRun: true }],
    });
    const { summary } = serve({ maxAttempts: 2 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches).toHaveLength(1);
});

test("another instance resumes a stream after its last complete event", async () => {
    const { timers, transport, serve } = createForwarding({
        script: (instance, count) =>
            count === 1
                ? [createSignedHead(), createStreamEvent(1), createStreamEvent(2), {
                    kind: "chunk",
                    text: "id: 3\nda",
                }, {
                    kind: "fail",
                    mayHaveRun: true,
                }]
                : [createSignedHead(), createStreamEvent(2), createStreamEvent(3), createStreamEvent(4), {
                    kind: "end",
                }],
    });
    const { summary, view } = serve(STREAM);
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches[1]?.request.headers).toContain("2");
    expect(view.body.match(/piece \d/g)).toEqual(["piece 1", "piece 2", "piece 3", "piece 4"]);
    expect(view.isComplete).toBe(true);
});

test("a stream that can't be resumed is aborted, not completed, when its instance fails", async () => {
    const { timers, transport, serve } = createForwarding({
        script: () => [createSignedHead(), createStreamEvent(1), { kind: "fail", mayHaveRun: true }],
    });
    const { summary, view } = serve({ ...STREAM, isResumable: false, maxAttempts: 2 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches).toHaveLength(1);
    expect(view).toMatchObject({ isComplete: false, isAborted: true });
});

test("a stream that ends within an event is aborted", async () => {
    const { timers, serve } = createForwarding({
        script: () => [createSignedHead(), createStreamEvent(1), { kind: "chunk", text: "id: 2\ndata" }, {
            kind: "end",
        }],
    });
    const { summary, view } = serve({ ...STREAM, isResumable: false });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ isComplete: false, isAborted: true });
});

test("a request at a silent instance is retried at another one while the caller still waits", async () => {
    const { timers, transport, serve } = createForwarding({
        script: (instance, count) =>
            count === 1
                ? [createSignedHead(60_000)]
                : [createSignedHead(), createStreamEvent(1), { kind: "end" }],
    });
    const { summary, view } = serve(STREAM);
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view.isComplete).toBe(true);
    expect(transport.dispatches[0]?.abortedAt).toBeLessThan(2_000);
});

// Guards against LOST: the last attempt was given up after a silence, although its answer could still come in time.
test.each(
    [
        [
            "a request without a body",
            { maxAttempts: 2, timeoutMs: 4_000, targetLatencyMs: 300 },
            createSignedResponse("done"),
        ],
        ["a stream", { ...STREAM, maxAttempts: 2, timeoutMs: 3_000 }, [
            createSignedHead(),
            createStreamEvent(1),
            { kind: "end" },
        ]],
    ] as const,
)("%s gets the late answer of its last attempt", async (name, route, answer) => {
    const { timers, transport, serve } = createForwarding({
        script: (instance, count) => {
            const [head, ...rest] = answer;
            return count === 1
                ? [{ kind: "fail", mayHaveRun: true }]
                : [{ ...head, afterMs: 2_000 }, ...rest];
        },
    });
    const { summary, view } = serve(route);
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches).toHaveLength(2);
    expect(view).toMatchObject({ status: 200, isComplete: true });
});

// Guards against LOST: a silent attempt was given up for a retry that the budget did not allow.
test("a request gets the late answer of its first attempt while the retry budget is exhausted", async () => {
    const { timers, transport, serve } = createForwarding({
        retryBudgetExtra: 0,
        script: () => [createSignedHead(2_000), { kind: "end" }],
    });
    const { summary, view } = serve({ maxAttempts: 2, timeoutMs: 4_000, targetLatencyMs: 300 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches).toHaveLength(1);
    expect(view).toMatchObject({ status: 200, isComplete: true });
});

// Guards against LOST: a silent attempt was given up although no instance could take the next one, and its stream was cut.
test("a stream whose sound instance is silent for a while goes on there when there is no other instance", async () => {
    const { timers, transport, serve } = createForwarding({
        instances: [createInstance({ id: "i-1" })],
        script:
            () => [createSignedHead(), createStreamEvent(1), createStreamEvent(2, 2_500), { kind: "end" }],
    });
    const { summary, view } = serve({ ...STREAM, maxAttempts: 2 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ status: 200, isComplete: true, isAborted: false });
    expect(transport.dispatches).toHaveLength(1);
});

// Guards against LOST: the same while all slots of the other instances are taken.
test("a stream whose sound instance is silent for a while goes on there while the others are full", async () => {
    const { timers, transport, serve } = createForwarding({
        instances: [createInstance({ id: "i-1", slots: 1 }), createInstance({ id: "i-2", slots: 1 })],
        script: (instance, count) =>
            count === 1
                ? [createSignedHead(), createStreamEvent(1), createStreamEvent(2, 2_500), { kind: "end" }]
                : createSignedResponse("done", 200, 20_000),
    });
    const { summary, view } = serve({ ...STREAM, maxAttempts: 2 });
    Array.from({ length: 10 }, () => serve({ kind: "once", timeoutMs: 25_000, targetLatencyMs: 10_000 }));
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ status: 200, isComplete: true, isAborted: false });
    expect(transport.dispatches[0]).toMatchObject({ abortedAt: undefined });
});

// Guards against LOST: a silent attempt was given up for an instance that could not be reached, over the link that held up the first one.
test("a stream whose sound instance is silent for a while goes on there while the others can't be reached", async () => {
    const { timers, transport, serve } = createForwarding({
        instances: ["i-1", "i-2", "i-3", "i-4"].map(id => createInstance({ id })),
        script: (instance, count) =>
            count === 1
                ? [createSignedHead(), createStreamEvent(1), createStreamEvent(2, 3_000), { kind: "end" }]
                : [{ kind: "fail", mayHaveRun: false, afterMs: 400 }],
    });
    const { summary, view } = serve({ ...STREAM, maxAttempts: 2 });
    await timers.advance(100);
    const [first] = transport.dispatches;
    ["i-1", "i-2", "i-3", "i-4"].filter(id => id !== first?.instance).forEach(id =>
        transport.unreachableInstances.add(id)
    );
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ status: 200, isComplete: true, isAborted: false });
    expect(transport.dispatches).toHaveLength(1);
});

// Guards against LOST: an attempt that goes on while its successor's connection is opened is not given up any more.
test("a stream that goes on while a connection for its next attempt is opened stays at its instance", async () => {
    const { timers, transport, placement, serve } = createForwarding({
        script:
            () => [createSignedHead(), createStreamEvent(1), createStreamEvent(2, 1_610), { kind: "end" }],
    });
    const { summary, view } = serve({ ...STREAM, maxAttempts: 2 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    await timers.advance(100);
    expect(view).toMatchObject({ status: 200, isComplete: true, isAborted: false });
    expect(transport.dispatches).toHaveLength(1);
    expect(["i-1", "i-2"].map(id => placement.countInFlight(id))).toEqual([0, 0]);
});

// Guards against failed urgent requests: while less urgent ones wait, a frozen instance kept the urgent ones until their time was over.
test("a stream whose instance is frozen goes on elsewhere although less urgent requests wait", async () => {
    const { timers, serve } = createForwarding({
        instances: [createInstance({ id: "i-1", slots: 1 }), createInstance({ id: "i-2", slots: 1 })],
        script: (instance, count) =>
            count === 1
                ? [createSignedHead(), createStreamEvent(1), createStreamEvent(2, 60_000)]
                : [createSignedHead(200), createStreamEvent(2), { kind: "end" }],
    });
    const { summary, view } = serve({ ...STREAM, maxAttempts: 2, rank: 0 });
    const cancelLoad = timers.scheduleRepeating(
        50,
        () =>
            serve({ kind: "idempotent", timeoutMs: 3_000, targetLatencyMs: 1_000, maxAttempts: 1, rank: 3 }),
    );
    await timers.runUntilSettled(summary, LIMIT_MS);
    cancelLoad();
    expect(view).toMatchObject({ isComplete: true, isAborted: false });
});

// Guards against slots that nothing uses: the slot of a next attempt that can't begin before the caller reads on.
test("a silent stream whose caller doesn't read occupies no slot for another attempt", async () => {
    vi.spyOn(ResponseWriter.prototype, "write").mockReturnValue(new Promise(() => undefined));
    onTestFinished(() => void vi.restoreAllMocks());
    const { timers, transport, placement, serve } = createForwarding({
        script: () => [createSignedHead(), createStreamEvent(1), createStreamEvent(2, 60_000)],
    });
    serve({ ...STREAM, maxAttempts: 2 });
    await timers.advance(10_000);
    expect(transport.dispatches).toHaveLength(1);
    expect(placement.countInFlight("i-1") + placement.countInFlight("i-2")).toBe(1);
});

test("a request that exceeds its route's timeout gets 503 if it was not sent and 504 if it was", async () => {
    const { timers, serve } = createForwarding({ script: () => [createSignedHead(60_000)] });
    const sent = serve({ kind: "once", timeoutMs: 1_000 });
    await timers.runUntilSettled(sent.summary, 1_050);
    expect(sent.view.status).toBe(504);
    const waiting = createForwarding({ instances: [], script: () => [] });
    const refused = waiting.serve({ kind: "once", timeoutMs: 1_000 });
    await waiting.timers.runUntilSettled(refused.summary, 1_050);
    expect(refused.view.status).toBe(503);
    expect(Number(refused.view.headers.get("retry-after"))).toBeGreaterThan(0);
});

// Guards against EXPOSURE: a version that hung until a short time-out was completed, since no such request counted.
test.each([300, 800, 1_400, 3_000])(
    "an instance that hangs until a request's time-out of %i ms has failed",
    async timeoutMs => {
        const { timers, transport, placement, serve } = createForwarding({
            script: () => [createSignedHead(60_000)],
        });
        const { summary } = serve({ kind: "once", timeoutMs });
        await timers.runUntilSettled(summary, timeoutMs + 50);
        expect(placement.health.getFailureRate(transport.dispatches[0]?.instance ?? "")).toBeGreaterThan(0);
    },
);

test("a stream that exceeds its route's timeout is aborted", async () => {
    const { timers, serve } = createForwarding({
        script: () => [
            createSignedHead(),
            ...Array.from({ length: 100 }, (unused, index) => createStreamEvent(index + 1, 100)),
        ],
    });
    const { summary, view } = serve({ ...STREAM, timeoutMs: 3_000 });
    await timers.runUntilSettled(summary, 3_100);
    expect(view).toMatchObject({ isComplete: false, isAborted: true });
});

test("the exchange is aborted immediately when the caller disconnects", async () => {
    const { timers, transport, serve } = createForwarding({ script: () => [createSignedHead(60_000)] });
    const { summary, lifetime } = serve(STREAM);
    await timers.advance(500);
    lifetime.cancel("caller-gone");
    await timers.runUntilSettled(summary, 100);
    expect(transport.dispatches[0]?.abortedAt).toBe(500);
});

test("the endpoint's own error response to a request that may run at most once is relayed unchanged", async () => {
    const { timers, serve } = createForwarding({ script: () => createSignedResponse("no such order", 500) });
    const { summary, view } = serve({ kind: "once" });
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ status: 500, body: "no such order" });
    expect(view.headers.get("x-signed")).toBe("1");
});

test("each attempt is sent with the remaining deadline", async () => {
    const { timers, transport, serve } = createForwarding({
        script: (instance, count) =>
            count === 1 ? [{ kind: "fail", mayHaveRun: true, afterMs: 300 }] : createSignedResponse("late"),
    });
    const { summary } = serve({ timeoutMs: 2_000, targetLatencyMs: 200 });
    await timers.runUntilSettled(summary, LIMIT_MS);
    const deadlines = transport.dispatches.map(({ request: { headers } }) =>
        headers[headers.indexOf("x-deadline") + 1]
    );
    expect(deadlines).toEqual(["2000", "1700"]);
});

test("a stream that another endpoint resumes with an ordinary response is aborted, and its slots are free", async () => {
    const { timers, transport, placement, serve } = createForwarding({
        script: (instance, count) =>
            count === 1
                ? [createSignedHead(), createStreamEvent(1), { kind: "fail", mayHaveRun: true }]
                : createSignedResponse("no such stream", 404),
    });
    const { summary, view } = serve(STREAM);
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ status: 200, isComplete: false, isAborted: true });
    expect(transport.dispatches).toHaveLength(2);
    expect(["i-1", "i-2"].map(id => placement.countInFlight(id))).toEqual([0, 0]);
});

test("the slot of a request is released when sending it throws", async () => {
    const { timers, placement, serve } = createForwarding({ script: () => createSignedResponse("in stock") });
    const { summary } = serve({}, { rawHeaders: undefined as never });
    await expect(timers.runUntilSettled(summary, LIMIT_MS)).rejects.toThrow(TypeError);
    expect(["i-1", "i-2"].map(id => placement.countInFlight(id))).toEqual([0, 0]);
});

test("events whose identifiers are not numbers are relayed once each", async () => {
    const createEvent = (id: string) => ({ kind: "chunk", text: `id: ${id}\ndata: piece\n\n` }) as const;
    const { timers, serve } = createForwarding({
        script: (instance, count) =>
            count === 1
                ? [createSignedHead(), createEvent("a"), createEvent("b"), { kind: "fail", mayHaveRun: true }]
                : [createSignedHead(), createEvent("b"), createEvent("c"), { kind: "end" }],
    });
    const { summary, view } = serve(STREAM);
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view.body).toBe(["a", "b", "c"].map(id => createEvent(id).text).join(""));
    expect(view.isComplete).toBe(true);
});

const UNFRAMED_HEAD = { ...createSignedHead(), endsWithConnection: true } as const;

test("an unframed stream that ends within an event is broken off, and so is one that ends before its first event", async () => {
    for (
        const steps of [
            [UNFRAMED_HEAD, createStreamEvent(1), { kind: "chunk", text: "id: 2\ndata: cut" }, {
                kind: "end",
            }],
            [UNFRAMED_HEAD, { kind: "end" }],
        ] as const
    ) {
        const { timers, serve } = createForwarding({ script: () => steps });
        const { summary, view } = serve({ ...STREAM, isResumable: false });
        await timers.runUntilSettled(summary, LIMIT_MS);
        expect(view.isComplete && view.status === 200).toBe(false);
        expect(view.body).not.toContain("cut");
    }
});

test("an unframed stream that ends after an event is complete", async () => {
    const { timers, serve } = createForwarding({
        script: () => [UNFRAMED_HEAD, createStreamEvent(1), { kind: "end" }],
    });
    const { summary, view } = serve(STREAM);
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ status: 200, isComplete: true });
});

// An instance that refuses requests for lack of capacity need not repeat its limit in each refusal.
test("a refusal without a limit doesn't end the limit that an instance has named", async () => {
    const instance = createInstance({ id: "i-1" });
    const { timers, rateLimits, serve } = createForwarding({
        instances: [instance],
        script: (unused, count) =>
            count === 1
                ? [{ kind: "head", headers: { "x-id": "r-1", "x-signed": "1", "x-limit": "1" } }, {
                    kind: "end",
                }]
                : [{ kind: "head", status: 503, headers: { "x-id": "r-1", "x-not-run": "1" } }],
    });
    await timers.runUntilSettled(serve({}).summary, LIMIT_MS);
    await timers.advance(1_500);
    expect(rateLimits.canSend(instance)).toBe(true);
    await timers.runUntilSettled(serve({}).summary, LIMIT_MS);
    expect(rateLimits.listReports()).toMatchObject([{ limitPerS: 1 }]);
});

// A server in trouble may send bytes without end; an event that is never complete would be buffered until memory runs out.
test("a stream whose event has no end is broken off, and the request goes on at another instance", async () => {
    const chunk = "x".repeat(65_536);
    const { timers, transport, serve } = createForwarding({
        script: (instance, count) =>
            count === 1
                ? [
                    createSignedHead(),
                    ...Array.from({ length: 200 }, () => ({ kind: "chunk" as const, text: chunk })),
                ]
                : [createSignedHead(), createStreamEvent(1), { kind: "end" }],
    });
    const { summary, view } = serve({ ...STREAM, maxAttempts: 2 });
    expect(await timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({ outcome: "answered", events: 1 });
    const [first] = transport.dispatches;
    expect((first?.abortedAt ?? Number.POSITIVE_INFINITY) - (first?.at ?? 0)).toBeLessThan(100);
    expect(view).toMatchObject({ status: 200, isComplete: true });
});
