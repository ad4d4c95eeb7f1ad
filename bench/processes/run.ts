/**
 * Benchmark command: `npm run bench:processes -- FOLDER...`. Measures the processor time that VMs take for a request and
 * without requests, side by side for the bundles of several checkouts, which have to be built before.
 */
import { cac } from "cac";
import { fork } from "node:child_process";
import { resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { MixedCallers, MixedDeployment } from "../../platform/test/fixtures/mixed-deployment.js";
import { VmProcesses } from "./vm-processes.js";

const REGIONS = { "ba-1": "bratislava", "ke-1": "kosice", "ba-2": "bratislava", "ke-2": "kosice" };
const WARM_UP_MS = 5_000;

/** Options of a measurement. */
interface MeasurementOptions {
    readonly vms: number;
    readonly engines: number;
    readonly desks: number;
    readonly rate: number;
    readonly seconds: number;
    /** Folder for a processor profile of the first VM. */
    readonly profile?: string;
}

/** Measures the bundle of one checkout and prints a row. */
const measure = async (folder: string, options: MeasurementOptions): Promise<void> => {
    const { vms, engines, desks, rate, seconds, profile } = options;
    const deployment = await MixedDeployment.create({ engines, desks }, Object.keys(REGIONS));
    const processes = await VmProcesses.create(vms, {
        folder,
        storeAddress: deployment.store.address,
        regions: REGIONS,
        nodeOptions: profile === undefined
            ? []
            : ["--cpu-prof", "--cpu-prof-interval=300", `--cpu-prof-dir=${resolve(profile)}`],
    });
    const callers = MixedCallers.create(processes.vms.map(({ callerPort }) => callerPort));
    await callers.run(rate, WARM_UP_MS);
    const startedMs = processes.readProcessorMs();
    await new Promise(done => setTimeout(done, seconds * 500));
    const idleMs = processes.readProcessorMs() - startedMs;
    callers.results.splice(0);
    const loadedFrom = performance.now();
    await callers.run(rate, seconds * 1_000);
    const loadedForMs = performance.now() - loadedFrom;
    const loadedMs = processes.readProcessorMs() - startedMs - idleMs;
    const idleShare = idleMs / (seconds * 500);
    const { results } = callers;
    const served = results.filter(({ status }) => status === 200);
    const firstMs = served.filter(({ kind }) => kind === "booking").map(result => result.firstMs).sort((
        a,
        b,
    ) => a - b);
    console.log(JSON.stringify({
        folder,
        requests: results.length,
        served: served.length,
        idleCoreShareOfVm: Number((idleShare / vms).toFixed(5)),
        processorMsOfRequest: Number(((loadedMs - idleShare * loadedForMs) / results.length).toFixed(3)),
        bookingMedianMs: Number((firstMs[Math.floor(firstMs.length / 2)] ?? -1).toFixed(1)),
        booking90Ms: Number((firstMs[Math.floor(firstMs.length * 0.9)] ?? -1).toFixed(1)),
    }));
    callers.close();
    await processes.close();
    deployment.close();
};

const cli = cac("bench:processes");
cli.command("[...folders]", "Measures the bundles of checkouts side by side")
    .option("--vms <count>", "VMs of a deployment", { default: 18 })
    .option("--engines <count>", "Model engines", { default: 21 })
    .option("--desks <count>", "Instances of the plain service", { default: 6 })
    .option("--rate <perSecond>", "Requests a second", { default: 150 })
    .option("--seconds <count>", "Duration", { default: 20 })
    .option("--profile <folder>", "Writes a processor profile of the first VM")
    .action(async (folders: readonly string[], options: MeasurementOptions) => {
        const [only] = folders;
        if (folders.length === 1 && only !== undefined) {
            await measure(resolve(only), options);
            return;
        }
        await Promise.all(
            folders.map(folder =>
                new Promise(done =>
                    fork(fileURLToPath(import.meta.url), [folder, ...process.argv.slice(2 + folders.length)])
                        .once("exit", done)
                )
            ),
        );
    });
cli.help();
cli.parse();
