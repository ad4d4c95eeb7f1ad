/** What the clients of one process hold: the budget, the uploads and the connections, with their limits. */
import type { EventLogger } from "../logging/index.js";
import type { MetricsRegistry } from "../metrics/index.js";
import type { WorkMeter } from "../processor/index.js";
import type { TimerService } from "../time/index.js";
import { BYTE_KINDS, ByteBudget, type ByteKind } from "./byte-budget.js";
import type { ClientSettings } from "./client-settings.js";
import { SegmentPool } from "./compact-bytes.js";
import { type ConnectionGroup, ConnectionMonitor } from "./connection-monitor.js";
import { InputScheduler } from "./input-scheduler.js";
import { LimitRecorder } from "./limit-recorder.js";
import { KernelSendQueueReader } from "./send-queues.js";
import { UploadReader } from "./upload-reader.js";

const BYTES_PER_MB = 1_048_576;

/** Dependencies and limits. */
export interface ClientResourcesOptions {
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly metrics: MetricsRegistry;
    readonly settings: ClientSettings;
    readonly memoryMb: number;
    readonly work?: WorkMeter | undefined;
    /** Limits on connections where the settings name none. */
    readonly maxConnections: number;
    readonly maxOperatorConnections: number;
}

/** Resources that the clients of one process hold. */
export class ClientResources {
    readonly budget: ByteBudget;
    readonly uploads: UploadReader;
    readonly connections: ConnectionMonitor;
    readonly recorder: LimitRecorder;
    readonly pool: SegmentPool;
    /** Connections with requests: of callers, and of other VMs that pass requests on. */
    readonly requestConnections: ConnectionGroup;
    /** Limit on the connections to each of the ports for operators. */
    readonly maxOperatorConnections: number;
    /** Limit on the connections to the port for other VMs whose clients have not shown their key. */
    readonly maxUnverifiedPeers: number;

    private constructor(options: ClientResourcesOptions) {
        const { timers, settings, metrics, memoryMb, work } = options;
        this.maxUnverifiedPeers = settings.maxUnverifiedPeers;
        this.budget = ByteBudget.create({
            timers,
            limitBytes: Math.floor(memoryMb * settings.memoryShare * BYTES_PER_MB),
        });
        this.recorder = LimitRecorder.create({ ...options, budget: this.budget });
        this.pool = SegmentPool.create(this.budget.limitBytes);
        this.uploads = UploadReader.create({ timers, settings, pool: this.pool, recorder: this.recorder });
        this.connections = ConnectionMonitor.create({
            timers,
            settings,
            inputs: InputScheduler.create({
                work,
                maxWorkPerTurn: settings.parserCallbacksPerTurn,
                onHeldBack: () => this.recorder.record("input"),
            }),
            sendQueues: KernelSendQueueReader.create(),
            budget: this.budget,
            recorder: this.recorder,
        });
        this.requestConnections = {
            maxConnections: settings.maxConnections ?? options.maxConnections,
            open: 0,
        };
        this.maxOperatorConnections = settings.maxOperatorConnections ?? options.maxOperatorConnections;
        metrics.observeClientBytes(BYTE_KINDS, kind => this.budget.getBytes(kind as ByteKind));
    }

    /** Creates resources of which nothing is held. */
    static create(options: ClientResourcesOptions): ClientResources {
        return new ClientResources(options);
    }
}
