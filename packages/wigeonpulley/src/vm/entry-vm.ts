/** Wires the parts of one VM: gateway, schedulers, membership, configuration and claims. */
import { ClaimService } from "../claims/index.js";
import {
    type Caller,
    type Configuration,
    ConfigurationFollower,
    NO_VERSION,
    type Settings,
} from "../config/index.js";
import type { EndpointClient } from "../endpoints/index.js";
import {
    Gateway,
    InterTokenLatencyRecorder,
    OpenRequests,
    ResumeTokenSigner,
    type SigningKey,
} from "../gateway/index.js";
import type { EventLogger } from "../logging/index.js";
import { MembershipService } from "../membership/index.js";
import type { MetricsRegistry } from "../metrics/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { PlatformLog, VmList, VmListEntry } from "../platform/index.js";
import type { RandomSource } from "../random/index.js";
import {
    AgedShortestFirstOrder,
    createGroups,
    GroupChooser,
    type QueueOrder,
    SchedulerService,
    TicketClient,
} from "../scheduling/index.js";
import type { TimerService } from "../time/index.js";
import { VmPeerHandler } from "./vm-peer-handler.js";

/** External dependencies of the VM. Tests replace each of them. */
export interface EntryVmOptions {
    readonly settings: Settings;
    /** Base URL at which peers reach this VM. */
    readonly peerUrl: string;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly metrics: MetricsRegistry;
    readonly log: PlatformLog;
    readonly vmList: VmList;
    readonly transport: PeerTransport;
    readonly endpoints: EndpointClient;
    /** Order of waiting requests within a tier; shortest first with ageing by default. */
    readonly order?: QueueOrder;
}

/** One VM whose configuration assigns requests to tiers and targets by selectors. */
export class EntryVm {
    readonly entry: VmListEntry;
    readonly membership: MembershipService;
    readonly configurationFollower: ConfigurationFollower;
    readonly schedulers: SchedulerService;
    readonly tickets: TicketClient;
    readonly claims: ClaimService;
    readonly gateway: Gateway;
    readonly openRequests: OpenRequests;
    readonly peerHandler: VmPeerHandler;
    private readonly latencyRecorder: InterTokenLatencyRecorder;
    private callers: ReadonlyMap<string, Caller> = new Map();
    private groupByEndpoint: ReadonlyMap<string, string> = new Map();
    private isStopping = false;

    private constructor(private readonly options: EntryVmOptions) {
        const { settings, timers, logger, random, log, transport } = options;
        const { name, region, dataCentre, timing } = settings;
        this.entry = { name, region, dataCentre, peerUrl: options.peerUrl, state: "live" };
        this.openRequests = OpenRequests.create(settings.limits);
        this.membership = this.createMembership();
        this.schedulers = this.createSchedulers();
        this.tickets = this.createTickets();
        this.latencyRecorder = InterTokenLatencyRecorder.create(
            timers,
            observation => this.tickets.observe(observation),
        );
        this.claims = ClaimService.create({
            self: this.entry,
            log,
            timers,
            random,
            logger,
            membership: this.membership,
            transport,
            partitions: settings.claimPartitions,
            batchMs: timing.claimBatchMs,
        });
        this.configurationFollower = ConfigurationFollower.create({
            log,
            timers,
            logger,
            pollMs: timing.logPollMs,
            fetchFromPeer: knownVersion => this.fetchFromPeer(knownVersion),
            isCheckpointWriter: () =>
                this.membership.findOwner("configuration", { dataCentre: "", region: "" }).name === name,
        });
        this.configurationFollower.subscribe(({ configuration }) => this.applyConfiguration(configuration));
        this.gateway = this.createGateway();
        this.peerHandler = VmPeerHandler.create({
            membership: this.membership,
            schedulers: this.schedulers,
            configurationFollower: this.configurationFollower,
            claims: this.claims,
        });
    }

    /** Creates a VM that has not joined the system yet. */
    static create(options: EntryVmOptions): EntryVm {
        return new EntryVm(options);
    }

    /** Starts following the configuration and joins the membership. */
    async start(): Promise<void> {
        this.configurationFollower.start();
        await this.membership.start();
    }

    /** Callers by the hash of their key. */
    getCallers(): ReadonlyMap<string, Caller> {
        return this.callers;
    }

    /** True while the load balancer may send callers here. */
    isReady(): boolean {
        return !this.isStopping && this.configurationFollower.current !== undefined;
    }

    /**
     * Shuts down gracefully: becomes unready, announces that it leaves so that other VMs take over its groups, waits
     * for the load balancer to notice, and lets open requests finish. Resolves with true when the last request has
     * ended, or with false when the time limit has passed.
     */
    async stop(): Promise<boolean> {
        const { timers, logger, settings } = this.options;
        const { balancerDelayMs, stopLimitMs } = settings.timing;
        this.isStopping = true;
        logger.write("VmStopping", { open: this.openRequests.count });
        await this.membership.announceLeaving();
        await timers.sleep(balancerDelayMs);
        this.gateway.stopAccepting();
        const limit = new AbortController();
        const isGraceful = await Promise.race([
            this.openRequests.waitUntilIdle().then(() => true),
            timers.sleep(stopLimitMs, limit.signal).then(() => false),
        ]);
        limit.abort();
        this.stopTasks();
        if (isGraceful) {
            logger.write("VmStopped", {});
        }
        else {
            logger.write("StopLimitReached", { open: this.openRequests.count });
        }
        return isGraceful;
    }

    /** Stops all background tasks at once, without waiting for open requests. */
    stopTasks(): void {
        this.schedulers.stop();
        this.tickets.close();
        this.membership.stop();
        this.configurationFollower.stop();
        this.latencyRecorder.stop();
    }

    /** Status of this VM as operators see it. */
    getStatus(): unknown {
        return {
            vm: this.entry.name,
            state: this.isStopping ? "stopping" : "live",
            configuration: this.configurationFollower.current?.version ?? NO_VERSION,
            openRequests: this.openRequests.count,
            members: this.membership.listMembers().map(member => ({
                vm: member.entry.name,
                dataCentre: member.entry.dataCentre,
                isLive: member.isLive,
                isLeaving: member.isLeaving,
                configuration: member.configuration,
            })),
            groups: this.schedulers.listLoads().map(({ group, waiting, freeSlots, expectedWaitMs }) => ({
                group,
                waiting,
                freeSlots,
                expectedWaitMs,
            })),
            endpoints: (this.configurationFollower.current?.configuration.endpoints ?? []).map(endpoint => ({
                endpoint: endpoint.name,
                state: this.schedulers.getEndpointState(endpoint),
            })),
        };
    }

    private createMembership(): MembershipService {
        const { settings, timers, random, logger, vmList, transport } = this.options;
        const { heartbeatMs, peerTimeoutMs, vmListPollMs } = settings.timing;
        return MembershipService.create({
            self: this.entry,
            timers,
            random,
            logger,
            vmList,
            transport,
            heartbeatMs,
            peerTimeoutMs,
            vmListPollMs,
            getConfigurationVersion: () => this.configurationFollower.current?.version ?? NO_VERSION,
        });
    }

    private createSchedulers(): SchedulerService {
        const { settings, timers, logger, endpoints, order } = this.options;
        return SchedulerService.create({
            vm: settings.name,
            timers,
            logger,
            membership: this.membership,
            endpoints,
            order: order ?? AgedShortestFirstOrder.create(),
            endpointsPerGroup: settings.endpointsPerGroup,
            heartbeatMs: settings.timing.heartbeatMs,
            peerTimeoutMs: settings.timing.peerTimeoutMs,
        });
    }

    private createTickets(): TicketClient {
        const { settings, timers, random, logger, transport } = this.options;
        const chooser = GroupChooser.create({
            region: settings.region,
            timers,
            random,
            findOwnLoad: group => this.schedulers.findLoad(group),
        });
        return TicketClient.create({
            self: this.entry,
            timers,
            logger,
            membership: this.membership,
            transport,
            schedulers: this.schedulers,
            chooser,
            random,
            endpointsPerGroup: settings.endpointsPerGroup,
            groupsPerSelector: settings.groupsPerSelector,
            heartbeatMs: settings.timing.heartbeatMs,
            peerTimeoutMs: settings.timing.peerTimeoutMs,
        });
    }

    private createGateway(): Gateway {
        const { settings, timers, random, logger, metrics, endpoints } = this.options;
        return Gateway.create({
            timers,
            random,
            logger,
            metrics,
            tickets: this.tickets,
            endpoints,
            claims: this.claims,
            resumeTokens: ResumeTokenSigner.create(settings.signingKeys as [SigningKey, ...SigningKey[]]),
            latencyRecorder: this.latencyRecorder,
            openRequests: this.openRequests,
            getConfiguration: () => this.configurationFollower.current,
            findEndpointGroup: endpoint => this.groupByEndpoint.get(endpoint),
            streamSilenceMs: settings.timing.streamSilenceMs,
            resumeTokenMs: settings.timing.resumeTokenMs,
        });
    }

    private applyConfiguration(configuration: Configuration): void {
        this.callers = new Map(configuration.callers.map(caller => [caller.keyHash, caller]));
        const groups = createGroups(configuration, this.options.settings.endpointsPerGroup);
        this.groupByEndpoint = new Map(
            groups.flatMap(group => group.endpoints.map(endpoint => [endpoint.name, group.name] as const)),
        );
        this.schedulers.applyConfiguration(configuration);
        this.tickets.applyConfiguration(configuration);
    }

    /** Fetches a newer configuration from a random live peer; undefined if the peer has none or can't be reached. */
    private async fetchFromPeer(knownVersion: number): Promise<ConfigurationFollower["current"]> {
        const peers = this.membership.listLive().filter(vm => vm.name !== this.entry.name);
        if (peers.length === 0) {
            return undefined;
        }
        const peer = peers[this.options.random.pickInteger(peers.length)];
        const response = peer === undefined
            ? undefined
            : await this.options.transport.fetchConfiguration(peer, knownVersion);
        return response?.isOk() === true ? response.value : undefined;
    }
}
