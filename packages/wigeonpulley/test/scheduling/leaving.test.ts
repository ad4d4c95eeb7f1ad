/** Leaving endpoints and maintenance: no new work after a few seconds, and no response is cut off. */
import { expect, test } from "vitest";
import { expectCompleteResponse } from "../fixtures/invariants.js";
import { createTestConfiguration } from "../fixtures/test-configuration.js";
import {
    type CollectedResponse,
    collectResponse,
    createChatRequest,
    getTestCaller,
    TestSystem,
} from "../fixtures/test-system.js";

/** Time after which an endpoint that is leaving or under maintenance gets no new work, in milliseconds. */
const GRACE_MS = 5_000;
const TOKENS = 40;

/** Time in which the queued requests are served, in milliseconds. */
const BACKLOG_MS = 60_000;

/** Sends a request from each VM every 200 ms for `durationMs`, and collects the responses. */
const sendSteadily = (system: TestSystem, durationMs: number): readonly CollectedResponse[] => {
    const responses: CollectedResponse[] = [];
    for (let at = 0; at < durationMs; at += 200) {
        system.timers.schedule(at, () => {
            system.vms.forEach(({ vm }) => {
                const request = createChatRequest({ kind: "quote", tokens: TOKENS });
                void vm.gateway.serve(getTestCaller(system), request).then(served =>
                    responses.push(collectResponse(served.unwrap()))
                );
            });
        });
    }
    return responses;
};

test("a leaving endpoint gets no new work after a few seconds and finishes its running requests", async () => {
    const system = await TestSystem.create();
    const responses = sendSteadily(system, 20_000);
    await system.timers.advance(5_000);
    system.platform.setEndpointState("engine-1", "leaving");
    await system.timers.advance(GRACE_MS);
    const before = system.getEngine("engine-1").runs.size;
    await system.timers.advance(20_000);
    expect(before).toBeGreaterThan(0);
    expect(system.getEngine("engine-1").runs.size).toBe(before);
    const states = system.sink.events.filter(event => event.name === "EndpointStateChanged");
    expect(states.map(event => event.details)).toContainEqual({ endpoint: "engine-1", state: "leaving" });
    await system.timers.advance(BACKLOG_MS);
    responses.forEach(response => expectCompleteResponse(response, TOKENS));
    system.close();
});

test("an endpoint gets no work during maintenance, and gets work again afterwards without intervention", async () => {
    const system = await TestSystem.create();
    const start = system.timers.readWallClock() + 10_000;
    const maintenance = [{
        name: "rack-work",
        endpoint: "engine-1",
        from: new Date(start + 5_000).toISOString(),
        until: new Date(start + 20_000).toISOString(),
        drainMs: 5_000,
    }];
    await system.publish(createTestConfiguration({ maintenance }), 0);
    const responses = sendSteadily(system, 60_000);
    await system.timers.advance(start + GRACE_MS - system.timers.readWallClock());
    const before = system.getEngine("engine-1").runs.size;
    await system.timers.advance(10_000);
    const during = system.getEngine("engine-1").runs.size;
    await system.timers.advance(30_000);
    expect(before).toBeGreaterThan(0);
    expect(during).toBe(before);
    expect(system.getEngine("engine-1").runs.size).toBeGreaterThan(during);
    await system.timers.advance(BACKLOG_MS);
    responses.forEach(response => expectCompleteResponse(response, TOKENS));
    system.close();
});
