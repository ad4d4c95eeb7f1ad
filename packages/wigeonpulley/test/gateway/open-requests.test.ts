/** Checks the limit of open requests: a full VM evicts only waiting requests of lower tiers, never dispatched ones. */
import { fc, test } from "@fast-check/vitest";
import { expect, test as plainTest } from "vitest";
import { OpenRequests, type SchedulerError } from "wigeonpulley";
import { expectRefusalsNotRun } from "../fixtures/invariants.js";
import { UNIT_PROPERTY } from "../fixtures/properties.js";
import { createEngineEndpoint, createTestConfiguration } from "../fixtures/test-configuration.js";
import { createChatRequest, getTestCaller, TestSystem } from "../fixtures/test-system.js";

const LIMIT = 4;

test.prop([fc.array(fc.nat({ max: 3 }), { maxLength: 30 })], UNIT_PROPERTY)(
    "a request is refused only if no request of a lower tier is waiting",
    tiers => {
        const open = OpenRequests.create({ openRequests: LIMIT, reservedForDurable: 0 });
        const waiting: number[] = [];
        tiers.forEach(tier => {
            const admitted = open.tryAdmit({
                tier,
                isDurable: false,
                evict: () => waiting.splice(waiting.indexOf(Math.max(...waiting)), 1),
            });
            if (admitted === undefined) {
                expect(waiting.every(other => other <= tier)).toBe(true);
            }
            else {
                waiting.push(tier);
            }
            expect(open.count).toBe(waiting.length);
            expect(open.count).toBeLessThanOrEqual(LIMIT);
        });
    },
);

plainTest("a dispatched request is never evicted", () => {
    const open = OpenRequests.create({ openRequests: 1, reservedForDurable: 0 });
    const evicted: string[] = [];
    open.tryAdmit({ tier: 2, isDurable: false, evict: () => evicted.push("low") })?.recordDispatch();
    expect(open.tryAdmit({ tier: 0, isDurable: true, evict: () => undefined })).toBeUndefined();
    expect(evicted).toEqual([]);
});

plainTest("part of the limit is reserved for durable tiers", () => {
    const open = OpenRequests.create({ openRequests: 2, reservedForDurable: 1 });
    const tryAdmit = (tier: number, isDurable: boolean): boolean =>
        open.tryAdmit({ tier, isDurable, evict: () => undefined }) !== undefined;
    expect([tryAdmit(1, false), tryAdmit(1, false), tryAdmit(0, true)]).toEqual([true, false, true]);
});

plainTest("an evicted request is refused at once as not run, and the higher one is served", async () => {
    const concurrency = { initial: 1, maximum: 1 };
    const system = await TestSystem.create({
        vmCount: 1,
        configuration: createTestConfiguration({
            endpoints: [createEngineEndpoint("engine-1", { concurrency })],
        }),
        settings: { limits: { openRequests: 2, reservedForDurable: 0 } },
    });
    const { gateway } = system.getVm("vm-1").vm;
    const caller = getTestCaller(system);
    void gateway.serve(caller, createChatRequest({ kind: "quote", tokens: 100 }));
    await system.timers.advance(100);
    const refusals: SchedulerError[] = [];
    void gateway.serve(caller, createChatRequest({ kind: "check" })).then(served => {
        if (served.isErr()) {
            refusals.push(served.error);
        }
    });
    await system.timers.advance(100);
    const higher = gateway.serve(caller, createChatRequest({ kind: "answer" }));
    await system.timers.advance(10);
    expect(refusals.map(error => [error.name, error.entry.notRun])).toEqual([["Overloaded", true]]);
    const lower = await system.timers.runUntilSettled(
        gateway.serve(caller, createChatRequest({ kind: "check" })),
        1_000,
    );
    expect(lower.isErr() && lower.error.name).toBe("TooManyStreams");
    expect((await system.timers.runUntilSettled(higher, 60_000)).isOk()).toBe(true);
    expectRefusalsNotRun(system);
    system.close();
});

plainTest("a refusal by the limit of open requests names the limit, not their number", async () => {
    const system = await TestSystem.create({
        vmCount: 1,
        settings: { limits: { openRequests: 2, reservedForDurable: 1 } },
    });
    const { gateway } = system.getVm("vm-1").vm;
    const caller = getTestCaller(system);
    for (let index = 0; index < 2; index += 1) {
        void gateway.serve(caller, createChatRequest({ kind: "quote", tokens: 1_000 }));
    }
    await system.timers.advance(1);
    const refused = await system.timers.runUntilSettled(
        gateway.serve(caller, createChatRequest({ kind: "check" })),
        10,
    );
    expect(refused.isErr() && refused.error.message).toBe(
        "This VM has reached its limit of 1 open requests.",
    );
    system.close();
});
