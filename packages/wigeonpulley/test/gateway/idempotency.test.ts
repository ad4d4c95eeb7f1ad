/**
 * Guards against an idempotency key that runs twice when VMs die or freeze, the log is unavailable or appends and
 * dispatches fail in between. The service's own counters are checked.
 */
import { fc, test } from "@fast-check/vitest";
import type { EndpointFault, LogFault } from "@wigeonpulley/stand-ins";
import { expect, test as plainTest } from "vitest";
import {
    expectDispatchedAtMostOnce,
    expectKeysRunAtMostOnce,
    expectRefusalsNotRun,
} from "../fixtures/invariants.js";
import { SYSTEM_PROPERTY } from "../fixtures/properties.js";
import { createOrderRequest, getTestCaller, serveRequest, TestSystem } from "../fixtures/test-system.js";

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
)("a key runs at most once and refused requests never ran", async (
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
                getTestCaller(system),
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
                    system.resumeVm(`vm-${vm}`);
                }
            });
        });
    });
    if (outage !== undefined) {
        system.timers.schedule(outage.at, () => {
            system.platform.isLogUnavailable = true;
        });
        system.timers.schedule(outage.at + outage.durationMs, () => {
            system.platform.isLogUnavailable = false;
        });
    }
    await system.timers.advance(RUN_MS);
    expectKeysRunAtMostOnce(system);
    expectDispatchedAtMostOnce(system);
    expectRefusalsNotRun(system);
    system.close();
});

plainTest("concurrent requests with one key on two VMs run once and both get the response", async () => {
    const system = await TestSystem.create();
    const caller = getTestCaller(system);
    const both = Promise.all(
        ["vm-1", "vm-2"].map(name =>
            system.getVm(name).vm.gateway.serve(caller, createOrderRequest("order-1"))
        ),
    );
    const [first, second] = await system.timers.runUntilSettled(both, RUN_MS);
    expect((first?.unwrap() as { body: string; }).body).toBe((second?.unwrap() as { body: string; }).body);
    expectKeysRunAtMostOnce(system);
    system.close();
});

plainTest("a reused key with another body is refused", async () => {
    const system = await TestSystem.create();
    await serveRequest(system, "vm-1", createOrderRequest("order-1", "400 kg"));
    const reused = await serveRequest(system, "vm-2", createOrderRequest("order-1", "500 kg"));
    expect(reused.isErr() && reused.error.name).toBe("KeyReused");
    system.close();
});

plainTest("while the log is unavailable an order waits and is then refused as not run", async () => {
    const system = await TestSystem.create();
    system.platform.isLogUnavailable = true;
    const refused = await serveRequest(system, "vm-1", createOrderRequest("order-1"));
    expect(refused.isErr() && refused.error.entry.notRun).toBe(true);
    expect(system.getService("orders-1").runsByKey.size).toBe(0);
    system.close();
});

plainTest("a replay gets OutcomeUnknown if the claiming VM died before recording the outcome", async () => {
    const system = await TestSystem.create();
    system.endpoints.chooseFault = operation =>
        operation === "dispatch" ? { kind: "silent", afterEvents: 0 } : { kind: "none" };
    void system.getVm("vm-1").vm.gateway.serve(getTestCaller(system), createOrderRequest("order-1"));
    await system.timers.advance(2_000);
    system.killVm("vm-1");
    await system.timers.advance(10_000);
    const replay = await serveRequest(system, "vm-2", createOrderRequest("order-1"));
    expect(replay.isErr() && replay.error.name).toBe("OutcomeUnknown");
    expectKeysRunAtMostOnce(system);
    system.close();
});

plainTest("an abandoned claim whose append lands late does not block its key", async () => {
    const system = await TestSystem.create();
    const faults: LogFault[] = ["lands-late"];
    system.platform.chooseAppendFault = stream =>
        stream.startsWith("claims") ? faults.shift() ?? "none" : "none";
    const refused = await serveRequest(system, "vm-1", createOrderRequest("order-1"));
    expect(refused.isErr() && refused.error.entry.notRun).toBe(true);
    await system.timers.advance(10_000);
    const replay = await serveRequest(system, "vm-2", createOrderRequest("order-1"));
    expect(replay.unwrap()).toMatchObject({ status: 200 });
    expectKeysRunAtMostOnce(system);
    system.close();
});

plainTest("a VM frozen between claim and dispatch runs the order exactly once after it resumes", async () => {
    const system = await TestSystem.create();
    let isFrozen = false;
    system.platform.chooseAppendFault = stream => {
        if (stream.startsWith("claims") && !isFrozen) {
            isFrozen = true;
            // The append takes effect, but the VM is frozen before the response arrives.
            system.timers.schedule(1, () => system.freezeVm("vm-1"));
        }
        return "none";
    };
    const first = system.getVm("vm-1").vm.gateway.serve(
        getTestCaller(system),
        createOrderRequest("order-1"),
    );
    await system.timers.advance(5_000);
    expect(system.getService("orders-1").runsByKey.size).toBe(0);
    const other = await serveRequest(system, "vm-2", createOrderRequest("order-1"));
    expect(other.isErr() && other.error.name).toBe("OutcomeUnknown");
    system.resumeVm("vm-1");
    expect((await system.timers.runUntilSettled(first, RUN_MS)).isOk()).toBe(true);
    expect(system.getService("orders-1").runsByKey.get("order-1")).toBe(1);
    system.close();
});

plainTest("a graceful shutdown waits until the outcomes of orders are recorded", async () => {
    const system = await TestSystem.create({ settings: { timing: { balancerDelayMs: 10 } } });
    const first = await serveRequest(system, "vm-1", createOrderRequest("order-1"));
    system.platform.isLogUnavailable = true;
    const stopped = system.getVm("vm-1").vm.stop();
    system.timers.schedule(5_000, () => {
        system.platform.isLogUnavailable = false;
    });
    await system.timers.runUntilSettled(stopped, RUN_MS);
    system.killVm("vm-1");
    const replay = await serveRequest(system, "vm-2", createOrderRequest("order-1"));
    expect(replay.unwrap()).toMatchObject({ body: (first.unwrap() as { body: string; }).body });
    system.close();
});

plainTest("a replay fails with AnswerNotKept when the response was too long to store", async () => {
    const system = await TestSystem.create();
    const request = { ...createOrderRequest("order-1"), path: `/place?note=${"x".repeat(5_000)}` };
    const first = await serveRequest(system, "vm-1", request);
    expect(first.isOk()).toBe(true);
    await system.timers.advance(1_000);
    const replay = await serveRequest(system, "vm-2", request);
    expect(replay.isErr() && replay.error.name).toBe("AnswerNotKept");
    expectKeysRunAtMostOnce(system);
    system.close();
});

plainTest("a caller whose claim does not become readable is refused at its deadline", async () => {
    const system = await TestSystem.create();
    system.platform.chooseAppendFault = stream => stream.startsWith("claims") ? "lost-request" : "none";
    const startedAt = system.timers.now();
    const served = await serveRequest(system, "vm-1", { ...createOrderRequest("order-1"), deadlineMs: 700 });
    expect(served.isErr() && served.error.name).toBe("LogUnavailable");
    expect(system.timers.now() - startedAt).toBeLessThanOrEqual(750);
    system.close();
});
