/** Guards against streams and waiting requests that are cut by a graceful shutdown. */
import { fc, test } from "@fast-check/vitest";
import { expect, test as plainTest } from "vitest";
import {
    expectCompleteResponse,
    expectDispatchedAtMostOnce,
    expectRefusalsNotRun,
} from "../fixtures/invariants.js";
import { SYSTEM_PROPERTY } from "../fixtures/properties.js";
import {
    type CollectedResponse,
    collectResponse,
    createChatRequest,
    getTestCaller,
    TestSystem,
} from "../fixtures/test-system.js";

const TOKENS = 20;
const RUN_MS = 180_000;

test.prop([fc.integer({ min: 1, max: 200 }), fc.nat({ max: 3_000 }), fc.integer({ min: 1, max: 3 })], {
    ...SYSTEM_PROPERTY,
    numRuns: 12,
})("a VM that shuts down with streams and waiting requests cuts none", async (count, stopAt, stopping) => {
    const system = await TestSystem.create();
    const responses: CollectedResponse[] = [];
    const refusals: string[] = [];
    for (let index = 0; index < count; index += 1) {
        system.timers.schedule(index * 10, () => {
            const { vm } = system.getVm(`vm-${1 + index % 3}`);
            const request = createChatRequest({ kind: "quote", tokens: TOKENS });
            void vm.gateway.serve(getTestCaller(system), request).then(served => {
                if (served.isOk()) {
                    responses.push(collectResponse(served.value));
                }
                else {
                    refusals.push(served.error.name);
                }
            });
        });
    }
    let isStopped = false;
    let openAtStop = 0;
    system.timers.schedule(stopAt, () => {
        const { vm } = system.getVm(`vm-${stopping}`);
        void vm.stop().then(() => {
            isStopped = true;
            openAtStop = vm.openRequests.count;
        });
        expect(vm.isReady()).toBe(false);
    });
    await system.timers.advance(RUN_MS);
    expect(isStopped).toBe(true);
    expect(openAtStop).toBe(0);
    expect(responses.length + refusals.length).toBe(count);
    expect(refusals.filter(name => name !== "Stopping")).toEqual([]);
    responses.forEach(response => expectCompleteResponse(response, TOKENS));
    expectDispatchedAtMostOnce(system);
    expectRefusalsNotRun(system);
    system.close();
});

plainTest("a shutdown ends at its time limit even if a request is still open", async () => {
    const system = await TestSystem.create({
        settings: { timing: { stopLimitMs: 2_000, balancerDelayMs: 1_000 } },
    });
    const { vm } = system.getVm("vm-1");
    const request = createChatRequest({ kind: "quote", tokens: 1_000 });
    const served = await system.timers.runUntilSettled(
        vm.gateway.serve(getTestCaller(system), request),
        RUN_MS,
    );
    expect(served.isOk()).toBe(true);
    const startedAt = system.timers.now();
    const isGraceful = await system.timers.runUntilSettled(vm.stop(), RUN_MS);
    expect(isGraceful).toBe(false);
    expect(system.timers.now() - startedAt).toBe(3_000);
    expect(system.sink.events.some(event => event.name === "StopLimitReached")).toBe(true);
    system.close();
});

plainTest("the last VM serves its waiting requests before it stops", async () => {
    const system = await TestSystem.create({ vmCount: 1 });
    const { vm } = system.getVm("vm-1");
    const responses: CollectedResponse[] = [];
    for (let index = 0; index < 60; index += 1) {
        const request = createChatRequest({ kind: "quote", tokens: TOKENS });
        void vm.gateway.serve(getTestCaller(system), request).then(served =>
            responses.push(collectResponse(served.unwrap()))
        );
    }
    await system.timers.advance(50);
    expect(await system.timers.runUntilSettled(vm.stop(), RUN_MS)).toBe(true);
    await system.timers.flushPromises();
    expect(responses).toHaveLength(60);
    responses.forEach(response => expectCompleteResponse(response, TOKENS));
    system.close();
});
