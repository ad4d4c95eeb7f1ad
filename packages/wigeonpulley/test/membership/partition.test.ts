/**
 * Guards against lost or duplicated requests when a network partition separates two regions for an hour, and when all
 * VMs of a data centre fail.
 */
import { expect, test } from "vitest";
import {
    expectCompleteResponse,
    expectDispatchedAtMostOnce,
    expectKeysRunAtMostOnce,
    expectRefusalsNotRun,
} from "../fixtures/invariants.js";
import { createEngineEndpoint, createTestConfiguration } from "../fixtures/test-configuration.js";
import {
    collectResponse,
    createChatRequest,
    createOrderRequest,
    serveRequest,
    TestSystem,
} from "../fixtures/test-system.js";

const HOUR_MS = 3_600_000;
const SETTLE_MS = 15_000;
const TOKENS = 20;
const SOUTH = ["vm-1", "vm-2"] as const;
const NORTH = ["vm-3", "vm-4"] as const;

/** Creates two VMs and one engine in each region; the service runs in the south. */
const createTwoRegions = async (): Promise<TestSystem> => {
    const configuration = createTestConfiguration({
        endpoints: [
            createEngineEndpoint("engine-1"),
            createEngineEndpoint("engine-2", { region: "north", dataCentre: "north-1" }),
            createEngineEndpoint("orders-1", { kind: "service", serves: "orders" }),
        ],
    });
    const system = await TestSystem.create({ vmCount: 0, configuration });
    SOUTH.forEach(name => system.startVm(name));
    NORTH.forEach(name => system.startVm(name, { region: "north", dataCentre: "north-1" }));
    await system.timers.advance(SETTLE_MS);
    return system;
};

const forEachPair = (run: (south: string, north: string) => void): void =>
    SOUTH.forEach(south => NORTH.forEach(north => run(south, north)));

const countLive = (system: TestSystem, name: string): number =>
    system.getVm(name).vm.membership.listLive().length;

const expectServed = async (system: TestSystem, name: string): Promise<void> => {
    const served = await serveRequest(system, name, createChatRequest({ kind: "quote", tokens: TOKENS }));
    const collected = collectResponse(served.unwrap());
    await system.timers.advance(5_000);
    expectCompleteResponse(collected, TOKENS);
};

test("partitioned regions keep serving for an hour, run orders at most once, and rejoin afterwards", async () => {
    const system = await createTwoRegions();
    forEachPair((south, north) => system.network.breakLink(south, north));
    await system.timers.advance(SETTLE_MS);
    expect([...SOUTH, ...NORTH].map(name => countLive(system, name))).toEqual([2, 2, 2, 2]);
    await expectServed(system, "vm-1");
    await expectServed(system, "vm-3");
    const version = await system.publish(createTestConfiguration(system.options.configuration), 0);
    const orders = ["vm-1", "vm-3"].map(name => serveRequest(system, name, createOrderRequest("order-1")));
    const responses = await Promise.all(orders);
    expect(responses.some(response => response.isOk())).toBe(true);
    await system.timers.advance(HOUR_MS);
    forEachPair((south, north) => system.network.restoreLink(south, north));
    await system.timers.advance(SETTLE_MS);
    expect([...SOUTH, ...NORTH].map(name => countLive(system, name))).toEqual([4, 4, 4, 4]);
    expect([...system.vms.values()].map(({ vm }) => vm.configurationFollower.current?.version)).toEqual(
        [1, 2, 3, 4].map(() => version),
    );
    await expectServed(system, "vm-2");
    expectDispatchedAtMostOnce(system);
    expectKeysRunAtMostOnce(system);
    expectRefusalsNotRun(system);
    system.close();
});

test("when all VMs of a data centre fail, other VMs schedule its endpoints", async () => {
    const system = await createTwoRegions();
    NORTH.forEach(name => system.killVm(name));
    system.endpoints.chooseFault = (operation, endpoint) =>
        operation === "dispatch" && endpoint === "engine-1" ? { kind: "no-connection" } : { kind: "none" };
    await system.timers.advance(SETTLE_MS);
    await expectServed(system, "vm-1");
    expect(system.getEngine("engine-2").runs.size).toBe(1);
    expectDispatchedAtMostOnce(system);
    system.close();
});
