/** A VM uses a stable subset of groups and tries the others before it refuses a request. */
import { expect, test } from "vitest";
import { createEngineEndpoint, createTestConfiguration } from "../fixtures/test-configuration.js";
import { createChatRequest, getTestCaller, TestSystem } from "../fixtures/test-system.js";

const GROUP_COUNT = 10;
const SUBSET_SIZE = 3;

const createSystem = (): Promise<TestSystem> => {
    const endpoints = Array.from(
        { length: GROUP_COUNT },
        (unused, index) =>
            createEngineEndpoint(`engine-${index}`, { concurrency: { initial: 2, maximum: 2 } }),
    );
    const selectors = [{ name: "checks", tier: "checks", target: { serves: "grafting-7b" } }];
    return TestSystem.create({
        configuration: createTestConfiguration({ endpoints, selectors }),
        settings: { endpointsPerGroup: 1, groupsPerSelector: SUBSET_SIZE },
    });
};

const countUsedEngines = (system: TestSystem): number =>
    [...system.endpoints.engines.values()].filter(engine => engine.runs.size > 0).length;

test("a VM without contention uses its subset of groups only", async () => {
    const system = await createSystem();
    const { gateway } = system.getVm("vm-1").vm;
    for (let round = 0; round < 30; round += 1) {
        void gateway.serve(getTestCaller(system), createChatRequest({}));
        await system.timers.advance(1_000);
    }
    expect(countUsedEngines(system)).toBeLessThanOrEqual(SUBSET_SIZE);
    system.close();
});

test("a VM refuses a request only after it has tried every group", async () => {
    const system = await createSystem();
    const { gateway } = system.getVm("vm-1").vm;
    const refused: string[] = [];
    for (let index = 0; index < 200; index += 1) {
        void gateway.serve(getTestCaller(system), createChatRequest({ tokens: 100 })).then(served => {
            if (served.isErr()) {
                refused.push(served.error.name);
            }
        });
    }
    await system.timers.advance(60_000);
    expect(refused.length).toBeGreaterThan(0);
    expect(countUsedEngines(system)).toBe(GROUP_COUNT);
    system.close();
});

test("idle links are closed and reopened on demand", async () => {
    const system = await createSystem();
    const sendFromAll = async (): Promise<number> => {
        let completed = 0;
        for (let round = 0; round < 5; round += 1) {
            system.vms.forEach(({ vm }) => {
                void vm.gateway.serve(getTestCaller(system), createChatRequest({})).then(served => {
                    completed += served.isOk() ? 1 : 0;
                });
            });
            await system.timers.advance(1_000);
        }
        return completed;
    };
    expect(await sendFromAll()).toBe(15);
    expect(system.network.countStreams()).toBeGreaterThan(0);
    await system.timers.advance(60_000);
    expect(system.network.countStreams()).toBe(0);
    expect(await sendFromAll()).toBe(15);
    expect(system.sink.events.filter(event => event.name === "LinkLost" || event.name === "MemberDead"))
        .toEqual([]);
    system.close();
});
