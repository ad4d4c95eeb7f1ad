/**
 * Guards against double dispatch, refusals of requests that ran, and incomplete responses. Faults on the connections to
 * the endpoints and a killed VM, in generated schedules, bring them about.
 */
import { fc, test } from "@fast-check/vitest";
import type { EndpointFault } from "@wigeonpulley/stand-ins";
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
    serveRequest,
    TestSystem,
} from "../fixtures/test-system.js";

const TOKENS = 12;
const RUN_MS = 90_000;

const faultArbitrary: fc.Arbitrary<EndpointFault> = fc.oneof(
    { weight: 4, arbitrary: fc.constant<EndpointFault>({ kind: "none" }) },
    { weight: 1, arbitrary: fc.constant<EndpointFault>({ kind: "no-connection" }) },
    { weight: 1, arbitrary: fc.constant<EndpointFault>({ kind: "lost-request" }) },
    { weight: 1, arbitrary: fc.constant<EndpointFault>({ kind: "lost-answer" }) },
    {
        weight: 1,
        arbitrary: fc.nat({ max: 8_000 }).map((delayMs): EndpointFault => ({
            kind: "arrives-late",
            delayMs,
        })),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constantFrom("silent" as const, "cut" as const, "gap" as const, "repeat" as const),
            afterEvents: fc.nat({ max: TOKENS }),
        }),
    },
    { weight: 1, arbitrary: fc.constant<EndpointFault>({ kind: "crossed" }) },
);

const requestArbitrary = fc.record({
    at: fc.nat({ max: 5_000 }),
    vm: fc.integer({ min: 1, max: 3 }),
    kind: fc.constantFrom("quote", "answer", "check"),
});

test.prop(
    [
        fc.array(requestArbitrary, { minLength: 1, maxLength: 25 }),
        fc.array(faultArbitrary, { maxLength: 60 }),
        fc.option(fc.record({ at: fc.nat({ max: 6_000 }), vm: fc.integer({ min: 1, max: 3 }) }), {
            nil: undefined,
        }),
    ],
    SYSTEM_PROPERTY,
)("requests run at most once, refused ones never; responses are complete", async (requests, faults, kill) => {
    const system = await TestSystem.create();
    const pending = [...faults];
    system.endpoints.chooseFault = operation =>
        operation === "report" ? { kind: "none" } : pending.shift() ?? { kind: "none" };
    const responses: CollectedResponse[] = [];
    let settled = 0;
    const killed = kill === undefined ? undefined : `vm-${kill.vm}`;
    requests.forEach(({ at, vm, kind }) => {
        system.timers.schedule(at, () => {
            const gateway = system.vms.get(`vm-${vm}`)?.vm.gateway;
            void gateway?.serve(getTestCaller(system), createChatRequest({ kind, tokens: TOKENS })).then(
                served => {
                    settled += 1;
                    if (served.isOk()) {
                        responses.push(collectResponse(served.value));
                    }
                },
            );
        });
    });
    if (kill !== undefined) {
        system.timers.schedule(kill.at, () => system.killVm(`vm-${kill.vm}`));
    }
    await system.timers.advance(RUN_MS);
    expectDispatchedAtMostOnce(system);
    expectRefusalsNotRun(system);
    const survivors = requests.filter(({ vm }) => `vm-${vm}` !== killed).length;
    expect(settled).toBeGreaterThanOrEqual(survivors);
    responses.filter(response => response.isEnded && response.error === undefined).forEach(response =>
        expectCompleteResponse(response, TOKENS)
    );
    system.close();
});

plainTest("a response whose connections are all cut before the first event ends with an error", async () => {
    const system = await TestSystem.create();
    let resumptions = 0;
    system.endpoints.chooseFault = operation => {
        resumptions += operation === "resume" ? 1 : 0;
        return operation === "report" ? { kind: "none" } : { kind: "cut", afterEvents: 0 };
    };
    const served = await serveRequest(system, "vm-1", createChatRequest({ tokens: TOKENS }));
    expect(served.isErr() && served.error.name).toBe("EndpointFailed");
    expect(resumptions).toBeLessThan(20);
    expectDispatchedAtMostOnce(system);
    system.close();
});
