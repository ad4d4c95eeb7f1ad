/** Cluster of real processes on the loopback interface: a platform, two engines, a service and three VMs. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { type ConfigurationInput, hashKey, type SettingsInput } from "wigeonpulley";
import { Forwarder } from "./forwarder.js";
import {
    findFreePort,
    type LogLine,
    type StartedProcess,
    startStandIn,
    startVm,
    stopProcess,
} from "./processes.js";

const LOOPBACK = "127.0.0.1";
const VM_NAMES = ["vm-1", "vm-2", "vm-3"] as const;
const POLL_INTERVAL_MS = 50;
const BALANCER_DELAY_MS = 200;

/** Keys of the demo, which aren't secret. */
export const demoKeys = {
    caller: "demo-caller-key",
    stranger: "demo-stranger-key",
    operator: "demo-operator-key",
};

/** Name of a VM of the cluster. */
export type VmName = (typeof VM_NAMES)[number];

/** Running cluster. */
export class DemoCluster {
    readonly logLines: LogLine[] = [];
    private readonly folder = mkdtempSync(join(tmpdir(), "wigeonpulley-demo-"));
    private readonly standIns = new Map<string, StartedProcess>();
    private readonly vms = new Map<VmName, StartedProcess>();
    /** TCP forwarders in front of the engines, by engine; tests stall or reset their connections. */
    readonly forwarders = new Map<string, Forwarder>();

    private constructor(private readonly paths: { readonly cli: string; readonly standIn: string; }) {}

    /** Starts the stand-ins, publishes the configuration, and starts the VMs. */
    static async create(): Promise<DemoCluster> {
        const { resolve } = createRequire(import.meta.url);
        const packagePath = join(resolve("wigeonpulley"), "..");
        const standInPath = resolve("@wigeonpulley/stand-ins");
        const cluster = new DemoCluster({
            cli: join(packagePath, "../../bin/wigeonpulley.mjs"),
            standIn: join(standInPath, "../main.js"),
        });
        await cluster.startStandIns();
        for (const name of VM_NAMES) {
            await cluster.startVm(name);
        }
        return cluster;
    }

    /** Returns the base URL of a VM for callers. */
    getVmUrl(name: VmName): string {
        return `http://${LOOPBACK}:${this.vms.get(name)?.port}`;
    }

    /** Returns the base URL of a stand-in. */
    getStandInUrl(name: string): string {
        return `http://${LOOPBACK}:${this.standIns.get(name)?.port}`;
    }

    /** URL of the platform's log. */
    get logUrl(): string {
        return `${this.getStandInUrl("platform")}/log`;
    }

    /** Returns the process of a VM. Throws a RangeError if it isn't running. */
    getVm(name: VmName): StartedProcess {
        const vm = this.vms.get(name);
        if (vm === undefined) {
            throw new RangeError(`${name} is not running`);
        }
        return vm;
    }

    /** Starts a VM, or replaces one that has stopped. Resolves when it listens. */
    async startVm(name: VmName): Promise<void> {
        const settingsPath = join(this.folder, `${name}.json`);
        const port = await findFreePort();
        const peerPort = await findFreePort();
        writeFileSync(settingsPath, JSON.stringify(this.createSettings(name, port, peerPort)));
        this.vms.set(
            name,
            await startVm(this.paths.cli, settingsPath, port, line => this.logLines.push(line)),
        );
    }

    /** Waits until each of the given VMs has a configuration and sees as many live members as are given. */
    async waitUntilReady(live: readonly VmName[] = VM_NAMES): Promise<void> {
        for (const name of live) {
            while (!(await this.isReady(name, live.length))) {
                await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
            }
        }
    }

    /** Runs a `wigeonpulley` command and returns its exit code and output. */
    async runCli(
        ...args: readonly string[]
    ): Promise<{ readonly code: number | undefined; readonly output: string; }> {
        const { spawn } = await import("node:child_process");
        const { text } = await import("node:stream/consumers");
        const child = spawn(process.execPath, [this.paths.cli, ...args], {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, WIGEONPULLEY_OPERATOR_KEY: demoKeys.operator },
        });
        const exited = new Promise<number | undefined>(resolve =>
            child.once("exit", code => resolve(code ?? undefined))
        );
        const [out, error, code] = await Promise.all([text(child.stdout), text(child.stderr), exited]);
        return { code, output: out + error };
    }

    /** Writes a configuration and returns the path of its file. */
    writeConfiguration(configuration: ConfigurationInput): string {
        const path = join(this.folder, "configuration.json");
        writeFileSync(path, JSON.stringify(configuration));
        return path;
    }

    /** Creates the configuration of the demo. */
    createConfiguration(): ConfigurationInput {
        const location = { region: "south", dataCentre: "south-1" };
        return {
            tiers: [
                { name: "quotes", deadlineMs: 60_000, durable: true },
                { name: "answers", deadlineMs: 20_000 },
            ],
            models: [{ name: "grafting-7b", versions: ["v1"] }],
            endpoints: [
                ...["engine-1", "engine-2"].map(name => ({
                    ...location,
                    name,
                    kind: "engine" as const,
                    url: `http://${LOOPBACK}:${this.forwarders.get(name)?.port}`,
                    serves: "grafting-7b",
                })),
                {
                    ...location,
                    name: "orders-1",
                    kind: "service",
                    url: this.getStandInUrl("orders-1"),
                    serves: "orders",
                },
            ],
            callers: [
                { name: "cooperative", workspace: "sales", keyHash: hashKey(demoKeys.caller) },
                { name: "stranger", workspace: "other", keyHash: hashKey(demoKeys.stranger) },
            ],
            selectors: [
                {
                    name: "quotes",
                    request: { kind: "quote" },
                    tier: "quotes",
                    target: { serves: "grafting-7b" },
                },
                { name: "answers", tier: "answers", target: { serves: "grafting-7b" } },
                { name: "orders", tier: "quotes", target: { serves: "orders" }, idempotent: false },
            ],
        };
    }

    /** Sends a signal to a stand-in and waits for its exit. */
    async stopStandIn(name: string, signal: NodeJS.Signals): Promise<void> {
        const standIn = this.standIns.get(name);
        if (standIn !== undefined) {
            await stopProcess(standIn.child, signal);
        }
    }

    /** Waits until a log line from index `from` of `logLines` on has the event and matches. */
    async waitForEvent(
        event: number,
        from: number,
        matches: (line: LogLine) => boolean = () => true,
    ): Promise<void> {
        while (!this.logLines.slice(from).some(line => line.event === event && matches(line))) {
            await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
        }
    }

    /** Sends a signal to a VM, waits for its exit and returns the exit code; undefined if the signal killed it. */
    async stopVm(name: VmName, signal: NodeJS.Signals): Promise<number | undefined> {
        const code = await stopProcess(this.getVm(name).child, signal);
        this.vms.delete(name);
        return code;
    }

    /** Kills all processes and removes the settings files. */
    async close(): Promise<void> {
        await Promise.all([...this.vms.values()].map(({ child }) => stopProcess(child, "SIGKILL")));
        await Promise.all([...this.standIns.values()].map(({ child }) => stopProcess(child, "SIGKILL")));
        await Promise.all([...this.forwarders.values()].map(forwarder => forwarder.close()));
        rmSync(this.folder, { recursive: true });
    }

    private async startStandIns(): Promise<void> {
        const { standIn } = this.paths;
        this.standIns.set("platform", await startStandIn(standIn, "platform"));
        for (const name of ["engine-1", "engine-2"]) {
            const args = ["engine", "--name", name, "--serves", "grafting-7b", "--step-ms", "30"];
            const engine = await startStandIn(standIn, ...args);
            this.standIns.set(name, engine);
            this.forwarders.set(name, await Forwarder.create(engine.port));
        }
        this.standIns.set("orders-1", await startStandIn(standIn, "service", "--name", "orders"));
        const path = this.writeConfiguration(this.createConfiguration());
        const published = await this.runCli(
            "config",
            "publish",
            path,
            "--log",
            this.logUrl,
            "--author",
            "demo",
        );
        if (published.code !== 0) {
            throw new Error(published.output);
        }
    }

    private createSettings(name: VmName, port: number, peerPort: number): SettingsInput {
        return {
            name,
            region: "south",
            dataCentre: "south-1",
            listen: { host: LOOPBACK, port },
            peer: { host: LOOPBACK, port: peerPort },
            platform: { log: this.logUrl, vmList: this.getStandInUrl("platform") },
            signingKeys: [{ id: "a", secret: "demo-signing-secret-of-32-characters" }],
            peerKey: "demo-peer-key-of-at-least-32-characters",
            operatorKeyHash: hashKey(demoKeys.operator),
            timing: { balancerDelayMs: BALANCER_DELAY_MS },
            logLevel: "debug",
        };
    }

    private async isReady(name: VmName, liveCount: number): Promise<boolean> {
        const response = await request(`${this.getVmUrl(name)}/operator/status`, {
            headers: { authorization: `Bearer ${demoKeys.operator}` },
        });
        const status = await response.body.json() as {
            configuration: number;
            members: { isLive: boolean; isLeaving: boolean; }[];
        };
        return status.configuration >= 0
            && status.members.filter(member => member.isLive).length === liveCount;
    }
}
