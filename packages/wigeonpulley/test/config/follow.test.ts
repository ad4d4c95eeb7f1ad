/** Guards against VMs that miss a configuration during an outage of the log, after a replacement or after retention. */
import { expect, test } from "vitest";
import { CONFIGURATION_STREAM } from "wigeonpulley";
import { createTestConfiguration } from "../fixtures/test-configuration.js";
import { TestSystem } from "../fixtures/test-system.js";

const APPLY_LIMIT_MS = 12_000;
const RETENTION_MS = 1_300_000;

const listVersions = (system: TestSystem): readonly (number | undefined)[] =>
    [...system.vms.values()].map(({ vm }) => vm.configurationFollower.current?.version);

test("a published configuration is active on every VM within the time limit", async () => {
    const system = await TestSystem.create({ vmCount: 6 });
    const version = await system.publish(createTestConfiguration({ maintenance: [] }), 0);
    await system.timers.advance(APPLY_LIMIT_MS);
    expect(listVersions(system)).toEqual(Array.from({ length: 6 }, () => version));
    system.close();
});

test("a VM that starts while the log is unavailable fetches the configuration from a peer", async () => {
    const system = await TestSystem.create();
    system.platform.isLogUnavailable = true;
    const { vm } = system.startVm("vm-9");
    await system.timers.advance(APPLY_LIMIT_MS);
    expect(vm.configurationFollower.current?.version).toBe(0);
    expect(vm.isReady()).toBe(true);
    system.close();
});

test("a VM that can reach its peers but not the log catches up through them", async () => {
    const system = await TestSystem.create();
    system.getVm("vm-1").log.isPartitioned = true;
    const version = await system.publish(createTestConfiguration(), 0);
    await system.timers.advance(APPLY_LIMIT_MS);
    expect(listVersions(system)).toEqual([version, version, version]);
    system.close();
});

test("a checkpoint is written before retention drops the version, so that a late VM finds it", async () => {
    const system = await TestSystem.create();
    await system.timers.advance(RETENTION_MS);
    system.platform.trim(CONFIGURATION_STREAM, 1);
    [...system.vms.keys()].forEach(name => system.killVm(name));
    const { vm } = system.startVm("vm-9");
    await system.timers.advance(APPLY_LIMIT_MS);
    expect(vm.configurationFollower.current?.version).toBe(0);
    const version = await system.publish(createTestConfiguration({ maintenance: [] }), 0);
    await system.timers.advance(APPLY_LIMIT_MS);
    expect(vm.configurationFollower.current?.version).toBe(version);
    system.close();
});
