/** A higher tier is never shed before a lower one, whichever VMs hold the requests. */
import { fc, test } from "@fast-check/vitest";
import { expect } from "vitest";
import { expectDispatchedAtMostOnce, expectRefusalsNotRun } from "../fixtures/invariants.js";
import { SYSTEM_PROPERTY } from "../fixtures/properties.js";
import { createEngineEndpoint, createTestConfiguration } from "../fixtures/test-configuration.js";
import { createChatRequest, getTestCaller, TestSystem } from "../fixtures/test-system.js";

const RUN_MS = 120_000;
const TIERS = ["quote", "answer", "check"] as const;

const concurrency = { initial: 2, maximum: 4 };

/** Three data centres in two regions, so that three schedulers serve the same requests. */
const createOverloadConfiguration = () =>
    createTestConfiguration({
        tiers: [
            { name: "quotes", deadlineMs: 60_000, durable: true },
            { name: "answers", deadlineMs: 3_000 },
            { name: "checks", deadlineMs: 10_000 },
        ],
        endpoints: [
            createEngineEndpoint("engine-1", { concurrency }),
            createEngineEndpoint("engine-2", { concurrency, dataCentre: "south-2" }),
            createEngineEndpoint("engine-3", { concurrency, dataCentre: "north-1", region: "north" }),
        ],
        selectors: [
            { name: "quotes", request: { kind: "quote" }, tier: "quotes", target: { serves: "grafting-7b" } },
            {
                name: "answers",
                request: { kind: "answer" },
                tier: "answers",
                target: { serves: "grafting-7b" },
            },
            { name: "checks", tier: "checks", target: { serves: "grafting-7b" } },
        ],
    });

const requestArbitrary = fc.record({
    at: fc.nat({ max: 20_000 }),
    vm: fc.integer({ min: 1, max: 3 }),
    tier: fc.nat({ max: 2 }),
    tokens: fc.integer({ min: 20, max: 60 }),
});

test.prop(
    [
        fc.array(requestArbitrary, { minLength: 100, maxLength: 250, size: "max" }),
        fc.option(fc.record({ at: fc.nat({ max: 6_000 }), slowdown: fc.integer({ min: 2, max: 6 }) }), {
            nil: undefined,
        }),
    ],
    { ...SYSTEM_PROPERTY, numRuns: 40 },
)("no request waits in a lower tier when a higher one is refused for load", async (requests, slowdown) => {
    const system = await TestSystem.create({ configuration: createOverloadConfiguration() });
    const violations: string[] = [];
    const lostQuotes: string[] = [];
    let settled = 0;
    requests.forEach(({ at, vm, tier, tokens }) => {
        system.timers.schedule(at, () => {
            const request = createChatRequest({ kind: TIERS[tier] ?? "check", tokens });
            void system.getVm(`vm-${vm}`).vm.gateway.serve(getTestCaller(system), request).then(served => {
                settled += 1;
                if (served.isOk()) {
                    return;
                }
                if (served.error.name === "Overloaded") {
                    const waiting = [...system.vms.values()].flatMap(({ vm: { schedulers } }) =>
                        [...schedulers.listSchedulers().values()].flatMap(group => group.listWaitingTiers())
                    );
                    waiting.filter(other => other > tier).forEach(other =>
                        violations.push(`tier ${tier} was refused while tier ${other} waited`)
                    );
                    expect(served.error.retryAfterMs).toBeGreaterThan(0);
                }
                if (tier === 0) {
                    lostQuotes.push(served.error.name);
                }
            });
        });
    });
    if (slowdown !== undefined) {
        system.timers.schedule(slowdown.at, () => {
            system.getEngine("engine-1").slowdown = slowdown.slowdown;
        });
    }
    await system.timers.advance(RUN_MS);
    expect(violations).toEqual([]);
    expect(lostQuotes).toEqual([]);
    expect(settled).toBe(requests.length);
    expectDispatchedAtMostOnce(system);
    expectRefusalsNotRun(system);
    system.close();
});
