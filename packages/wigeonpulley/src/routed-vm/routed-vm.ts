/** Wires the parts of a VM for routed traffic: configuration, instances, placement, quotas, rollouts and forwarding. */
import type { Server } from "node:net";
import { ClientResources } from "../clients/index.js";
import { Evacuations, type Instance, InstanceDirectory } from "../discovery/index.js";
import {
    AdmissionCheck,
    type EndpointTransport,
    Forwarder,
    FrontServer,
    PeerSelector,
    RelayPace,
    type RequestPeer,
    RequestRegions,
} from "../forwarding/index.js";
import type { MemberDigest } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { EventLogger } from "../logging/index.js";
import { MembershipService } from "../membership/index.js";
import type { MetricsRegistry } from "../metrics/index.js";
import { GossipHandler, type GossipTransport } from "../peers/index.js";
import {
    ColdInstances,
    computeAllowedRegions,
    DataCentreRegions,
    type HomePolicy,
    InstanceRateLimits,
    LearnedConcurrency,
    NoHomes,
    PeerLoadReports,
    PlacementService,
    RendezvousHomes,
} from "../placement/index.js";
import type { VmListEntry } from "../platform/index.js";
import type { ProcessorMonitor } from "../processor/index.js";
import { Quarantine, QuarantineStore } from "../quarantine/index.js";
import { SharedQuotaLimiter, SharedRetryBudget } from "../quotas/index.js";
import type { RandomSource } from "../random/index.js";
import { RolloutService, RolloutStateStore } from "../rollouts/index.js";
import { ActiveConfiguration, computeAgeLimits, type RoutingConfiguration } from "../routing/index.js";
import { type RecordBatch, StoreVmList, StoreVmListCopies, type TopicPosition } from "../store/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";
import { GossipedEvidence } from "./gossiped-evidence.js";
import { GossipedFreshness } from "./gossiped-freshness.js";
import { GossipedInstanceList } from "./gossiped-instance-list.js";
import { OperatorRecordExchange } from "./operator-record-exchange.js";
import type { PlatformAdapter } from "./platform-adapter.js";
import { ReportService } from "./report-service.js";
import type { Bounds, RoutedSettings } from "./routed-settings.js";
import { StoreSubscriptions } from "./store-subscriptions.js";

/** External dependencies of the VM. Tests replace each of them. */
export interface RoutedVmOptions {
    readonly settings: RoutedSettings;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly metrics: MetricsRegistry;
    readonly adapter: PlatformAdapter;
    readonly transport: EndpointTransport;
    readonly processor: ProcessorMonitor;
    readonly peers: GossipTransport;
    /** Key that all VMs share. */
    readonly peerKey: string;
}

/** Interval of the regular gossip, in milliseconds. */
const HEARTBEAT_MS = 500;
/**
 * Faster gossip while slots are scarce, since an engine's slot is held for only about a second: interval in
 * milliseconds, and number of members called each time. Among many members one call is enough, since each call brings
 * news of several members and costs more than the reports that it carries.
 */
const CONTENDED_GOSSIP_INTERVAL_MS = 150;
const CONTENDED_GOSSIP_FANOUT = 2;
const CONTENDED_GOSSIP_FANOUT_AMONG_MANY = 1;
const MANY_MEMBERS = 16;
const PEER_TIMEOUT_MS = 2_000;
const VM_LIST_POLL_MS = 8_000;
/** Longest time for which a VM that has just started waits for its configuration before it joins the others. */
const MAX_JOIN_DELAY_MS = 1_000;
/** Least time for which a VM that starts waits for other VMs' copies of the operators' records; at most twice as long. */
const START_FROM_PEERS_MS = 800;
/** Time for the load balancer to notice that a VM is not ready, in milliseconds: two checks at one a second. */
const READINESS_PROPAGATION_MS = 2_600;
/**
 * Time since the signal after which requests are refused however late the event loop is, in milliseconds. The grace period
 * covers requests that were sent in its first 3 s.
 */
const LATEST_ADMISSION_MS = 2_900;
const MS_PER_S = 1_000;
/** Share of an endpoint's connections that all known VMs keep together; the rest is left for new and unknown VMs. */
const CONNECTION_SHARE = 0.7;
/** Time reserved for closing at the end of the grace period, in milliseconds, unless the signal was handled late. */
const SHUTDOWN_RESERVE_MS = 500;
/** Part of it for the answers to requests that were cancelled, in milliseconds. */
const CANCELLED_FLUSH_MS = 300;
/** Share of the grace period before which no response is cut: five sixths, and a margin. */
const UNCUT_GRACE_SHARE = 0.85;
/** Share of the descriptors for connections with requests; the rest is for endpoints, other VMs, the store and files. */
const CONNECTION_DESCRIPTOR_SHARE = 0.5;
/** The same for each of the operators' ports, with its bounds. */
const OPERATOR_DESCRIPTOR_SHARE = 1 / 32;
const MIN_OPERATOR_CONNECTIONS = 4;
const MAX_OPERATOR_CONNECTIONS = 32;
/** File descriptors planned for an open request: one to the caller, one to the endpoint, and one in reserve. */
const DESCRIPTORS_PER_REQUEST = 3;
/** Maximum memory planned for an open request with its body and response, in megabytes. */
const MEMORY_PER_REQUEST_MB = 0.15;

/**
 * Interval of the faster gossip for a busy share of the event loop, in milliseconds. Each round takes processor time also of the
 * VMs that are called, so that it is given up when little is left.
 */
const computeContendedIntervalMs = (busyShare: number): number =>
    CONTENDED_GOSSIP_INTERVAL_MS / Math.max(CONTENDED_GOSSIP_INTERVAL_MS / HEARTBEAT_MS, 1 - busyShare);

/** One VM for routed traffic. */
export class RoutedVm extends GossipHandler {
    /** What clients of all its servers hold. */
    readonly clients: ClientResources;
    readonly activeConfiguration: ActiveConfiguration;
    readonly directory: InstanceDirectory;
    readonly evacuations: Evacuations;
    readonly placement: PlacementService;
    readonly membership: MembershipService;
    readonly forwarder: Forwarder;
    readonly frontServer: FrontServer;
    /** Takes requests that other VMs pass on; undefined when this VM takes none. */
    private readonly peerRequestServer: FrontServer | undefined;
    readonly quotaLimiter: SharedQuotaLimiter;
    readonly rollouts: RolloutService;
    readonly quarantine: Quarantine;
    private readonly quarantineStore: QuarantineStore;
    private readonly rateLimits: InstanceRateLimits;
    private readonly regions: DataCentreRegions;
    readonly coldInstances: ColdInstances;
    readonly learnedConcurrency: LearnedConcurrency;
    private readonly reports: PeerLoadReports;
    private readonly subscriptions: StoreSubscriptions;
    private readonly recordExchange: OperatorRecordExchange;
    private readonly vmList: StoreVmList;
    private cancelContendedGossip: CancelTimer = () => undefined;
    private isReading = false;
    private isStopping = false;
    /** True once the background tasks have been stopped. */
    private hasStopped = false;
    private bounds: Bounds;

    private constructor(private readonly options: RoutedVmOptions) {
        super();
        const { settings, timers, logger } = options;
        this.bounds = settings.bounds;
        this.vmList = StoreVmList.create(options.adapter.store);
        this.regions = DataCentreRegions.create(settings.regions);
        this.clients = this.createClients();
        this.activeConfiguration = ActiveConfiguration.create(timers, logger);
        this.activeConfiguration.subscribe(({ configuration }) => this.writeUnknownRegions(configuration));
        this.directory = InstanceDirectory.create(timers, logger);
        this.evacuations = Evacuations.create(logger, dataCentre => this.isKnownDataCentre(dataCentre));
        this.reports = PeerLoadReports.create(settings.name, timers);
        this.quarantine = Quarantine.create({ timers, logger, listInstances: () => this.directory.list() });
        this.quarantineStore = QuarantineStore.create({
            ...options,
            vm: settings.name,
            store: options.adapter.store,
            quarantine: this.quarantine,
        });
        this.rollouts = this.createRollouts();
        this.directory.subscribe(() => this.rollouts.recordInstances(this.directory.list()));
        this.rateLimits = InstanceRateLimits.create({
            self: settings.name,
            timers,
            logger,
            listVms: () => this.listSendingVms(),
            getAssumedVmCount: () => {
                const { count, isKnown } = this.membership.vmCount;
                return isKnown ? undefined : count;
            },
        });
        this.coldInstances = this.createColdInstances();
        // Before placement sends requests there again: the instances may have become cold just before the evacuation.
        this.evacuations.subscribe((dataCentre, isEvacuated) => {
            if (!isEvacuated) {
                this.coldInstances.markCold(dataCentre);
            }
        });
        this.learnedConcurrency = this.createLearnedConcurrency();
        this.placement = this.createPlacement();
        this.quotaLimiter = this.createQuotaLimiter();
        this.subscriptions = StoreSubscriptions.create({
            ...options,
            activeConfiguration: this.activeConfiguration,
            directory: this.directory,
            evacuations: this.evacuations,
            rollouts: this.rollouts,
            drainMs: this.bounds.drainMs,
            getReadingRole: () => this.membership.storeReadingRole,
            work: options.processor.work,
        });
        this.membership = this.createMembership();
        this.membership.subscribe(() => this.coldInstances.refreshVms());
        this.recordExchange = this.createRecordExchange();
        this.forwarder = this.createForwarder();
        this.frontServer = this.createFrontServer(settings.listen.callers, undefined);
        this.peerRequestServer = this.createPeerRequestServer();
    }

    /** Creates a VM that has not joined the system yet. */
    static create(options: RoutedVmOptions): RoutedVm {
        return new RoutedVm(options);
    }

    /** Starts reading the store; further calls have no effect. */
    startReading(): void {
        if (this.isReading) {
            return;
        }
        this.isReading = true;
        this.subscriptions.startReadingInstances();
        this.recordExchange.start();
        void this.startReadingOperators();
    }

    /**
     * Starts to follow the operators' records. VMs of a large region that start together would fill its link to the store with
     * copies of long records, so all but its readers take them from others first, if those have them soon.
     */
    private async startReadingOperators(): Promise<void> {
        const { timers, random } = this.options;
        // Before the configuration, from which on requests use limits that all VMs share.
        await this.membership.readList();
        if (this.membership.storeReadingRole === "follower" && !this.isStopping) {
            void this.membership.start();
            await Promise.race([
                this.activeConfiguration.waitUntilLoaded(),
                timers.sleep(START_FROM_PEERS_MS * (1 + random.pickFraction())),
            ]);
        }
        // A VM that begins to stop while it starts still serves the requests that wait for its configuration.
        if (!this.hasStopped) {
            this.subscriptions.startReadingOperators();
            this.quarantineStore.start();
        }
    }

    /** Starts reading the store and serving callers; may be repeated. `listener` may already listen on their address. */
    async startServing(listener?: Server): Promise<void> {
        this.startReading();
        await Promise.all([this.frontServer.listen(listener), this.peerRequestServer?.listen()]);
    }

    /**
     * Joins the other VMs and gossips with them. Callers that waited for this VM to start go first: joining starts when
     * it can serve them, or after a short time.
     */
    async join(): Promise<void> {
        const limit = new AbortController();
        await Promise.race([
            Promise.all([this.activeConfiguration.waitUntilLoaded(), this.directory.waitUntilLoaded()]),
            this.options.timers.sleep(MAX_JOIN_DELAY_MS, limit.signal),
        ]);
        limit.abort();
        await this.membership.start();
        if (this.isStopping) {
            return;
        }
        this.scheduleContendedGossip();
    }

    /** Gossips between the regular rounds while slots are scarce, less often the busier this VM is. */
    private scheduleContendedGossip(): void {
        const { timers, processor } = this.options;
        const intervalMs = computeContendedIntervalMs(processor.getBusyShare());
        this.cancelContendedGossip = timers.schedule(Math.min(intervalMs, HEARTBEAT_MS), () => {
            if (intervalMs < HEARTBEAT_MS && this.placement.isContended()) {
                this.membership.gossipWithMembers(
                    this.membership.memberCount < MANY_MEMBERS
                        ? CONTENDED_GOSSIP_FANOUT
                        : CONTENDED_GOSSIP_FANOUT_AMONG_MANY,
                );
            }
            this.scheduleContendedGossip();
        });
    }

    /**
     * Returns the number of connections to an instance above which this VM keeps no idle ones: its share of the limit
     * that the service sets, or infinity if it sets none.
     */
    computeMaxConnections({ service }: Instance): number {
        const knownService = this.activeConfiguration.routeTable?.configuration.services.find(({ name }) =>
            name === service
        );
        return knownService?.maxConnections === undefined
            ? Number.POSITIVE_INFINITY
            : Math.floor(knownService.maxConnections * CONNECTION_SHARE / this.membership.vmCount.count);
    }

    /** Applies the bounds of new settings. All others, such as addresses and region, change only with a restart. */
    applySettings(settings: RoutedSettings): void {
        this.bounds = settings.bounds;
    }

    /** True while the load balancer may send callers here. */
    isReady(): boolean {
        return !this.isStopping && this.activeConfiguration.routeTable !== undefined
            && this.directory.isLoaded && this.evacuations.isLoaded;
    }

    /**
     * Shuts down gracefully within the grace period, which began at `requestedAt`, a monotonic time in milliseconds.
     * Resolves with true when no open request was cancelled.
     */
    async stop(requestedAt = this.options.timers.now()): Promise<boolean> {
        const { timers, logger } = this.options;
        const graceMs = this.bounds.graceS * MS_PER_S;
        // A process whose grace period is over would have been killed.
        const handledAt = timers.now();
        const lateMs = Math.min(Math.max(0, handledAt - requestedAt), graceMs);
        const startedAt = handledAt - lateMs;
        const deadline = startedAt + graceMs - SHUTDOWN_RESERVE_MS;
        // The signal came between `startedAt` and `handledAt`. Errors must be sent before the earliest end of the grace period; a
        // response that has started may go on, and the end of the process cuts it at the worst.
        const cutAt = Math.max(deadline, handledAt + graceMs * UNCUT_GRACE_SHARE);
        this.refuseLateRequests(startedAt);
        logger.write("VmStopping", { open: this.openRequestCount, lateMs: Math.round(lateMs) });
        void this.membership.announceLeaving();
        const remainingMs = startedAt + READINESS_PROPAGATION_MS - timers.now();
        if (remainingMs > 0) {
            await timers.sleep(remainingMs);
        }
        else {
            this.listServers().forEach(server => server.refuseNew());
        }
        const finishing = this.stopAcceptingAndFinish();
        const isGraceful = await this.waitForEnd(finishing, deadline);
        if (isGraceful) {
            logger.write("VmStopped", {});
        }
        else {
            logger.write("StopLimitReached", { open: this.openRequestCount });
            this.listServers().forEach(server => server.cancelUnanswered());
            if (timers.now() < cutAt) {
                await this.waitForEnd(finishing, cutAt);
            }
            this.listServers().forEach(server => server.cancelAll());
            // Leaves time to send the error responses before the process ends.
            await Promise.race([this.waitUntilIdle(), timers.sleep(CANCELLED_FLUSH_MS)]);
        }
        this.stopTasks();
        return isGraceful;
    }

    /**
     * Makes the VM unready, and refuses the requests that the grace period, which began at `startedAt`, doesn't cover any
     * more. A VM that is still starting does this before it stops.
     */
    refuseLateRequests(startedAt: number): void {
        this.isStopping = true;
        this.listServers().forEach(server => {
            server.startDraining();
            server.refuseNew(startedAt + LATEST_ADMISSION_MS);
        });
    }

    /** Stops all background tasks at once, without waiting for open requests. */
    stopTasks(): void {
        this.hasStopped = true;
        this.subscriptions.stop();
        this.recordExchange.stop();
        this.quarantineStore.stop();
        this.membership.stop();
        this.cancelContendedGossip();
        this.rollouts.stop();
        this.learnedConcurrency.stop();
    }

    override handleDigest(digest: MemberDigest): MemberDigest {
        return this.membership.handleDigest(digest);
    }

    override handleFetchOperatorRecords(position: TopicPosition | undefined): RecordBatch | undefined {
        return this.recordExchange.handleFetch(position);
    }

    /** Status of this VM as operators see it. */
    getStatus(): unknown {
        const { settings } = this.options;
        const ageMs = this.activeConfiguration.getAgeMs();
        return {
            vm: settings.name,
            state: this.isStopping ? "stopping" : this.isReady() ? "ready" : "starting",
            configuration: {
                version: this.activeConfiguration.routeTable?.configuration.version,
                ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
            },
            openRequests: this.openRequestCount,
            members: this.membership.listMembers().map(({ entry, isLive, isLeaving }) => ({
                vm: entry.name,
                dataCentre: entry.dataCentre,
                isLive,
                isLeaving,
            })),
            instances: this.directory.list().map(instance => this.describeInstance(instance)),
            evacuatedDataCentres: this.evacuations.list(),
            queues: this.placement.listQueueLengths(),
            quotas: this.quotaLimiter.listUsage(),
            quarantinedPromptBlocks: this.quarantine.listQuarantined().map(({ trait, remainingMs }) => ({
                block: trait,
                remainingMs,
            })),
        };
    }

    private async stopAcceptingAndFinish(): Promise<void> {
        await Promise.all(this.listServers().map(server => server.stopAccepting()));
        await this.waitUntilIdle();
    }

    /** Resolves with true when `work` ends before `time`, a monotonic time in milliseconds. */
    private async waitForEnd(work: Promise<unknown>, time: number): Promise<boolean> {
        const { timers } = this.options;
        const limit = new AbortController();
        const hasEnded = await Promise.race([
            work.then(() => true),
            timers.sleep(time - timers.now(), limit.signal).then(() => false),
        ]);
        limit.abort();
        return hasEnded;
    }

    private async waitUntilIdle(): Promise<void> {
        await Promise.all(this.listServers().map(server => server.waitUntilIdle()));
    }

    private get openRequestCount(): number {
        return this.listServers().reduce((sum, server) => sum + server.openRequestCount, 0);
    }

    private listServers(): readonly FrontServer[] {
        return this.peerRequestServer === undefined
            ? [this.frontServer]
            : [this.frontServer, this.peerRequestServer];
    }

    /** Returns the other live VMs that take requests, at the addresses that they announce themselves. */
    private listRequestPeers(): readonly RequestPeer[] {
        return this.membership.listMembers().flatMap(
            ({ entry, isLive, isLeaving, configuration, comparesConfigurations }) => {
                const port = Number(entry.requestAddress?.split(":")[1]);
                return !isLive || isLeaving || entry.name === this.options.settings.name
                        || !Number.isInteger(port)
                    ? []
                    : [{
                        ...entry,
                        host: new URL(entry.peerUrl).hostname,
                        port,
                        configuration,
                        comparesConfigurations,
                    }];
            },
        );
    }

    /**
     * Returns the VMs that share the limits of instances: the live ones, unless most seem dead. Then this VM is probably
     * cut off, and the others go on.
     */
    private listSendingVms(): readonly string[] {
        const members = this.membership.listMembers();
        const live = members.filter(({ isLive, isLeaving }) => isLive && !isLeaving);
        return (live.length * 2 < members.length ? members : live).map(({ entry }) => entry.name);
    }

    private isKnownDataCentre(dataCentre: string): boolean {
        return dataCentre === this.options.settings.dataCentre
            || this.regions.getRegion(dataCentre) !== undefined
            || this.directory.list().some(instance => instance.dataCentre === dataCentre);
    }

    private writeUnknownRegions(configuration: RoutingConfiguration): void {
        const unknown = this.regions.listUnknown(configuration);
        if (unknown.length > 0) {
            this.options.logger.write("RegionsUnknown", {
                version: configuration.version,
                regions: unknown.join(", "),
            });
        }
    }

    private describeInstance(instance: Instance): unknown {
        return {
            id: instance.id,
            service: instance.service,
            dataCentre: instance.dataCentre,
            state: instance.state,
            version: instance.version,
            isTrusted: this.placement.health.isTrusted(instance.id),
            failureShare: Number(this.placement.health.getFailureRate(instance.id).toFixed(2)),
            inFlight: this.placement.countInFlight(instance.id),
            inFlightElsewhere: this.reports.countInFlight(instance.id),
            cold: this.coldInstances.describe(instance),
            learnedConcurrency: this.learnedConcurrency.describe(instance),
        };
    }

    private createPeerRequestServer(): FrontServer | undefined {
        const { settings, peerKey } = this.options;
        const { peerRequests } = settings.listen;
        return peerRequests === undefined ? undefined : this.createFrontServer(peerRequests, peerKey);
    }

    private createPlacement(): PlacementService {
        return PlacementService.create({
            ...this.options,
            ...this.options.settings,
            directory: this.directory,
            evacuations: this.evacuations,
            peers: this.reports,
            rateLimits: this.rateLimits,
            coldInstances: this.coldInstances,
            learnedConcurrency: this.learnedConcurrency,
            versions: this.rollouts,
            homes: this.createHomes(),
            work: this.options.processor.work,
        });
    }

    private createColdInstances(): ColdInstances {
        const { settings, timers, logger, metrics } = this.options;
        const coldInstances = ColdInstances.create({
            self: settings.name,
            timers,
            logger,
            directory: this.directory,
            listVms: () => this.membership.listKnownNames(),
            hasReadVmList: () => this.membership.hasReadList,
            hasContact: () => this.membership.hasContact,
            getTolerance: () => ({ overrun: this.bounds.coldOverrun, slack: this.bounds.coldSlack }),
        });
        this.activeConfiguration.subscribe(({ configuration }) =>
            coldInstances.applyServices(configuration.services)
        );
        metrics.registerGauge(
            "wigeonpulley_cold_instances",
            "Instances that are cold, as far as this VM knows.",
            () => coldInstances.coldCount,
        );
        return coldInstances;
    }

    private createLearnedConcurrency(): LearnedConcurrency {
        const { settings, timers, random, logger, metrics } = this.options;
        const learnedConcurrency = LearnedConcurrency.create({
            timers,
            random,
            logger,
            settings: settings.learnedConcurrency,
            listPeerPaces: instance => this.reports.listPaces(instance),
            isCold: instance => this.coldInstances.isCold(instance),
        });
        metrics.registerGauge(
            "wigeonpulley_limited_instances",
            "Instances that get fewer requests at the same time than they have slots, by what was learned from their pace.",
            () => learnedConcurrency.limitedCount,
        );
        return learnedConcurrency;
    }

    private createQuotaLimiter(): SharedQuotaLimiter {
        return SharedQuotaLimiter.create({
            timers: this.options.timers,
            getVmCount: () => this.membership.vmCount,
            getTolerance: () => ({
                slack: this.bounds.quotaSlack,
                overrun: this.bounds.quotaOverrun,
                windowMs: this.bounds.quotaWindowS * MS_PER_S,
            }),
        });
    }

    private createRollouts(): RolloutService {
        const { timers, random, logger, adapter, settings } = this.options;
        return RolloutService.create({
            timers,
            random,
            logger,
            stateStore: RolloutStateStore.create(adapter.store, adapter.statusCodec),
            catchUpWithOrders: () => this.subscriptions.catchUpWithOperators(),
            getWriterIndex: () => {
                const live = this.membership.listMembers().filter(({ isLive, isLeaving }) =>
                    isLive && !isLeaving
                );
                const names = live.map(({ entry }) => entry.name).toSorted();
                return Math.max(0, names.indexOf(settings.name));
            },
            countVms: () => this.membership.vmCount.count,
            getExposure: () => ({ share: this.bounds.exposureShare, slack: this.bounds.exposureSlack }),
        });
    }

    private createHomes(): HomePolicy {
        const { settings: { dataCentre, region, regions, promptHomes }, timers } = this.options;
        if (!promptHomes.enabled) {
            return NoHomes.create();
        }
        return RendezvousHomes.create({
            timers,
            dataCentre,
            region,
            regions,
            countVms: () => this.membership.vmCount.count,
        });
    }

    private describeSelf(): VmListEntry {
        const { settings } = this.options;
        return {
            name: settings.name,
            region: settings.region,
            dataCentre: settings.dataCentre,
            peerUrl: `http://${settings.listen.peers}`,
            requestAddress: settings.listen.peerRequests,
            state: "live",
        };
    }

    private createMembership(): MembershipService {
        const { settings, timers, random, logger, peers, processor } = this.options;
        return MembershipService.create({
            self: this.describeSelf(),
            timers,
            random,
            logger,
            vmList: this.vmList,
            copies: StoreVmListCopies.create(this.options.adapter.store),
            transport: peers,
            work: processor.work,
            reports: ReportService.create({
                timers,
                self: settings.name,
                directory: this.directory,
                placement: this.placement,
                quotaLimiter: this.quotaLimiter,
                rollouts: this.rollouts,
                reports: this.reports,
                learnedConcurrency: this.learnedConcurrency,
            }),
            freshness: GossipedFreshness.create({
                activeConfiguration: this.activeConfiguration,
                directory: this.directory,
                operatorRecords: {
                    getPosition: () => this.subscriptions.operatorPosition,
                    onPeerPosition: (vm, position) => this.recordExchange.recordPosition(vm, position),
                },
            }),
            instanceList: GossipedInstanceList.create(
                this.subscriptions,
                ({ monotonicMs }) => this.directory.recordServedOthers(monotonicMs),
            ),
            evidence: GossipedEvidence.create(this.quarantine, this.rateLimits),
            heartbeatMs: HEARTBEAT_MS,
            peerTimeoutMs: PEER_TIMEOUT_MS,
            vmListPollMs: VM_LIST_POLL_MS,
            getConfigurationVersion: () => this.activeConfiguration.routeTable?.configuration.version ?? -1,
        });
    }

    private createRecordExchange(): OperatorRecordExchange {
        const { settings, peers } = this.options;
        return OperatorRecordExchange.create({
            ...this.options,
            self: settings.name,
            region: settings.region,
            transport: peers,
            activeConfiguration: this.activeConfiguration,
            getMembership: () => this.membership,
            readStore: () => this.subscriptions.refreshOperatorRecordsWhenAvailable(),
            getPosition: () => this.subscriptions.operatorPosition,
            listRecordsSince: position => this.subscriptions.listOperatorRecordsSince(position),
            applyRecords: (position, batch) => this.subscriptions.applyOperatorRecords(position, batch),
        });
    }

    private createForwarder(): Forwarder {
        const { settings, timers, random, logger, adapter, transport, peerKey, processor } = this.options;
        return Forwarder.create({
            timers,
            logger,
            codec: adapter.headerCodec,
            transport,
            work: processor.work,
            relayPace: RelayPace.create(timers, processor),
            placement: this.placement,
            versions: this.rollouts,
            regions: RequestRegions.create(this.activeConfiguration),
            quarantine: this.quarantine,
            peers: PeerSelector.create({
                timers,
                random,
                region: settings.region,
                regions: this.regions,
                listPeers: () => this.listRequestPeers(),
            }),
            identity: { vm: settings.name, peerKey },
            retryBudget: SharedRetryBudget.create({
                timers,
                getLimits: () => ({
                    ratio: this.bounds.repeatRatio,
                    extra: this.bounds.repeatExtra,
                    windowMs: this.bounds.repeatWindowS * MS_PER_S,
                }),
                countVms: () => this.membership.vmCount.count,
            }),
        });
    }

    private createClients(): ClientResources {
        const { settings } = this.options;
        const { clients, memoryMb, mostDescriptors } = settings;
        return ClientResources.create({
            ...this.options,
            work: this.options.processor.work,
            settings: clients,
            memoryMb,
            maxConnections: Math.floor(mostDescriptors * CONNECTION_DESCRIPTOR_SHARE),
            maxOperatorConnections: Math.min(
                MAX_OPERATOR_CONNECTIONS,
                Math.max(MIN_OPERATOR_CONNECTIONS, Math.floor(mostDescriptors * OPERATOR_DESCRIPTOR_SHARE)),
            ),
        });
    }

    private createFrontServer(address: string, peerKey: string | undefined): FrontServer {
        const { settings, timers, random, logger, metrics, adapter, processor } = this.options;
        const { memoryMb, mostDescriptors } = settings;
        const [host = "", port = "0"] = address.split(":");
        return FrontServer.create({
            timers,
            random,
            logger,
            metrics,
            codec: adapter.headerCodec,
            activeConfiguration: this.activeConfiguration,
            clients: this.clients,
            processor,
            getLongestWaitMs: (service, rank) => this.placement.getLongestWaitMs(service, rank),
            forwarder: this.forwarder,
            quotaLimiter: this.quotaLimiter,
            host,
            port: Number(port),
            maxOpenRequests: Math.floor(
                Math.min(mostDescriptors / DESCRIPTORS_PER_REQUEST, memoryMb / 2 / MEMORY_PER_REQUEST_MB),
            ),
            admission: AdmissionCheck.create({
                activeConfiguration: this.activeConfiguration,
                timers,
                getAgeLimits: () => computeAgeLimits(this.bounds),
                refreshConfiguration: () => this.subscriptions.refreshOperatorRecords(),
            }),
            peerKey,
            canTakePassedOn: ({ route, workspace }) =>
                this.regions.isAllowed(settings.dataCentre, computeAllowedRegions(route, workspace)),
        });
    }
}
