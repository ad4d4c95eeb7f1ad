import { expect, test } from "vitest";
import { RequestLifetime, type RequestPeer } from "wigeonpulley";
import {
    createForwarding,
    createRequestPeer,
    createSignedHead,
    createSignedResponse,
    createStreamEvent,
} from "../fixtures/forwarding-fixture.js";
import type { ScriptedStep } from "../fixtures/scripted-transport.js";

const LIMIT_MS = 30_000;
const PEERS: readonly RequestPeer[] = ["vm-2", "vm-3"].map((name, index) =>
    createRequestPeer({ name, port: index + 1 })
);
const UNREACHABLE: readonly ScriptedStep[] = [{ kind: "fail", mayHaveRun: false }];
const STREAM = {
    kind: "stream",
    isResumable: true,
    maxAttempts: 2,
    targetLatencyMs: 800,
    gapTargetMs: 300,
    timeoutMs: 15_000,
} as const;

/** A forwarder that has noticed that it reaches no instance; `steps` are the response of each other VM from then on. */
const createCutOff = async (steps: readonly ScriptedStep[], peers: readonly RequestPeer[] = PEERS) => {
    let hasNoticed = false;
    const forwarding = createForwarding({
        peers,
        script: ({ id }) => {
            if (!id.startsWith("vm:")) {
                return UNREACHABLE;
            }
            return hasNoticed ? steps : createSignedResponse("noticed");
        },
    });
    const { timers, transport, serve } = forwarding;
    await timers.runUntilSettled(serve({}).summary, LIMIT_MS);
    hasNoticed = true;
    transport.dispatches.length = 0;
    return forwarding;
};

/** Formats alternating names and values. */
const formatHeaders = (headers: readonly string[] = []): readonly string[] =>
    headers.flatMap((name, index) => index % 2 === 0 ? [`${name}: ${headers[index + 1]}`] : []);

const listDispatched = ({ transport }: Awaited<ReturnType<typeof createCutOff>>): readonly string[] =>
    transport.dispatches.map(({ instance }) => instance);

// Guards against GONE: the way through another VM must not pass by the check for callers that have left.
test("a request whose caller has left is not passed on", async () => {
    const cutOff = await createCutOff(createSignedResponse("too late"));
    const lifetime = RequestLifetime.create(cutOff.timers, cutOff.timers.now() + LIMIT_MS);
    lifetime.cancel("caller-gone");
    const { summary } = cutOff.serve({}, { lifetime });
    expect(await cutOff.timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({ mayHaveRun: false });
    expect(listDispatched(cutOff)).toEqual([]);
});

test("a request that one VM can't serve goes to the next one, each of them once", async () => {
    const cutOff = await createCutOff([
        { kind: "head", status: 503, headers: { "x-vm-error": "EndpointUnreachable" } },
        { kind: "end" },
    ]);
    const { summary, view } = cutOff.serve({ kind: "once" });
    expect(await cutOff.timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({ mayHaveRun: false });
    expect(listDispatched(cutOff).filter(id => id.startsWith("vm:")).toSorted()).toEqual([
        "vm:vm-2",
        "vm:vm-3",
    ]);
    expect(view.status).toBe(503);
    expect(view.headers.has("retry-after")).toBe(true);
});

test("a request that a VM refuses for its own sake takes that VM away from no other request", async () => {
    const cutOff = await createCutOff([
        { kind: "head", status: 401, headers: { "x-vm-error": "UnknownCaller" } },
        { kind: "end" },
    ]);
    await cutOff.timers.runUntilSettled(cutOff.serve({}).summary, LIMIT_MS);
    const before = listDispatched(cutOff).length;
    await cutOff.timers.runUntilSettled(cutOff.serve({}).summary, LIMIT_MS);
    expect(listDispatched(cutOff).slice(before).some(id => id.startsWith("vm:"))).toBe(true);
});

test("a caller can't set the headers by which VMs recognise each other", async () => {
    const cutOff = await createCutOff(createSignedResponse("served"));
    const rawHeaders = ["Host", "wax.example", "X-Peer-Key", "guessed", "X-VM-Name", "vm-9"];
    await cutOff.timers.runUntilSettled(cutOff.serve({}, { rawHeaders }).summary, LIMIT_MS);
    expect(cutOff.transport.dispatches[0]?.request.headers).not.toEqual(expect.arrayContaining(["guessed"]));
    expect(cutOff.transport.dispatches[0]?.request.headers).not.toEqual(expect.arrayContaining(["vm-9"]));
});

test("the refusal of a VM without a free slot is passed on with its time to retry", async () => {
    const cutOff = await createCutOff([
        { kind: "head", status: 503, headers: { "x-vm-error": "Overloaded", "retry-after": "0.70" } },
        { kind: "end" },
    ]);
    const { summary, view } = cutOff.serve({ kind: "once" });
    await cutOff.timers.runUntilSettled(summary, LIMIT_MS);
    expect(listDispatched(cutOff)).toHaveLength(1);
    expect(view).toMatchObject({ status: 503 });
    expect(view.headers.get("retry-after")).toBe("0.70");
});

test.each([
    ["is lost", [{ kind: "fail", mayHaveRun: true }] satisfies readonly ScriptedStep[]],
    [
        "fails at its instance",
        [
            { kind: "head", status: 502, headers: { "x-vm-error": "EndpointFailed" } },
            { kind: "end" },
        ] satisfies readonly ScriptedStep[],
    ],
])("a request that was passed on and %s is not sent again", async (name, steps) => {
    const cutOff = await createCutOff(steps);
    const { summary, view } = cutOff.serve({ kind: "idempotent", maxAttempts: 3 });
    expect(await cutOff.timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({ mayHaveRun: true });
    expect(listDispatched(cutOff)).toHaveLength(1);
    expect(view.status).toBe(502);
});

test("a stream that loses its instance is resumed through another VM after its last event", async () => {
    const { timers, transport, serve } = createForwarding({
        peers: PEERS,
        script: ({ id }, count) => {
            if (id.startsWith("vm:")) {
                return [createSignedHead(), createStreamEvent(3), { kind: "end" }];
            }
            return count === 1
                ? [createSignedHead(), createStreamEvent(1), createStreamEvent(2), {
                    kind: "fail",
                    mayHaveRun: true,
                    afterMs: 500,
                }]
                : UNREACHABLE;
        },
    });
    const stream = serve(STREAM);
    await timers.advance(100);
    await timers.runUntilSettled(Promise.all([serve({}).summary, serve({}).summary]), 300);
    await timers.runUntilSettled(stream.summary, LIMIT_MS);
    const last = transport.dispatches.findLast(({ instance }) => instance.startsWith("vm:"));
    expect(formatHeaders(last?.request.headers)).toContain("x-last: 2");
    expect(stream.view).toMatchObject({ isComplete: true });
    expect([...stream.view.body.matchAll(/piece (\d)/g)].map(([, piece]) => piece)).toEqual(["1", "2", "3"]);
});

/** Headers of the first request that was sent on. */
const listSentHeaders = ({ transport }: Awaited<ReturnType<typeof createCutOff>>): readonly string[] =>
    formatHeaders(transport.dispatches[0]?.request.headers);

// Guards against TWICE: the other VM decided by its older configuration whether a request may run again.
test.each([
    { route: { kind: "once" } as const, isRepeatable: false },
    { route: { kind: "idempotent" } as const, isRepeatable: true },
    { route: STREAM, isRepeatable: true },
    { route: { ...STREAM, isResumable: false }, isRepeatable: false },
])(
    "a request is passed on with its version and with whether it may run again (%o)",
    async ({ route, isRepeatable }) => {
        const cutOff = await createCutOff(createSignedResponse("served"));
        const { summary } = cutOff.serve(route, { configurationVersion: 1 });
        await cutOff.timers.runUntilSettled(summary, LIMIT_MS);
        expect(listSentHeaders(cutOff)).toContain("x-vm-configuration: 1");
        expect(listSentHeaders(cutOff).includes("x-vm-repeatable: 1")).toBe(isRepeatable);
    },
);

// Guards against TWICE: a VM repeated a request after the instance's own 500, by a configuration older than the request's.
test("a request that another VM passed on as running once runs once, though this VM's configuration allows repeats", async () => {
    const forwarding = createForwarding({ script: () => createSignedResponse("failed", 500) });
    const { summary, view } = forwarding.serve(
        { kind: "idempotent", maxAttempts: 3 },
        { peer: "vm-2", isRepeatableForPeer: false },
    );
    expect(await forwarding.timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({ mayHaveRun: true });
    expect(forwarding.transport.dispatches.map(({ request }) => request.isAtMostOnce)).toEqual([true]);
    expect(view.status).toBe(500);
});

// Guards against RECOVER: a VM that is behind refuses, and the request has to be served by another one.
test("a request goes on to the next VM when one is behind, which is asked again for later requests", async () => {
    const cutOff = await createCutOff([
        { kind: "head", status: 503, headers: { "x-vm-error": "ConfigurationBehind" } },
        { kind: "end" },
    ]);
    const { summary, view } = cutOff.serve({ kind: "once" });
    expect(await cutOff.timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({ mayHaveRun: false });
    const asked = (): readonly string[] =>
        listDispatched(cutOff).filter(id => id.startsWith("vm:")).toSorted();
    expect(asked()).toEqual(["vm:vm-2", "vm:vm-3"]);
    expect(view.status).toBe(503);
    cutOff.transport.dispatches.length = 0;
    await cutOff.timers.runUntilSettled(cutOff.serve({ kind: "once" }).summary, LIMIT_MS);
    expect(asked()).toEqual(["vm:vm-2", "vm:vm-3"]);
});

// Guards against TWICE and CONFIG during an upgrade: a build that doesn't compare configurations serves by an older one.
test("a VM that doesn't compare configurations is asked only if it is known to have the request's version", async () => {
    const cutOff = await createCutOff(createSignedResponse("served"), [
        createRequestPeer({ name: "vm-2", port: 1, comparesConfigurations: false, configuration: 4 }),
        createRequestPeer({ name: "vm-3", port: 2, comparesConfigurations: false, configuration: 5 }),
    ]);
    for (const configurationVersion of [5, 5, 5, 5, 6, 6]) {
        const { summary } = cutOff.serve({ kind: "once" }, { configurationVersion });
        await cutOff.timers.runUntilSettled(summary, LIMIT_MS);
    }
    const asked = listDispatched(cutOff).filter(id => id.startsWith("vm:"));
    expect(asked).toEqual(["vm:vm-3", "vm:vm-3", "vm:vm-3", "vm:vm-3"]);
});

test("a VM that is known to have the request's version is preferred", async () => {
    const cutOff = await createCutOff(createSignedResponse("served"), [
        createRequestPeer({ name: "vm-2", port: 1, configuration: 4 }),
        createRequestPeer({ name: "vm-3", port: 2, configuration: 5 }),
    ]);
    for (let count = 0; count < 4; count += 1) {
        const { summary } = cutOff.serve({ kind: "once" }, { configurationVersion: 5 });
        await cutOff.timers.runUntilSettled(summary, LIMIT_MS);
    }
    expect(listDispatched(cutOff)).toEqual(["vm:vm-3", "vm:vm-3", "vm:vm-3", "vm:vm-3"]);
});
