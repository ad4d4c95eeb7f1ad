/** Runs one VM for routed traffic as a process: listens, joins, and shuts down gracefully. */
import { createServer, type Server } from "node:http";
import { UndiciTransport } from "../forwarding/index.js";
import { ConsolaSink, EventLogger } from "../logging/index.js";
import { MetricsRegistry } from "../metrics/index.js";
import { ConnectPeerTransport, PeerServer } from "../peers/index.js";
import { SystemRandom } from "../random/index.js";
import { SystemTimerService, type TimerService } from "../time/index.js";
import type { PlatformAdapter } from "./platform-adapter.js";
import type { RoutedSettings } from "./routed-settings.js";
import { RoutedVm } from "./routed-vm.js";

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
/** Time for a connection to an endpoint, in milliseconds; several round trips between regions. */
const CONNECT_MS = 400;
/** Idle time up to which a connection is used again, in milliseconds. */
const IDLE_MS = 4_000;
/** The same for requests that run once, which must not meet a connection that is just being closed. */
const ONCE_IDLE_MS = 600;

/** A running process. */
export interface RunningRoutedDaemon {
    readonly vm: RoutedVm;
    /** Takes new settings over. */
    readonly reload: (settings: RoutedSettings) => void;
    /** Shuts down gracefully. */
    readonly stop: () => Promise<void>;
}

/** What the daemon is built from. */
export interface RoutedDaemonOptions {
    readonly settings: RoutedSettings;
    readonly peerKey: string;
    /** Creates the deployment's adapter. */
    readonly createAdapter: (timers: TimerService) => PlatformAdapter;
}

/** Starts a VM with the given settings. */
export const startRoutedDaemon = async (options: RoutedDaemonOptions): Promise<RunningRoutedDaemon> => {
    const { settings, peerKey } = options;
    const timers = SystemTimerService.create();
    const logger = EventLogger.create(ConsolaSink.create(settings.logLevel, settings.name));
    const metrics = MetricsRegistry.create();
    const transport = UndiciTransport.create({
        timers,
        connectMs: CONNECT_MS,
        idleMs: IDLE_MS,
        onceIdleMs: ONCE_IDLE_MS,
    });
    const vm = RoutedVm.create({
        settings,
        timers,
        random: SystemRandom.create(),
        logger,
        metrics,
        adapter: options.createAdapter(timers),
        transport,
        peers: ConnectPeerTransport.create(settings.name, peerKey, {
            countsMembers: false,
            add: (kind, bytes) => metrics.countControlBytes(kind, bytes),
        }),
    });
    const readyServer = await listenForChecks(settings.listen.ready, vm);
    const peerServer = PeerServer.create(vm, peerKey);
    const [peerHost = "", peerPort = "0"] = settings.listen.peers.split(":");
    await peerServer.listen({ host: peerHost, port: Number(peerPort) });
    await vm.start();
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
            await vm.stop();
            transport.close();
            readyServer.close();
            await peerServer.close();
        },
    };
};

/** Answers the balancer's checks. */
const listenForChecks = (address: string, vm: RoutedVm): Promise<Server> => {
    const [host = "", port = "0"] = address.split(":");
    const server = createServer((request, response) => {
        response.writeHead(vm.isReady() ? HTTP_OK : HTTP_UNAVAILABLE, { "content-length": 0 });
        response.end();
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve(server));
    });
};
