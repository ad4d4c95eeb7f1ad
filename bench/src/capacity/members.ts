/** Measures gossip traffic, processor time, failure detection and the spread of a configuration by number of VMs. */
import { BenchSystem } from "../system.js";
import type { Row, Table } from "../table.js";
import { roundTo } from "../table.js";
import { createSizedConfiguration, createVmLocations } from "./configurations.js";
import { type ByteTotals, CountingTransport } from "./counting-transport.js";

const IDLE_MS = 20_000;
const STEP_MS = 250;
const MAX_WAIT_MS = 120_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Heartbeat settings of one measurement. */
interface HeartbeatSettings {
    readonly heartbeatMs: number;
    readonly peerTimeoutMs: number;
}

/** Measures the virtual time until a condition holds, in seconds; gives up after two minutes. */
const measureUntil = async (system: BenchSystem, hasHappened: () => boolean): Promise<number> => {
    const start = system.timers.now();
    while (!hasHappened() && system.timers.now() - start < MAX_WAIT_MS) {
        await system.timers.advance(STEP_MS);
    }
    return (system.timers.now() - start) / MILLISECONDS_PER_SECOND;
};

const measureSize = async (count: number, heartbeats: HeartbeatSettings): Promise<Row> => {
    const totals: ByteTotals = { messages: 0, bytes: 0 };
    const configuration = createSizedConfiguration(Math.ceil(count * 1.5), 10);
    const settings = { timing: { ...heartbeats, logPollMs: 5_000 } };
    const system = await BenchSystem.create({
        seed: 1,
        vmLocations: createVmLocations(count),
        configuration,
        settings,
        wrapTransport: transport => CountingTransport.create(transport, totals),
    }, 30_000);
    totals.messages = 0;
    totals.bytes = 0;
    const cpu = process.cpuUsage();
    await system.timers.advance(IDLE_MS);
    const used = process.cpuUsage(cpu);
    const vmSeconds = count * IDLE_MS / MILLISECONDS_PER_SECOND;
    const bytesPerSecond = totals.bytes / vmSeconds;
    const cpuShare = (used.user + used.system) / MICROSECONDS_PER_SECOND / vmSeconds;
    const falseDeaths = [...system.vms.values()].reduce(
        (sum, vm) => sum + count - vm.membership.listLive().length,
        0,
    );
    const version = await system.publish({ ...configuration, maintenance: [] });
    const activationSeconds = await measureUntil(
        system,
        () => [...system.vms.values()].every(vm => vm.configurationFollower.current?.version === version),
    );
    const reportedSeconds = await measureUntil(
        system,
        () =>
            system.vms.get("vm-1")?.membership.listMembers().every(member => member.configuration === version)
                ?? false,
    );
    system.killVm("vm-0");
    const detectionSeconds = await measureUntil(
        system,
        () =>
            [...system.vms.values()].every(vm =>
                !vm.membership.listLive().some(({ name }) => name === "vm-0")
            ),
    );
    system.close();
    return {
        VMs: count,
        "heartbeat ms": heartbeats.heartbeatMs,
        "timeout ms": heartbeats.peerTimeoutMs,
        "sent B/s per VM": Math.round(bytesPerSecond),
        "core %": roundTo(cpuShare * 100),
        "wrongly dead": falseDeaths,
        "in force s": activationSeconds,
        "all reported s": activationSeconds + reportedSeconds,
        "death noticed s": detectionSeconds,
    };
};

/** Measures all numbers of VMs, each with short and with long heartbeat settings. */
export const measureMembers = async (sizes: readonly number[]): Promise<Table> => {
    const rows: Row[] = [];
    for (const count of sizes) {
        rows.push(await measureSize(count, { heartbeatMs: 500, peerTimeoutMs: 2_000 }));
        rows.push(await measureSize(count, { heartbeatMs: 1_000, peerTimeoutMs: 10_000 }));
    }
    return { title: "Members and configuration, idle (whole VMs, virtual time)", rows };
};
