/** Orders run at most once: the service's own counter is the judge. */
import { fc, test } from "@fast-check/vitest";
import type { EndpointFault, LogFault } from "@wigeonpulley/stand-ins";
import { expect, test as plainTest } from "vitest";
import {
    expectDispatchedAtMostOnce,
    expectKeysRunAtMostOnce,
    expectRefusalsNotRun,
} from "../fixtures/invariants.js";
import { SYSTEM_PROPERTY } from "../fixtures/properties.js";
import { createOrderRequest, findTestCaller, serveRequest, TestSystem } from "../fixtures/test-system.js";

const RUN_MS = 120_000;

const orderArbitrary = fc.record({
    at: fc.nat({ max: 6_000 }),
    vm: fc.integer({ min: 1, max: 3 }),
    key: fc.integer({ min: 0, max: 3 }).map(number => `order-${number}`),
});

const logFaultArbitrary: fc.Arbitrary<LogFault> = fc.constantFrom(
    "none",
    "none",
    "refused",
    "lost-request",
    "lost-answer",
    "lands-late",
);

const endpointFaultArbitrary: fc.Arbitrary<EndpointFault> = fc.constantFrom<EndpointFault>(
    { kind: "none" },
    { kind: "none" },
    { kind: "no-connection" },
    { kind: "lost-request" },
    { kind: "lost-answer" },
    { kind: "silent", afterEvents: 0 },
);

const freezeArbitrary = fc.record({
    at: fc.nat({ max: 6_000 }),
    vm: fc.integer({ min: 1, max: 3 }),
    durationMs: fc.nat({ max: 60_000 }),
});

const outageArbitrary = fc.record({ at: fc.nat({ max: 6_000 }), durationMs: fc.nat({ max: 90_000 }) });

test.prop(
    [
        fc.array(orderArbitrary, { minLength: 1, maxLength: 20 }),
        fc.array(logFaultArbitrary, { maxLength: 30 }),
        fc.array(endpointFaultArbitrary, { maxLength: 20 }),
        fc.array(fc.record({ at: fc.nat({ max: 6_000 }), vm: fc.integer({ min: 1, max: 3 }) }), {
            maxLength: 2,
        }),
        fc.option(outageArbitrary, { nil: undefined }),
        fc.array(freezeArbitrary, { maxLength: 3 }),
    ],
    SYSTEM_PROPERTY,
)("a key runs at most once and refusals are true", async (
    orders,
    logFaults,
    endpointFaults,
    kills,
    outage,
    freezes,
) => {
    const system = await TestSystem.create();
    const pendingLogFaults = [...logFaults];
    const pendingEndpointFaults = [...endpointFaults];
    system.platform.chooseAppendFault = stream =>
        stream.startsWith("claims") ? pendingLogFaults.shift() ?? "none" : "none";
    system.endpoints.chooseFault = operation =>
        operation === "dispatch" ? pendingEndpointFaults.shift() ?? { kind: "none" } : { kind: "none" };
    orders.forEach(({ at, vm, key }) => {
        system.timers.schedule(at, () => {
            void system.vms.get(`vm-${vm}`)?.vm.gateway.serve(
                findTestCaller(system),
                createOrderRequest(key),
            );
        });
    });
    kills.forEach(({ at, vm }) => {
        system.timers.schedule(at, () => {
            if (system.vms.has(`vm-${vm}`)) {
                system.killVm(`vm-${vm}`);
            }
        });
    });
    freezes.forEach(({ at, vm, durationMs }) => {
        system.timers.schedule(at, () => {
            if (!system.vms.has(`vm-${vm}`)) {
                return;
            }
            system.freezeVm(`vm-${vm}`);
            system.timers.schedule(durationMs, () => {
                if (system.vms.has(`vm-${vm}`)) {
                    system.thawVm(`vm-${vm}`);
                }
            });
        });
    });
    if (outage !== undefined) {
        system.timers.schedule(outage.at, () => {
            system.platform.isLogOut = true;
        });
        system.timers.schedule(outage.at + outage.durationMs, () => {
            system.platform.isLogOut = false;
        });
    }
    await system.timers.advance(RUN_MS);
    expectKeysRunAtMostOnce(system);
    expectDispatchedAtMostOnce(system);
    expectRefusalsNotRun(system);
    system.close();
});

plainTest("the same key on two VMs at once runs once and both get its answer", async () => {
    const system = await TestSystem.create();
    const caller = findTestCaller(system);
    const both = Promise.all(
        ["vm-1", "vm-2"].map(name =>
            system.findVm(name).vm.gateway.serve(caller, createOrderRequest("order-1"))
        ),
    );
    const [first, second] = await system.timers.runUntilSettled(both, RUN_MS);
    expect((first?.unwrap() as { body: string; }).body).toBe((second?.unwrap() as { body: string; }).body);
    expectKeysRunAtMostOnce(system);
    system.close();
});

plainTest("a key with another body is refused", async () => {
    const system = await TestSystem.create();
    await serveRequest(system, "vm-1", createOrderRequest("order-1", "400 kg"));
    const reused = await serveRequest(system, "vm-2", createOrderRequest("order-1", "500 kg"));
    expect(reused.isErr() && reused.error.name).toBe("KeyReused");
    system.close();
});

plainTest("while the log is out an order waits, then is refused as not run", async () => {
    const system = await TestSystem.create();
    system.platform.isLogOut = true;
    const refused = await serveRequest(system, "vm-1", createOrderRequest("order-1"));
    expect(refused.isErr() && refused.error.entry.notRun).toBe(true);
    expect(system.findService("orders-1").runsByKey.size).toBe(0);
    system.close();
});

plainTest("a claim whose VM died before the outcome was recorded is answered as unknown", async () => {
    const system = await TestSystem.create();
    system.endpoints.chooseFault = operation =>
        operation === "dispatch" ? { kind: "silent", afterEvents: 0 } : { kind: "none" };
    void system.findVm("vm-1").vm.gateway.serve(findTestCaller(system), createOrderRequest("order-1"));
    await system.timers.advance(2_000);
    system.killVm("vm-1");
    await system.timers.advance(10_000);
    const repeat = await serveRequest(system, "vm-2", createOrderRequest("order-1"));
    expect(repeat.isErr() && repeat.error.name).toBe("OutcomeUnknown");
    expectKeysRunAtMostOnce(system);
    system.close();
});

plainTest("a claim that was given up does not hold its key when its append lands late", async () => {
    const system = await TestSystem.create();
    const faults: LogFault[] = ["lands-late"];
    system.platform.chooseAppendFault = stream =>
        stream.startsWith("claims") ? faults.shift() ?? "none" : "none";
    const refused = await serveRequest(system, "vm-1", createOrderRequest("order-1"));
    expect(refused.isErr() && refused.error.entry.notRun).toBe(true);
    await system.timers.advance(10_000);
    const repeat = await serveRequest(system, "vm-2", createOrderRequest("order-1"));
    expect(repeat.unwrap()).toMatchObject({ status: 200 });
    expectKeysRunAtMostOnce(system);
    system.close();
});

plainTest("a VM frozen between its claim and its dispatch runs the order once after it thaws", async () => {
    const system = await TestSystem.create();
    let isFrozen = false;
    system.platform.chooseAppendFault = stream => {
        if (stream.startsWith("claims") && !isFrozen) {
            isFrozen = true;
            // The append lands, and its answer finds the VM frozen.
            system.timers.schedule(1, () => system.freezeVm("vm-1"));
        }
        return "none";
    };
    const first = system.findVm("vm-1").vm.gateway.serve(
        findTestCaller(system),
        createOrderRequest("order-1"),
    );
    await system.timers.advance(5_000);
    expect(system.findService("orders-1").runsByKey.size).toBe(0);
    const other = await serveRequest(system, "vm-2", createOrderRequest("order-1"));
    expect(other.isErr() && other.error.name).toBe("OutcomeUnknown");
    system.thawVm("vm-1");
    expect((await system.timers.runUntilSettled(first, RUN_MS)).isOk()).toBe(true);
    expect(system.findService("orders-1").runsByKey.get("order-1")).toBe(1);
    system.close();
});

plainTest("a VM that stops has recorded the outcome of its orders", async () => {
    const system = await TestSystem.create({ settings: { timing: { balancerDelayMs: 10 } } });
    const first = await serveRequest(system, "vm-1", createOrderRequest("order-1"));
    system.platform.isLogOut = true;
    const stopped = system.findVm("vm-1").vm.stop();
    system.timers.schedule(5_000, () => {
        system.platform.isLogOut = false;
    });
    await system.timers.runUntilSettled(stopped, RUN_MS);
    system.killVm("vm-1");
    const repeat = await serveRequest(system, "vm-2", createOrderRequest("order-1"));
    expect(repeat.unwrap()).toMatchObject({ body: (first.unwrap() as { body: string; }).body });
    system.close();
});

plainTest("the repeat of an order whose answer was too long to keep is told so", async () => {
    const system = await TestSystem.create();
    const request = { ...createOrderRequest("order-1"), path: `/place?note=${"x".repeat(5_000)}` };
    const first = await serveRequest(system, "vm-1", request);
    expect(first.isOk()).toBe(true);
    await system.timers.advance(1_000);
    const repeat = await serveRequest(system, "vm-2", request);
    expect(repeat.isErr() && repeat.error.name).toBe("AnswerNotKept");
    expectKeysRunAtMostOnce(system);
    system.close();
});
