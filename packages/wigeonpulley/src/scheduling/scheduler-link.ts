/** The connection of one gateway to the schedulers of one VM. */
import { create } from "@bufbuild/protobuf";
import { Err, Ok } from "ts-results-es";
import { MessageQueue } from "../concurrency/index.js";
import { describeCause } from "../errors/index.js";
import {
    type GatewayMessage,
    GatewayMessageSchema,
    type GroupLoad,
    HeartbeatSchema,
    type Observation,
    type Refusal,
    type Release,
    type RunningRequest,
    type SchedulerMessage,
    type Ticket,
    WithdrawalSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { PeerTransport } from "../peers/index.js";
import type { VmListEntry } from "../platform/index.js";
import type { TimerService } from "../time/index.js";
import type { SlotResult } from "./group-scheduler.js";
import type { SchedulerService } from "./scheduler-service.js";

/** Access to the schedulers of one VM. */
export abstract class SchedulerLink {
    /** Waits for a slot; undefined when the scheduler was lost and the ticket has to be submitted again. */
    abstract acquire(ticket: Ticket): Promise<SlotResult | undefined>;
    /** Withdraws a waiting ticket; the pending `acquire` resolves with a refusal, or with a grant that came first. */
    abstract withdraw(id: string): void;
    /** Announces a running request whose slot another scheduler granted. */
    abstract announce(running: RunningRequest): void;
    /** Releases a slot. */
    abstract release(release: Release): void;
    /** Sends inter-token latency samples. */
    abstract observe(observation: Observation): void;
    /** True while no ticket waits for a result. */
    abstract get isIdle(): boolean;
    /** Closes the link. */
    abstract close(): void;
}

/** The schedulers of the same VM. */
export class LocalLink extends SchedulerLink {
    private constructor(private readonly vm: string, private readonly service: SchedulerService) {
        super();
    }

    /** Creates a link to the schedulers of this VM. */
    static create(vm: string, service: SchedulerService): LocalLink {
        return new LocalLink(vm, service);
    }

    override acquire(ticket: Ticket): Promise<SlotResult | undefined> {
        return this.service.acquire(ticket, this.vm);
    }

    override withdraw(id: string): void {
        this.service.withdraw(id);
    }

    override announce(running: RunningRequest): void {
        this.service.registerRunning(running, this.vm);
    }

    override release(release: Release): void {
        this.service.release(release);
    }

    override observe(observation: Observation): void {
        this.service.observe(observation);
    }

    override get isIdle(): boolean {
        return false; // A local link costs nothing and is never closed.
    }

    override close(): void {
        // Nothing to close within one process.
    }
}

/** Options of a remote link. */
export interface RemoteLinkOptions {
    readonly peer: VmListEntry;
    readonly transport: PeerTransport;
    readonly timers: TimerService;
    readonly heartbeatMs: number;
    readonly peerTimeoutMs: number;
    /** Called with the loads that the scheduler sent. */
    readonly onLoads: (loads: readonly GroupLoad[]) => void;
    /** Called once when the link is lost, with the monotonic time of its last message in milliseconds. */
    readonly onLost: (reason: string, lastContactAt: number) => void;
}

type Settle = (result: SlotResult | undefined) => void;

/** The schedulers of another VM, reached over one stream. A lost link is not reopened. */
export class RemoteLink extends SchedulerLink {
    private readonly outgoing = MessageQueue.create<GatewayMessage>();
    private readonly pending = new Map<string, Settle>();
    private readonly abort = new AbortController();
    private lastContactAt: number;

    private constructor(private readonly options: RemoteLinkOptions) {
        super();
        this.lastContactAt = options.timers.now();
    }

    /** Creates a link and opens its stream. */
    static create(options: RemoteLinkOptions): RemoteLink {
        const link = new RemoteLink(options);
        void link.run();
        return link;
    }

    override acquire(ticket: Ticket): Promise<SlotResult | undefined> {
        return new Promise(settle => {
            if (this.abort.signal.aborted) {
                settle(undefined);
                return;
            }
            this.pending.set(ticket.id, settle);
            this.send({ case: "ticket", value: ticket });
        });
    }

    override withdraw(id: string): void {
        this.send({ case: "withdrawal", value: create(WithdrawalSchema, { id }) });
    }

    override announce(running: RunningRequest): void {
        this.send({ case: "running", value: running });
    }

    override release(release: Release): void {
        this.send({ case: "release", value: release });
    }

    override observe(observation: Observation): void {
        this.send({ case: "observation", value: observation });
    }

    override get isIdle(): boolean {
        return this.pending.size === 0;
    }

    override close(): void {
        this.abort.abort();
        this.outgoing.close();
    }

    private send(kind: GatewayMessage["kind"]): void {
        this.outgoing.push(create(GatewayMessageSchema, { kind }));
    }

    private async run(): Promise<void> {
        const { peer, transport, timers, heartbeatMs } = this.options;
        const cancelHeartbeat = timers.scheduleRepeating(heartbeatMs, () => this.sendHeartbeat());
        this.sendHeartbeat();
        let reason = "the stream ended";
        try {
            const messages = transport.openScheduleStream(peer, this.outgoing, this.abort.signal);
            for await (const message of messages) {
                this.lastContactAt = timers.now();
                this.handleMessage(message);
            }
        }
        catch (cause) {
            reason = describeCause(cause);
        }
        cancelHeartbeat();
        this.close();
        this.options.onLost(reason, this.lastContactAt);
        const lost = [...this.pending.values()];
        this.pending.clear();
        lost.forEach(settle => settle(undefined));
    }

    private sendHeartbeat(): void {
        if (this.options.timers.now() - this.lastContactAt > this.options.peerTimeoutMs) {
            this.abort.abort();
            return;
        }
        this.send({ case: "heartbeat", value: create(HeartbeatSchema) });
    }

    private handleMessage({ kind }: SchedulerMessage): void {
        switch (kind.case) {
            case "grant":
                this.settle(
                    kind.value.id,
                    Ok({ endpoint: kind.value.endpoint, expectedMs: kind.value.expectedMs }),
                );
                break;
            case "refusal":
                this.settle(kind.value.id, createRefusal(kind.value));
                break;
            case "heartbeat":
                this.options.onLoads(kind.value.loads);
                break;
            default:
                break;
        }
    }

    private settle(id: string, result: SlotResult): void {
        const settle = this.pending.get(id);
        this.pending.delete(id);
        settle?.(result);
    }
}

const createRefusal = ({ reason, retryAfterMs, estimateMs }: Refusal): SlotResult =>
    Err({ reason, retryAfterMs, estimateMs });
