import { expect, test } from "vitest";
import { createForwarding, createRequestPeer, createSignedResponse } from "../fixtures/forwarding-fixture.js";
import { createInstance } from "../fixtures/raw-endpoint.js";
import type { ScriptedStep } from "../fixtures/scripted-transport.js";

const LIMIT_MS = 30_000;
const REGIONS = { "south-1": "south", "south-2": "south" };
const INSTANCES = Object.keys(REGIONS).map((dataCentre, index) =>
    createInstance({ id: `i-${dataCentre}`, dataCentre, port: index + 1 })
);
const FAULT: readonly ScriptedStep[] = [
    { kind: "head", status: 500, headers: {}, afterMs: 100 },
    { kind: "end" },
];

const create = (script: Parameters<typeof createForwarding>[0]["script"]) => {
    const forwarding = createForwarding({ instances: INSTANCES, regions: REGIONS, script });
    return {
        ...forwarding,
        listDispatched: () => forwarding.transport.dispatches.map(({ instance }) => instance),
    };
};

test("the instances of an evacuated data centre get no requests, and what runs there ends normally", async () => {
    const { timers, evacuations, serve, listDispatched } = create(() => createSignedResponse("served"));
    const { summary, view } = serve({});
    await timers.advance(5);
    evacuations.applyChange("south-1", true);
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(view).toMatchObject({ status: 200, body: "served" });
    for (let count = 0; count < 10; count += 1) {
        await timers.runUntilSettled(serve({}).summary, LIMIT_MS);
    }
    expect(listDispatched()).toEqual(["i-south-1", ...Array.from({ length: 10 }, () => "i-south-2")]);
});

// Guards against retries to an instance that was a candidate when the request was admitted.
test("a retry doesn't go to a data centre that is evacuated meanwhile", async () => {
    const { timers, evacuations, serve, listDispatched } = create(() => FAULT);
    const { summary } = serve({ maxAttempts: 3 });
    await timers.advance(50);
    evacuations.applyChange("south-2", true);
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(listDispatched()).toEqual(["i-south-1"]);
});

// Guards against a queue that is only looked at again when a slot is freed or a timer fires.
test("requests wait while all instances are evacuated, and are dispatched as soon as that ends", async () => {
    const { timers, evacuations, serve, listDispatched } = create(() => createSignedResponse("served"));
    evacuations.applySnapshot(new Set(["south-1", "south-2"]));
    const { summary } = serve({});
    await timers.advance(120);
    expect(listDispatched()).toEqual([]);
    evacuations.applyChange("south-2", false);
    await timers.advance(1);
    expect(listDispatched()).toEqual(["i-south-2"]);
    await timers.runUntilSettled(summary, LIMIT_MS);
});

test("a request that waited for an evacuated data centre in vain is refused as not run", async () => {
    const { timers, evacuations, serve, listDispatched } = create(() => createSignedResponse("served"));
    evacuations.applySnapshot(new Set(["south-1", "south-2"]));
    const { summary, view } = serve({});
    expect(await timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({
        status: 503,
        outcome: "Overloaded",
        mayHaveRun: false,
    });
    expect(view.headers.has("retry-after")).toBe(true);
    expect(listDispatched()).toEqual([]);
});

// Guards against a VM that counts as cut off, or not, because of instances that get no requests anyway.
test("evacuated instances don't tell whether a VM is cut off", async () => {
    const { timers, evacuations, serve, transport } = createForwarding({
        instances: INSTANCES,
        regions: REGIONS,
        peers: [createRequestPeer()],
        script: ({ id }) =>
            id === "i-south-1" ? [{ kind: "fail", mayHaveRun: false }] : createSignedResponse("served"),
    });
    for (let count = 0; count < 3; count += 1) {
        await timers.runUntilSettled(serve({}).summary, LIMIT_MS);
    }
    expect(transport.dispatches.some(({ instance }) => instance === "vm:vm-2")).toBe(false);
    evacuations.applyChange("south-2", true);
    await timers.runUntilSettled(serve({}).summary, LIMIT_MS);
    expect(transport.dispatches.at(-1)?.instance).toBe("vm:vm-2");
});
