/** VMs as separate processes, run from a folder with a bundle. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const NS_PER_MS = 1_000_000;
/** Ports below those that the operating system gives to outgoing connections; each bench process has its own. */
const FIRST_PORT = 10_000;
const PORTS_PER_BENCH = 400;
const BENCHES = 50;

/** A running VM. */
export interface VmProcess {
    readonly name: string;
    readonly child: ChildProcess;
    readonly callerPort: number;
}

/** What the VMs of a deployment have in common. */
export interface VmOptions {
    /** Folder of the repository whose bundle runs. */
    readonly folder: string;
    readonly storeAddress: string;
    readonly regions: Readonly<Record<string, string>>;
    /** Further options of Node.js for the first VM. */
    readonly nodeOptions: readonly string[];
}

const readNodeOptions = (folder: string): readonly string[] => {
    const [, options = ""] =
        /^run = "node (.*) target\//m.exec(readFileSync(join(folder, "deploy/system.toml"), "utf8"))
            ?? [];
    return options.split(" ");
};

const waitUntilReady = async (port: number): Promise<void> => {
    for (;;) {
        const isReady = await fetch(`http://127.0.0.1:${port}/v1/readyz`).then(
            response => response.ok,
            () => false,
        );
        if (isReady) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
};

/** Processes of one deployment. */
export class VmProcesses {
    readonly vms: VmProcess[] = [];
    private readonly settingsFolder = mkdtempSync(join(tmpdir(), "wigeonpulley-bench-"));

    private nextPort = FIRST_PORT + (process.pid % BENCHES) * PORTS_PER_BENCH;

    private readonly children: ChildProcess[] = [];

    private constructor(private readonly options: VmOptions) {
        // VMs that outlive a failed measurement would call whatever process gets the port of their store.
        process.once("exit", () => this.children.forEach(child => child.kill("SIGKILL")));
    }

    /** Starts a number of VMs, which are ready when the promise resolves. */
    static async create(count: number, options: VmOptions): Promise<VmProcesses> {
        const processes = new VmProcesses(options);
        const dataCentres = Object.keys(options.regions);
        for (let index = 0; index < count; index += 1) {
            await processes.startVm(index, dataCentres[index % dataCentres.length] ?? "");
        }
        return processes;
    }

    /** Processor time of all VMs so far, in milliseconds. */
    readProcessorMs(): number {
        return this.vms.reduce((sum, { child }) => sum + readProcessorMs(child), 0);
    }

    async close(): Promise<void> {
        await Promise.all(this.vms.map(({ child }) =>
            new Promise(resolve => {
                child.once("exit", resolve);
                child.kill("SIGTERM");
            })
        ));
        rmSync(this.settingsFolder, { recursive: true });
    }

    private async startVm(index: number, dataCentre: string): Promise<void> {
        const { folder, storeAddress, regions, nodeOptions } = this.options;
        const [callers = 0, ready = 0, peers = 0, peerRequests = 0] = Array.from(
            { length: 4 },
            () => this.nextPort++,
        );
        const name = `vm-${index}`;
        const settingsPath = join(this.settingsFolder, `${name}.json`);
        writeFileSync(
            settingsPath,
            JSON.stringify({
                name,
                region: regions[dataCentre],
                dataCentre,
                regions,
                listen: {
                    callers: `127.0.0.1:${callers}`,
                    ready: `127.0.0.1:${ready}`,
                    peers: `127.0.0.1:${peers}`,
                    peerRequests: `127.0.0.1:${peerRequests}`,
                },
                store: { address: storeAddress },
                peerKey: "a key that all VMs of the bench share",
                memoryMb: 160,
                mostDescriptors: 4_100,
            }),
        );
        const child = spawn(
            process.execPath,
            [...readNodeOptions(folder), ...(index === 0 ? nodeOptions : []), "target/wigeonpulley.cjs"],
            {
                cwd: folder,
                env: { ...process.env, WIGEONPULLEY_CONFIG: settingsPath },
                stdio: "ignore",
            },
        );
        this.children.push(child);
        await waitUntilReady(ready);
        this.vms.push({ name, child, callerPort: callers });
    }
}

/** Sums the threads of a process. Ticks would be too coarse: work that a timer starts falls between them. */
const readProcessorMs = ({ pid }: ChildProcess): number =>
    readdirSync(`/proc/${pid}/task`).reduce((sum, thread) => {
        const [runNs] = readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8").split(" ");
        return sum + Number(runNs) / NS_PER_MS;
    }, 0);
