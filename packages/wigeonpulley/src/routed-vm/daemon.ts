/** One VM for routed traffic as a process: starts its servers, joins the system and shuts down gracefully. */
import type { Server } from "node:net";
import { SchedulerError } from "../errors/index.js";
import { UndiciTransport } from "../forwarding/index.js";
import { ConsolaSink, EventLogger } from "../logging/index.js";
import { MetricsRegistry } from "../metrics/index.js";
import { ConnectPeerTransport, PeerServer, UnverifiedSessions } from "../peers/index.js";
import { ProcessorMonitor, SystemProcessorClock } from "../processor/index.js";
import { SystemRandom } from "../random/index.js";
import { SystemTimerService, type TimerService } from "../time/index.js";
import { OperatorServer } from "./operator-server.js";
import type { PlatformAdapter } from "./platform-adapter.js";
import type { RoutedSettings } from "./routed-settings.js";
import { RoutedVm } from "./routed-vm.js";

/** Timeout for connecting to an endpoint, in milliseconds; allows for several round trips between regions. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time up to which a connection is reused, in milliseconds. */
const MAX_IDLE_MS = 4_000;
/** The same for requests that may run at most once: a connection that the endpoint is just closing would fail them. */
const AT_MOST_ONCE_MAX_IDLE_MS = 600;

/** Time for other VMs' connections and the log to close, in milliseconds; nothing that callers wait for is open then. */
const CLOSE_LIMIT_MS = 100;

/** Interval in milliseconds and number of further tries to open an address that another process holds. */
const ADDRESS_RETRY_MS = 100;
const ADDRESS_RETRIES = 50;

/** Settings and dependencies of the daemon. */
export interface RoutedDaemonOptions {
    readonly settings: RoutedSettings;
    readonly peerKey: string;
    /** Creates the adapter of the deployment's platform. */
    readonly createAdapter: (timers: TimerService) => PlatformAdapter;
    /** Already listens on the address for callers; without it, the VM opens the address itself. */
    readonly callerListener?: Server | undefined;
}

/** Runs one VM. It can be stopped at any time, also while it starts. */
export class RoutedDaemon {
    private listening: Promise<unknown> = Promise.resolve();
    private draining: Promise<boolean> | undefined;
    private readonly operatorServer: OperatorServer;
    private readonly peerServer: PeerServer;

    private constructor(
        readonly vm: RoutedVm,
        private readonly options: RoutedDaemonOptions,
        private readonly transport: UndiciTransport,
        private readonly logger: EventLogger,
        private readonly timers: TimerService,
        metrics: MetricsRegistry,
    ) {
        const { settings, peerKey } = options;
        this.peerServer = PeerServer.create(
            vm,
            peerKey,
            UnverifiedSessions.create({
                timers,
                maxSessions: vm.clients.maxUnverifiedPeers,
                onClose: () => vm.clients.recorder.record("connections"),
            }),
        );
        this.operatorServer = OperatorServer.create({
            isReady: () => vm.isReady(),
            getStatus: () => vm.getStatus(),
            drain: () => void this.drain(),
            metrics,
            clients: vm.clients,
            operatorKeyHash: settings.operatorKeyHash,
        });
    }

    /** Creates a daemon that has not started. */
    static create(options: RoutedDaemonOptions): RoutedDaemon {
        const { settings, peerKey } = options;
        const timers = SystemTimerService.create();
        const logger = EventLogger.create(ConsolaSink.create(settings.logLevel, settings.name));
        const metrics = MetricsRegistry.create();
        const processor = ProcessorMonitor.create({ timers, logger, clock: SystemProcessorClock.create() });
        timers.observeDelays(delayMs => processor.recordTimerDelay(delayMs));
        logger.observeWork(processor.work);
        processor.observeGarbageCollection();
        processor.registerMetrics(metrics);
        const transport = UndiciTransport.create({
            timers,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            maxIdleMs: MAX_IDLE_MS,
            atMostOnceMaxIdleMs: AT_MOST_ONCE_MAX_IDLE_MS,
            computeMaxConnections: instance => vm.computeMaxConnections(instance),
        });
        const vm: RoutedVm = RoutedVm.create({
            settings,
            timers,
            random: SystemRandom.create(),
            logger,
            metrics,
            adapter: options.createAdapter(timers),
            transport,
            processor,
            peerKey,
            peers: ConnectPeerTransport.create(settings.name, peerKey, {
                isCountingGossip: false,
                add: (kind, bytes) => metrics.recordControlBytes(kind, bytes),
            }, timers),
        });
        return new RoutedDaemon(vm, options, transport, logger, timers, metrics);
    }

    /** Resolves when all servers listen and the VM has joined the system or is stopping. */
    async start(): Promise<void> {
        const { name, listen } = this.options.settings;
        this.listening = this.listen();
        await this.listening;
        await this.vm.join();
        this.logger.write("VmStarted", { vm: name, callers: listen.callers, peers: listen.peers });
    }

    /** Applies new settings. */
    reload(settings: RoutedSettings): void {
        this.vm.applySettings(settings);
        this.logger.write("SettingsReloaded", { vm: settings.name });
    }

    /** Records a failure that no part of the VM has handled. */
    recordUnexpectedFailure(cause: unknown): void {
        this.logger.writeError(SchedulerError.fromUnknown(cause));
    }

    /**
     * Shuts down gracefully; resolves when all connections are closed. Rejects when the VM could not start to listen. The
     * grace period began at `requestedAt`, a monotonic time in milliseconds.
     */
    async stop(requestedAt?: number): Promise<void> {
        await this.drain(requestedAt);
        this.transport.close();
        this.operatorServer.close();
        await Promise.race([
            this.peerServer.close().then(() => this.logger.close()),
            this.timers.sleep(CLOSE_LIMIT_MS),
        ]);
    }

    /** Finishes the open requests within the grace period; the first call starts it, every call resolves at its end. */
    private drain(requestedAt = this.timers.now()): Promise<boolean> {
        this.vm.refuseLateRequests(requestedAt);
        // Callers of a VM that has just started may already wait in the backlog of its port.
        this.draining ??= this.listening.then(() => this.vm.stop(requestedAt));
        return this.draining;
    }

    private async listen(): Promise<void> {
        const { listen } = this.options.settings;
        const [peerHost = "", peerPort = "0"] = listen.peers.split(":");
        await Promise.all([
            this.listenForOperators(),
            this.openWhenFree(() => this.vm.startServing(this.options.callerListener)),
            this.openWhenFree(() => this.peerServer.listen({ host: peerHost, port: Number(peerPort) })),
        ]);
    }

    private async listenForOperators(): Promise<void> {
        const { ready, metrics, operators } = this.options.settings.listen;
        await this.openWhenFree(() => this.operatorServer.listenForHealthChecks(ready));
        if (metrics !== undefined) {
            await this.openWhenFree(() => this.operatorServer.listenForMetrics(metrics));
        }
        if (operators !== undefined) {
            await this.openWhenFree(() => this.operatorServer.listenForOperators(operators));
        }
    }

    /** Repeats `open` while another process holds the address, for example for a connection that is about to close. */
    private async openWhenFree(open: () => Promise<unknown>): Promise<void> {
        for (let retries = 0;; retries += 1) {
            try {
                await open();
                return;
            }
            catch (cause) {
                if (!isAddressInUse(cause) || retries >= ADDRESS_RETRIES) {
                    throw cause;
                }
                this.logger.writeError(SchedulerError.fromUnknown(cause));
                await this.timers.sleep(ADDRESS_RETRY_MS);
            }
        }
    }
}

const isAddressInUse = (cause: unknown): boolean =>
    cause instanceof Error && "code" in cause && cause.code === "EADDRINUSE";
