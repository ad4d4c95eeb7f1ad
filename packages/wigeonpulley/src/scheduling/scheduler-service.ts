/** Runs the schedulers of one VM: one for each endpoint group that gateways send tickets for. */
import { create } from "@bufbuild/protobuf";
import { MessageQueue } from "../concurrency/index.js";
import { type Configuration, type Endpoint, isUnderMaintenance, type Selector } from "../config/index.js";
import type { EndpointClient } from "../endpoints/index.js";
import {
    type GatewayMessage,
    GrantSchema,
    type GroupLoad,
    GroupLoadSchema,
    HeartbeatSchema,
    type Observation,
    RefusalReason,
    RefusalSchema,
    type Release,
    type RunningRequest,
    type SchedulerMessage,
    SchedulerMessageSchema,
    type Ticket,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { EventLogger } from "../logging/index.js";
import type { MembershipService } from "../membership/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";
import { GroupScheduler, type SlotResult } from "./group-scheduler.js";
import { createGroups, type EndpointGroup } from "./groups.js";
import type { QueueOrder } from "./queue-order.js";

/** Options of the service. */
export interface SchedulerServiceOptions {
    readonly vm: string;
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly membership: MembershipService;
    readonly endpoints: EndpointClient;
    readonly order: QueueOrder;
    readonly endpointsPerGroup: number;
    readonly heartbeatMs: number;
    readonly peerTimeoutMs: number;
}

/** Interval at which reports of endpoints are fetched and maintenance windows are checked, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** Number of missed reports in a row from which an endpoint gets no new work. */
const MISSED_REPORTS_LIMIT = 3;

/** Highest expected wait that a digest reports, in milliseconds. */
const MAX_REPORTED_WAIT_MS = 3_600_000;

/** Schedulers of one VM, by endpoint group. */
export class SchedulerService {
    private readonly schedulers = new Map<string, GroupScheduler>();
    private groups = new Map<string, EndpointGroup>();
    private selectors = new Map<string, Selector>();
    private configuration: Configuration | undefined;
    /** Reports in a row that each endpoint missed, and the version it last reported. */
    private readonly missedReports = new Map<string, number>();
    private readonly reportedVersions = new Map<string, string>();
    /** State that was last logged for each endpoint. */
    private readonly loggedStates = new Map<string, string>();
    private readonly cancelReports: CancelTimer;
    private isStopping = false;
    /** Number of gateway streams served so far. */
    private streamCount = 0;

    private constructor(private readonly options: SchedulerServiceOptions) {
        this.cancelReports = options.timers.scheduleRepeating(REPORT_INTERVAL_MS, () => {
            this.listScheduledEndpoints().forEach(endpoint => void this.readReport(endpoint));
            this.updateEndpoints();
        });
        options.membership.subscribe(() => {
            this.releaseGroups();
            this.updateEndpoints();
        });
    }

    /** Creates a service without groups. */
    static create(options: SchedulerServiceOptions): SchedulerService {
        return new SchedulerService(options);
    }

    /** Applies a configuration. */
    applyConfiguration(configuration: Configuration): void {
        this.configuration = configuration;
        this.selectors = new Map(configuration.selectors.map(selector => [selector.name, selector]));
        const groups = createGroups(configuration, this.options.endpointsPerGroup);
        this.groups = new Map(groups.map(group => [group.name, group]));
        this.updateEndpoints();
    }

    /** Waits for a slot in a group. */
    acquire(ticket: Ticket, gateway: string): Promise<SlotResult> {
        return this.getScheduler(ticket.group).acquire(ticket, gateway);
    }

    /** Withdraws a waiting ticket. Returns false when it does not wait here. */
    withdraw(id: string): boolean {
        return [...this.schedulers.values()].some(scheduler => scheduler.withdraw(id));
    }

    /** Registers a running request that another scheduler granted. */
    registerRunning(running: RunningRequest, gateway: string): void {
        this.getScheduler(running.group).registerRunning(running, gateway);
    }

    /** Frees a slot. */
    release(release: Release): void {
        this.schedulers.get(release.group)?.release(release);
    }

    /** Applies a gateway's inter-token latency samples. */
    observe(observation: Observation): void {
        this.schedulers.get(observation.group)?.observe(observation);
    }

    /** Serves the stream of one gateway until it ends, stays silent for the peer timeout, or the VM stops. */
    async *serveGateway(
        gateway: string,
        incoming: AsyncIterable<GatewayMessage>,
    ): AsyncGenerator<SchedulerMessage, void, undefined> {
        const { timers, logger, heartbeatMs, peerTimeoutMs } = this.options;
        const outgoing = MessageQueue.create<SchedulerMessage>();
        // A gateway may open its next stream before the end of the last one is noticed here.
        this.streamCount += 1;
        const streamId = `${gateway} ${this.streamCount}`;
        let lastContactAt = timers.now();
        const cancelHeartbeat = timers.scheduleRepeating(heartbeatMs, () => {
            const value = create(HeartbeatSchema, { loads: [...this.listLoads()] });
            outgoing.push(create(SchedulerMessageSchema, { kind: { case: "heartbeat", value } }));
            if (timers.now() - lastContactAt > peerTimeoutMs) {
                outgoing.close();
            }
        });
        const read = async (): Promise<void> => {
            try {
                for await (const message of incoming) {
                    lastContactAt = timers.now();
                    this.handleMessage(message, streamId, outgoing);
                }
            }
            catch {
                // The stream was lost; the gateway opens another one.
            }
            outgoing.close();
        };
        void read();
        try {
            yield* outgoing;
        }
        finally {
            cancelHeartbeat();
            const affectedCounts = [...this.schedulers.values()].map(scheduler =>
                scheduler.removeGateway(streamId)
            );
            if (affectedCounts.some(count => count > 0)) {
                logger.write("GatewayLost", { vm: gateway });
            }
        }
    }

    /** Loads of the groups that have a scheduler here. */
    listLoads(): readonly GroupLoad[] {
        return [...this.schedulers].map(([group, scheduler]) => createLoad(group, scheduler));
    }

    /** Load of one group, if it has a scheduler here. */
    findLoad(group: string): GroupLoad | undefined {
        const scheduler = this.schedulers.get(group);
        return scheduler === undefined ? undefined : createLoad(group, scheduler);
    }

    /** Schedulers of this VM by group, for tests and benchmarks. */
    listSchedulers(): ReadonlyMap<string, GroupScheduler> {
        return this.schedulers;
    }

    /** Refuses every waiting ticket, so that its gateway submits it elsewhere, and stops the timers. */
    stop(): void {
        this.isStopping = true;
        this.cancelReports();
        this.schedulers.forEach(scheduler => scheduler.stop(RefusalReason.NOT_OWNER));
    }

    private handleMessage(
        { kind }: GatewayMessage,
        gateway: string,
        outgoing: MessageQueue<SchedulerMessage>,
    ): void {
        switch (kind.case) {
            case "ticket":
                void this.handleTicket(kind.value, gateway, outgoing);
                break;
            case "withdrawal":
                this.withdraw(kind.value.id);
                break;
            case "running":
                this.registerRunning(kind.value, gateway);
                break;
            case "release":
                this.release(kind.value);
                break;
            case "observation":
                this.observe(kind.value);
                break;
            default:
                break;
        }
    }

    private async handleTicket(
        ticket: Ticket,
        gateway: string,
        outgoing: MessageQueue<SchedulerMessage>,
    ): Promise<void> {
        const result = await this.acquire(ticket, gateway);
        const kind = result.isOk()
            ? {
                case: "grant" as const,
                value: create(GrantSchema, {
                    id: ticket.id,
                    endpoint: result.value.endpoint,
                    expectedMs: Math.ceil(result.value.expectedMs),
                }),
            }
            : { case: "refusal" as const, value: create(RefusalSchema, { id: ticket.id, ...result.error }) };
        outgoing.push(create(SchedulerMessageSchema, { kind }));
    }

    private getScheduler(group: string): GroupScheduler {
        const known = this.schedulers.get(group);
        if (known !== undefined) {
            return known;
        }
        const scheduler = GroupScheduler.create({
            timers: this.options.timers,
            order: this.options.order,
            findSelector: name => this.selectors.get(name),
        });
        this.schedulers.set(group, scheduler);
        this.updateGroup(group, scheduler);
        return scheduler;
    }

    private updateEndpoints(): void {
        this.schedulers.forEach((scheduler, group) => this.updateGroup(group, scheduler));
    }

    private updateGroup(group: string, scheduler: GroupScheduler): void {
        scheduler.updateEndpoints(
            this.groups.get(group)?.endpoints ?? [],
            endpoint => this.updateEndpointState(endpoint) === "ready",
        );
    }

    /** Returns the state of an endpoint and logs it when it has changed. */
    private updateEndpointState(endpoint: Endpoint): string {
        const state = this.getEndpointState(endpoint);
        if (state !== (this.loggedStates.get(endpoint.name) ?? "ready")) {
            this.options.logger.write("EndpointStateChanged", { endpoint: endpoint.name, state });
        }
        this.loggedStates.set(endpoint.name, state);
        return state;
    }

    /** State of an endpoint; only a ready one gets new work. */
    getEndpointState(endpoint: Endpoint): "ready" | "leaving" | "maintenance" | "silent" | "other version" {
        const { membership, timers } = this.options;
        if (membership.isEndpointLeaving(endpoint.name)) {
            return "leaving";
        }
        if (
            this.configuration !== undefined
            && isUnderMaintenance(this.configuration, endpoint, timers.readWallClock())
        ) {
            return "maintenance";
        }
        if ((this.missedReports.get(endpoint.name) ?? 0) >= MISSED_REPORTS_LIMIT) {
            return "silent";
        }
        const reported = this.reportedVersions.get(endpoint.name);
        return reported === undefined || reported === endpoint.version ? "ready" : "other version";
    }

    private async readReport(endpoint: Endpoint): Promise<void> {
        const report = await this.options.endpoints.readReport(endpoint);
        if (report.isErr()) {
            this.missedReports.set(endpoint.name, (this.missedReports.get(endpoint.name) ?? 0) + 1);
            return;
        }
        this.missedReports.set(endpoint.name, 0);
        this.reportedVersions.set(endpoint.name, report.value.version);
        this.schedulers.forEach(scheduler =>
            scheduler.removeBlocks(endpoint.name, report.value.evictedBlocks)
        );
    }

    private listScheduledEndpoints(): readonly Endpoint[] {
        return [...this.schedulers.keys()].flatMap(group => this.groups.get(group)?.endpoints ?? []);
    }

    /** Refuses the tickets of groups that another VM owns now, so that their gateways submit them there. */
    private releaseGroups(): void {
        for (const [group, scheduler] of this.schedulers) {
            const endpointGroup = this.groups.get(group);
            const owner = endpointGroup === undefined
                ? undefined
                : this.options.membership.findOwner(group, endpointGroup);
            if (owner?.name !== this.options.vm && !this.isStopping) {
                scheduler.stop(RefusalReason.NOT_OWNER);
                this.schedulers.delete(group);
            }
        }
    }
}

const createLoad = (group: string, scheduler: GroupScheduler): GroupLoad =>
    create(GroupLoadSchema, {
        group,
        waiting: scheduler.countWaiting(),
        freeSlots: scheduler.countFreeSlots(),
        expectedWaitMs: Math.min(MAX_REPORTED_WAIT_MS, Math.ceil(scheduler.estimateWaitMs())),
    });
