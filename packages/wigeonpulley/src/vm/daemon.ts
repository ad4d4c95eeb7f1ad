/** Runs one VM as a process: starts its servers, joins the system and shuts down gracefully. */
import { ClientResources } from "../clients/index.js";
import type { Settings } from "../config/index.js";
import { HttpEndpointClient } from "../endpoints/index.js";
import { HttpServer } from "../gateway/index.js";
import { ConsolaSink, EventLogger } from "../logging/index.js";
import { MetricsRegistry } from "../metrics/index.js";
import { ConnectPeerTransport, PeerServer, UnverifiedSessions } from "../peers/index.js";
import { HttpPlatformLog, HttpVmList } from "../platform/index.js";
import { SystemRandom } from "../random/index.js";
import { SystemTimerService, type TimerService } from "../time/index.js";
import { EntryVm } from "./entry-vm.js";

/** Connections of callers for each request that may be open, since callers keep idle ones. */
const CONNECTIONS_PER_REQUEST = 2;
/** Time for the last bytes of complete responses to reach their callers, in milliseconds. */
const FLUSH_TIMEOUT_MS = 5_000;

/** Handle of a running process. */
export interface RunningDaemon {
    readonly vm: EntryVm;
    /** Starts a graceful shutdown; a second call ends it at once and cuts open requests. */
    readonly stop: () => void;
    /** Resolves when the shutdown is complete, with true if no open request was cut. */
    readonly stopped: Promise<boolean>;
}

/** Starts a VM with the given settings. Resolves when its servers listen and it has joined the system. */
export const startDaemon = async (settings: Settings): Promise<RunningDaemon> => {
    const logger = EventLogger.create(ConsolaSink.create(settings.logLevel, settings.name));
    const metrics = MetricsRegistry.create();
    const { timing } = settings;
    const timers = SystemTimerService.create();
    const transport = ConnectPeerTransport.create(settings.name, settings.peerKey, {
        isCountingGossip: true,
        add: (kind, bytes) => metrics.recordControlBytes(kind, bytes),
    }, timers);
    const vm = EntryVm.create({
        settings,
        peerUrl: `http://${settings.peer.host}:${settings.peer.port}`,
        timers,
        random: SystemRandom.create(),
        logger,
        metrics,
        log: HttpPlatformLog.create(settings.platform.log),
        vmList: HttpVmList.create(settings.platform.vmList),
        transport,
        endpoints: HttpEndpointClient.create({
            connectTimeoutMs: timing.endpointConnectMs,
            maxIdleMs: timing.idleConnectionMs,
            firstByteTimeoutMs: timing.streamSilenceMs,
        }),
    });
    const clients = createClients(settings, timers, logger, metrics);
    const peerServer = createPeerServer(settings, vm, clients, timers);
    const shutdown = createShutdown(vm, logger);
    const httpServer = HttpServer.create({
        settings,
        gateway: vm.gateway,
        metrics,
        clients,
        getCallers: () => vm.getCallers(),
        isReady: () => vm.isReady(),
        operators: { getStatus: () => vm.getStatus(), drain: () => shutdown.stop() },
    });
    await peerServer.listen(settings.peer);
    const callerPort = await httpServer.listen();
    await vm.start();
    logger.write("VmStarted", {
        vm: settings.name,
        callers: `${settings.listen.host}:${callerPort}`,
        peers: `${settings.peer.host}:${settings.peer.port}`,
    });
    const stopped = shutdown.ended.then(async isGraceful => {
        if (isGraceful) {
            // The responses are complete, but their last bytes may not have reached the callers yet.
            await Promise.race([httpServer.close(), SystemTimerService.create().sleep(FLUSH_TIMEOUT_MS)]);
        }
        await peerServer.close();
        await logger.close();
        return isGraceful;
    });
    return { vm, stop: shutdown.stop, stopped };
};

const createPeerServer = (
    { peerKey }: Settings,
    vm: EntryVm,
    clients: ClientResources,
    timers: TimerService,
): PeerServer => {
    const unverified = UnverifiedSessions.create({
        timers,
        maxSessions: clients.maxUnverifiedPeers,
        onClose: () => clients.recorder.record("connections"),
    });
    return PeerServer.create(vm.peerHandler, peerKey, unverified);
};

const createClients = (
    settings: Settings,
    timers: TimerService,
    logger: EventLogger,
    metrics: MetricsRegistry,
): ClientResources =>
    ClientResources.create({
        timers,
        logger,
        metrics,
        settings: settings.clients,
        memoryMb: settings.memoryMb,
        maxConnections: settings.limits.openRequests * CONNECTIONS_PER_REQUEST,
        // Operators and callers share one port.
        maxOperatorConnections: 0,
    });

/** Creates a shutdown: the first call of `stop` starts it gracefully, a second one ends it at once. */
const createShutdown = (
    vm: EntryVm,
    logger: EventLogger,
): { readonly stop: () => void; readonly ended: Promise<boolean>; } => {
    let resolveEnded: (isGraceful: boolean) => void = () => undefined;
    const ended = new Promise<boolean>(resolve => {
        resolveEnded = resolve;
    });
    let calls = 0;
    const stop = (): void => {
        calls += 1;
        if (calls === 1) {
            void vm.stop().then(resolveEnded);
        }
        else {
            logger.write("StopForced", { open: vm.openRequests.count });
            vm.stopTasks();
            resolveEnded(false);
        }
    };
    return { stop, ended };
};
