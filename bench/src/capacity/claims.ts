/** Measures log appends, latency and processor time of claims by claim rate and number of VMs. */
import type { EntryVm } from "wigeonpulley";
import { type Caller, configurationSchema, hashKey } from "wigeonpulley";
import { BenchSystem } from "../system.js";
import { roundTo, type Row, type Table } from "../table.js";
import { createVmLocations } from "./configurations.js";

const DURATION_MS = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

const configuration = configurationSchema.parse({
    tiers: [{ name: "orders", deadlineMs: 20_000, durable: true }],
    endpoints: [{
        name: "orders-1",
        kind: "service",
        url: "http://127.0.0.1:1",
        region: "south",
        dataCentre: "dc-0",
        serves: "orders",
        concurrency: { maximum: 1_000 },
    }],
    callers: [{ name: "caller", workspace: "sales", keyHash: hashKey("key") }],
    selectors: [{ name: "orders", tier: "orders", target: { serves: "orders" }, idempotent: false }],
});

const sendOrder = async (vm: EntryVm, caller: Caller, key: string): Promise<boolean> => {
    const served = await vm.gateway.serve(caller, {
        kind: "service",
        service: "orders",
        method: "POST",
        path: "/place",
        labels: {},
        deadlineMs: undefined,
        idempotencyKey: key,
        contentType: "text/plain",
        body: "400 kg",
        signal: new AbortController().signal,
    });
    return served.isOk();
};

const measureClaimRate = async (vmCount: number, claimsPerSecond: number): Promise<Row> => {
    const options = { seed: 1, vmLocations: createVmLocations(vmCount), configuration };
    const system = await BenchSystem.create(options, 10_000);
    const vms = [...system.vms.values()];
    const [caller] = configuration.callers;
    const appendCountBefore = system.platform.appendCount;
    const start = system.timers.now();
    const latenciesMs: number[] = [];
    let failures = 0;
    const cpu = process.cpuUsage();
    const total = claimsPerSecond * DURATION_MS / MILLISECONDS_PER_SECOND;
    for (let index = 0; index < total; index += 1) {
        system.timers.schedule(index * MILLISECONDS_PER_SECOND / claimsPerSecond, () => {
            const vm = vms[index % vms.length];
            if (vm === undefined || caller === undefined) {
                return;
            }
            const sentAt = system.timers.now();
            void sendOrder(vm, caller, `key-${index}`).then(isCompleted => {
                failures += isCompleted ? 0 : 1;
                latenciesMs.push(system.timers.now() - sentAt);
            });
        });
    }
    await system.timers.advance(DURATION_MS + 5_000);
    const used = process.cpuUsage(cpu);
    const seconds = (system.timers.now() - start) / MILLISECONDS_PER_SECOND;
    const appends = (system.platform.appendCount - appendCountBefore) / seconds;
    system.close();
    latenciesMs.sort((left, right) => left - right);
    return {
        VMs: vmCount,
        "claims/s": claimsPerSecond,
        "appends/s": roundTo(appends),
        "median ms": latenciesMs[Math.floor(latenciesMs.length / 2)] ?? 0,
        "p95 ms": latenciesMs[Math.floor(latenciesMs.length * 0.95)] ?? 0,
        failures,
        "ms of processor per claim": roundTo(
            (used.user + used.system) / MICROSECONDS_PER_SECOND * 1_000 / total,
        ),
    };
};

/** Measures all combinations of rates and numbers of VMs. */
export const measureClaims = async (): Promise<Table> => {
    const rows: Row[] = [];
    for (const vmCount of [3, 7, 24]) {
        for (const claimsPerSecond of [5, 50, 500]) {
            rows.push(await measureClaimRate(vmCount, claimsPerSecond));
        }
    }
    return { title: "Claims (whole VMs, virtual time; log takes 2 ms)", rows };
};
