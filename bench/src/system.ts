/** Complete VMs with simulated endpoints in one process on virtual time, for the benchmarks. */
import {
    type EngineOptions,
    SimulatedEndpointClient,
    SimulatedEngine,
    SimulatedLog,
    SimulatedPeerNetwork,
    SimulatedPlatform,
    SimulatedService,
    SimulatedVmList,
} from "@wigeonpulley/stand-ins";
import {
    type Configuration,
    createPublishRecord,
    EntryVm,
    EventLogger,
    EventSink,
    MetricsRegistry,
    NO_VERSION,
    type PeerTransport,
    publishConfiguration,
    type QueueOrder,
    SeededRandom,
    type SettingsInput,
    settingsSchema,
    VirtualTimerService,
} from "wigeonpulley";

/** Name and location of a VM. */
export interface VmLocation {
    readonly name: string;
    readonly region: string;
    readonly dataCentre: string;
}

/** VMs, configuration and overrides of a system. */
export interface BenchSystemOptions {
    readonly seed: number;
    readonly vmLocations: readonly VmLocation[];
    readonly configuration: Configuration;
    readonly settings?: Partial<SettingsInput>;
    readonly order?: QueueOrder;
    readonly engineOptions?: (endpoint: string) => Partial<EngineOptions>;
    readonly wrapTransport?: (transport: PeerTransport) => PeerTransport;
}

class NullSink extends EventSink {
    override isEnabled(): boolean {
        return false;
    }

    override write(): void {
        // Benchmarks don't read the log.
    }
}

const MAX_PUBLISH_MS = 10_000;

/** Running VMs with their platform, network and endpoints. */
export class BenchSystem {
    readonly timers = VirtualTimerService.create(Date.UTC(2026, 0, 1));
    readonly platform = SimulatedPlatform.create(this.timers, { appendsPerSecond: 1_000 });
    readonly network = SimulatedPeerNetwork.create(this.timers);
    readonly endpoints = SimulatedEndpointClient.create(this.timers);
    readonly vms = new Map<string, EntryVm>();
    private readonly random: SeededRandom;
    private version = NO_VERSION;

    private constructor(private readonly options: BenchSystemOptions) {
        this.random = SeededRandom.create(options.seed);
    }

    /** Publishes the configuration, starts the VMs and runs them for `settleMs` of virtual time. */
    static async create(options: BenchSystemOptions, settleMs: number): Promise<BenchSystem> {
        const system = new BenchSystem(options);
        system.createEndpoints();
        await system.publish(options.configuration);
        options.vmLocations.forEach(location => system.startVm(location));
        await system.timers.advance(settleMs);
        return system;
    }

    /** Publishes a configuration and returns its version. */
    async publish(configuration: Configuration): Promise<number> {
        const changeId = `change-${this.version}`;
        const record = createPublishRecord(
            { base: this.version, changeId, author: "bench", configuration },
            this.timers,
        );
        const published = publishConfiguration(
            SimulatedLog.create(this.platform, this.timers),
            this.timers,
            record,
        );
        this.version = (await this.timers.runUntilSettled(published, MAX_PUBLISH_MS)).unwrap().version;
        return this.version;
    }

    /** Stops a VM abruptly and removes it from the network. */
    killVm(name: string): void {
        this.vms.get(name)?.stopTasks();
        this.network.killVm(name);
        this.vms.delete(name);
    }

    /** Stops all VMs abruptly. */
    close(): void {
        [...this.vms.keys()].forEach(name => this.killVm(name));
    }

    private startVm(location: VmLocation): void {
        const settings = settingsSchema.parse({
            ...location,
            listen: { host: "127.0.0.1", port: 0 },
            peer: { host: "127.0.0.1", port: 0 },
            platform: { log: "http://127.0.0.1:1", vmList: "http://127.0.0.1:1" },
            signingKeys: [{ id: "a", secret: "bench-signing-secret-of-32-characters" }],
            peerKey: "bench-peer-key-of-at-least-32-characters",
            operatorKeyHash: "0".repeat(64),
            ...this.options.settings,
        });
        const transport = this.network.createTransport(location.name);
        const { order, wrapTransport } = this.options;
        const vm = EntryVm.create({
            settings,
            peerUrl: `model:${location.name}`,
            timers: this.timers,
            random: SeededRandom.create(this.random.pickInteger(2 ** 30)),
            logger: EventLogger.create(new NullSink()),
            metrics: MetricsRegistry.create(),
            log: SimulatedLog.create(this.platform, this.timers),
            vmList: SimulatedVmList.create(this.platform),
            transport: wrapTransport?.(transport) ?? transport,
            endpoints: this.endpoints,
            ...(order === undefined ? {} : { order }),
        });
        this.network.addVm(location.name, vm.peerHandler);
        this.vms.set(location.name, vm);
        void vm.start();
    }

    private createEndpoints(): void {
        for (const { name, kind, serves, version } of this.options.configuration.endpoints) {
            if (kind === "engine") {
                const overrides = this.options.engineOptions?.(name) ?? {};
                const engine = SimulatedEngine.create({
                    timers: this.timers,
                    name,
                    serves,
                    version,
                    ...overrides,
                });
                this.endpoints.engines.set(name, engine);
            }
            else {
                this.endpoints.services.set(name, SimulatedService.create(this.timers, name));
            }
        }
    }
}
