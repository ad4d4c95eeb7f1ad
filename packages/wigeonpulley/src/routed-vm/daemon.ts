/** Runs one VM for routed traffic as a process: starts its servers, joins the system and shuts down gracefully. */
import type { Server } from "node:net";
import { UndiciTransport } from "../forwarding/index.js";
import { ConsolaSink, EventLogger } from "../logging/index.js";
import { MetricsRegistry } from "../metrics/index.js";
import { ConnectPeerTransport, PeerServer } from "../peers/index.js";
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

/** Handle of a running process. */
export interface RunningRoutedDaemon {
    readonly vm: RoutedVm;
    /** Applies new settings. */
    readonly reload: (settings: RoutedSettings) => void;
    /** Shuts down gracefully. */
    readonly stop: () => Promise<void>;
}

/** Settings and dependencies of the daemon. */
export interface RoutedDaemonOptions {
    readonly settings: RoutedSettings;
    readonly peerKey: string;
    /** Creates the adapter of the deployment's platform. */
    readonly createAdapter: (timers: TimerService) => PlatformAdapter;
    /** Already listens on the address for callers; without it, the VM opens the address itself. */
    readonly callerListener?: Server | undefined;
}

/** Starts a VM with the given settings. Resolves when all of its servers listen and it has joined the system. */
export const startRoutedDaemon = async (options: RoutedDaemonOptions): Promise<RunningRoutedDaemon> => {
    const { settings, peerKey } = options;
    const timers = SystemTimerService.create();
    const logger = EventLogger.create(ConsolaSink.create(settings.logLevel, settings.name));
    const metrics = MetricsRegistry.create();
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
        peerKey,
        peers: ConnectPeerTransport.create(settings.name, peerKey, {
            isCountingGossip: false,
            add: (kind, bytes) => metrics.recordControlBytes(kind, bytes),
        }, timers),
    });
    const stop = createStop(vm);
    const peerServer = PeerServer.create(vm, peerKey);
    const [peerHost = "", peerPort = "0"] = settings.listen.peers.split(":");
    const [operatorServer] = await Promise.all([
        startOperatorServer(vm, settings, metrics, stop),
        vm.startServing(options.callerListener),
        peerServer.listen({ host: peerHost, port: Number(peerPort) }),
    ]);
    await vm.join();
    logger.write("VmStarted", {
        vm: settings.name,
        callers: settings.listen.callers,
        peers: settings.listen.peers,
    });
    return {
        vm,
        reload: changed => {
            vm.applySettings(changed);
            logger.write("SettingsReloaded", { vm: changed.name });
        },
        stop: async () => {
            await stop();
            transport.close();
            operatorServer.close();
            await peerServer.close();
            await logger.close();
        },
    };
};

const startOperatorServer = async (
    vm: RoutedVm,
    { listen, operatorKeyHash }: RoutedSettings,
    metrics: MetricsRegistry,
    stop: () => Promise<boolean>,
): Promise<OperatorServer> => {
    const server = OperatorServer.create({
        isReady: () => vm.isReady(),
        getStatus: () => vm.getStatus(),
        drain: () => void stop(),
        metrics,
        operatorKeyHash,
    });
    await server.listenForHealthChecks(listen.ready);
    if (listen.metrics !== undefined) {
        await server.listenForMetrics(listen.metrics);
    }
    if (listen.operators !== undefined) {
        await server.listenForOperators(listen.operators);
    }
    return server;
};

/** Creates a function whose first call starts the shutdown; every call resolves when it is complete. */
const createStop = (vm: RoutedVm): () => Promise<boolean> => {
    let stopping: Promise<boolean> | undefined;
    return () => {
        stopping ??= vm.stop();
        return stopping;
    };
};
