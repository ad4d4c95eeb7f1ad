/**
 * Decides which VMs are live by SWIM-style gossip. The platform's list, which lags, names the candidates. Every VM
 * exchanges digests with a few random members in each round; a member that doesn't respond is suspected, the suspicion
 * spreads with the digests, and a live VM denies it in time. Nothing here needs agreement: a wrong view costs a detour,
 * never correctness.
 */
import { create } from "@bufbuild/protobuf";
import {
    type CarriedReport,
    type InstanceListState,
    type MemberDigest,
    MemberDigestSchema,
    type MemberState,
    MemberStateSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { chooseByRendezvous } from "../hashing/index.js";
import type { EventLogger } from "../logging/index.js";
import { decodePosition, encodePosition, type GossipTransport } from "../peers/index.js";
import type { VmList, VmListCopies, VmListEntry } from "../platform/index.js";
import { measureWork, type WorkMeter } from "../processor/index.js";
import type { RandomSource } from "../random/index.js";
import type { TopicPosition } from "../store/index.js";
import { type CancelTimer, ClockReading, type TimerService } from "../time/index.js";
import { GossipPartners } from "./gossip-partners.js";
import { isNewerState, MemberTable, resolveEntry } from "./member-table.js";
import { findStoreReader, type StoreReadingRole } from "./store-readers.js";
import { VmListCopier } from "./vm-list-copier.js";

/** Load reports that VMs send with their digests. */
export abstract class ReportGossip {
    /** Returns this VM's report and those that should be forwarded to a VM which has just sent some. */
    abstract createReports(incarnation: bigint, received: readonly CarriedReport[]): readonly CarriedReport[];

    /** Applies received reports. */
    abstract applyReports(reports: readonly CarriedReport[]): void;
}

/** Confirmations of the configuration, which VMs pass on so that not each of them depends on its own way to the store. */
export abstract class ConfigurationFreshness {
    /** Time since this VM's configuration was last known to be the newest, in milliseconds; infinite if it never was. */
    abstract getAgeMs(): number;

    /** Records that some VM has a version. */
    abstract recordVersion(version: number): void;

    /** Records that a version was the newest at the time of a reading. */
    abstract confirm(version: number, reading: ClockReading): void;

    /** Position up to which this VM has read the operators' records; undefined before it has read any. */
    abstract getPosition(): TopicPosition | undefined;

    /** Records that another VM has read the operators' records up to a position. */
    abstract recordPosition(vm: string, position: TopicPosition): void;
}

/** Copies of the store's list of instances, which VMs pass on so that not each of them reads the store. */
export abstract class InstanceListGossip {
    /** Returns the state of this VM's copy, with the records that a requester's copy lacks; undefined before the first read. */
    abstract createState(requester: InstanceListState | undefined): InstanceListState | undefined;

    /** Applies the state of another VM's copy, which was asked for at a reading. */
    abstract applyState(state: InstanceListState, askedAt: ClockReading): void;
}

/** Evidence about endpoints and requests that VMs send with their digests. */
export type Evidence = Pick<MemberDigest, "promptBlocks" | "instanceLimits" | "liveInstances">;

/** Source and receiver of the evidence. */
export abstract class EvidenceGossip {
    /** Returns what the other VMs should know. */
    abstract createEvidence(): Evidence;

    /** Applies received evidence; `askedAt` is the monotonic time of asking for it, undefined if it came unasked. */
    abstract applyEvidence(evidence: Evidence, askedAt: number | undefined): void;
}

/** Options of the service. */
export interface MembershipOptions {
    readonly self: VmListEntry;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly vmList: VmList;
    /** Copies of the list for the time when it can't be read; none when absent. */
    readonly copies?: VmListCopies;
    readonly transport: GossipTransport;
    readonly work?: WorkMeter;
    /** Reports sent with the digests; none when absent. */
    readonly reports?: ReportGossip;
    /** Confirmations of the configuration sent with the digests; none when absent. */
    readonly freshness?: ConfigurationFreshness;
    /** Copies of the list of instances sent with the digests; none when absent. */
    readonly instanceList?: InstanceListGossip;
    /** Evidence sent with the digests; none when absent. */
    readonly evidence?: EvidenceGossip;
    /** Interval between gossip rounds. */
    readonly heartbeatMs: number;
    /** Time within which a suspected VM can deny the suspicion. */
    readonly peerTimeoutMs: number;
    /** Interval at which the list of VMs is read. */
    readonly vmListPollMs: number;
    /** Returns the version of the active configuration of this VM. */
    readonly getConfigurationVersion: () => number;
}

/** Known state of one VM. */
export interface Member {
    readonly entry: VmListEntry;
    readonly incarnation: bigint;
    /** Version of the active configuration of that VM; -1 for none. */
    readonly configuration: number;
    /** True when it refuses requests that were admitted by a newer configuration than its own. */
    readonly comparesConfigurations: boolean;
    readonly isLeaving: boolean;
    readonly isLive: boolean;
}

/** Preferred location of an owner. */
export interface OwnerLocation {
    readonly dataCentre: string;
    readonly region: string;
}

/** How much a VM knows of the number of VMs. */
export interface VmCount {
    /** VMs among which limits over all VMs are divided, this one included. */
    readonly count: number;
    /** False while the count is assumed, until the list of VMs, a copy of it or another VM has named it. */
    readonly isKnown: boolean;
}

/**
 * Number of VMs that is assumed while it is unknown. A VM that takes itself for the only one would use whole limits, and so would
 * each of the others.
 */
const ASSUMED_VM_COUNT = 400;

/** Time after which a copy is read beside the list, whose read may fail late, in milliseconds. */
const COPY_DELAY_MS = 150;

/** Delay before a failed registration is repeated, in milliseconds; up to twice as long at random. */
const REGISTRATION_RETRY_MS = 1_000;

/** Delay before the list is read again while it has never been read, in milliseconds; up to twice as long at random. */
const LIST_RETRY_MS = 400;

/** Members called in each gossip round. */
const GOSSIP_FANOUT = 2;

/** Age from which a confirmation of the configuration is of no use to any VM. */
const MAX_CONFIGURATION_AGE_MS = 60_000;

/** Maximum number of changes in one digest; bounds its size to about 700 bytes. */
const MAX_DIGEST_CHANGES = 24;

/** Membership as seen by one VM. */
export class MembershipService {
    private readonly table: MemberTable;
    private readonly partners: GossipPartners;
    private readonly listeners: (() => void)[] = [];
    private readonly cancelTimers: CancelTimer[] = [];
    private readonly incarnation: bigint;
    private self: MemberState;
    private leavingEndpoints: ReadonlySet<string> = new Set();
    private starting: Promise<void> | undefined;
    private isRegistered = false;
    /** Where the VMs were read from. */
    private listSource: "none" | "copy" | "list" = "none";
    /** Largest number of VMs that another VM has named; 0 for none. */
    private countOfPeers = 0;
    private readonly copier: VmListCopier | undefined;
    private isReadingList = false;
    private cancelListRetry: CancelTimer = () => undefined;
    /** The newest registration, which may be under way. */
    private registering: Promise<unknown> = Promise.resolve();
    private liveNames = "";
    /** Derived from the live members; cleared whenever they change. */
    private liveCache: readonly VmListEntry[] | undefined;
    private storeReaderCache: { readonly reader: VmListEntry | undefined; } | undefined;
    private readonly ownerCache = new Map<string, VmListEntry>();
    private readonly abortController = new AbortController();

    private constructor(private readonly options: MembershipOptions) {
        this.incarnation = BigInt(Math.floor(options.timers.readWallClock()));
        const { name, peerUrl } = options.self;
        this.self = create(MemberStateSchema, {
            name,
            peerUrl,
            incarnation: this.incarnation,
            comparesConfigurations: true,
        });
        this.table = MemberTable.create(options.peerTimeoutMs);
        const { copies } = options;
        this.copier = copies === undefined
            ? undefined
            : VmListCopier.create({ ...options, copies, listLive: () => this.listLive() });
        this.partners = GossipPartners.create({
            ...options,
            onDropped: peer => {
                if (peer.name !== this.findStoreReader()?.name) {
                    options.transport.releasePeer(peer);
                }
            },
        });
    }

    /** Creates a service that knows only this VM. */
    static create(options: MembershipOptions): MembershipService {
        return new MembershipService(options);
    }

    /**
     * Registers this VM and starts to gossip; resolves when the platform's list has been read, or could not be. Further calls
     * have no effect.
     */
    start(): Promise<void> {
        this.starting ??= this.startOnce();
        return this.starting;
    }

    private async startOnce(): Promise<void> {
        const { timers, heartbeatMs, vmListPollMs } = this.options;
        if (this.abortController.signal.aborted) {
            return;
        }
        this.cancelTimers.push(
            timers.scheduleRepeating(heartbeatMs, () => this.gossipRegularly()),
            timers.scheduleRepeating(vmListPollMs, () => void this.readVmList()),
        );
        void this.registerSelf();
        this.copier?.start();
        await this.readList();
        this.gossipWithMembers(GOSSIP_FANOUT);
    }

    /** Announces that this VM is leaving; from then on it owns no keys while another VM is live. */
    async announceLeaving(): Promise<void> {
        this.updateSelf({ leaving: true });
        this.notifyIfChanged();
        this.gossipWithMembers(GOSSIP_FANOUT);
        // Written after an entry that is under way, which would otherwise outlive this VM.
        await this.registering;
        const outcome = await this.options.vmList.register({ ...this.options.self, state: "leaving" });
        if (outcome.isErr()) {
            this.options.logger.writeError(outcome.error);
        }
    }

    /** Stops the timers. */
    stop(): void {
        this.abortController.abort();
        this.copier?.stop();
        this.cancelListRetry();
        this.cancelTimers.forEach(cancel => cancel());
    }

    /**
     * Calls the listener when the set of live members has changed, and after each read of the platform's list, which may
     * have changed the leaving endpoints.
     */
    subscribe(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Returns the VMs that are live and not leaving, including this one unless it is leaving. */
    listLive(): readonly VmListEntry[] {
        if (this.liveCache === undefined) {
            const now = this.options.timers.now();
            const others = this.table.list()
                .filter(record => this.table.isLive(record, now) && !record.state.leaving)
                .flatMap(record => resolveEntry(record) ?? []);
            this.liveCache = this.self.leaving ? others : [this.options.self, ...others];
        }
        return this.liveCache;
    }

    /** Returns all known VMs, this one first. */
    listMembers(): readonly Member[] {
        const now = this.options.timers.now();
        const self: Member = {
            entry: this.options.self,
            incarnation: this.incarnation,
            configuration: this.options.getConfigurationVersion(),
            comparesConfigurations: true,
            isLeaving: this.self.leaving,
            isLive: true,
        };
        const others = this.table.list().flatMap(record => {
            const entry = resolveEntry(record);
            return entry === undefined ? [] : [{
                entry,
                incarnation: record.state.incarnation,
                configuration: record.state.configuration - 1,
                comparesConfigurations: record.state.comparesConfigurations,
                isLeaving: record.state.leaving,
                isLive: this.table.isLive(record, now),
            }];
        });
        return [self, ...others];
    }

    /**
     * Number of all listed VMs, including this one; before the list has been read, of those that gossip names. Gossip may name
     * VMs that are gone, and not all that there are: limits over all VMs are divided by `vmCount`.
     */
    get memberCount(): number {
        return (this.listSource === "list" ? this.table.listedCount : this.table.size) + 1;
    }

    /** Number of VMs among which limits over all VMs are divided. */
    get vmCount(): VmCount {
        const count = this.listSource === "list"
            ? this.memberCount
            : Math.max(this.memberCount, this.countOfPeers);
        const isKnown = this.listSource !== "none" || this.countOfPeers > 0;
        return { count: isKnown ? count : Math.max(count, ASSUMED_VM_COUNT), isKnown };
    }

    /** True once the platform's list or a copy of it has been read. */
    get hasReadList(): boolean {
        return this.listSource !== "none";
    }

    /** Reads the list, or a copy while the list can't be read; resolves when it has been read, or could not be. */
    async readList(): Promise<void> {
        const limit = new AbortController();
        const reading = this.readVmList().finally(() => limit.abort());
        await Promise.race([reading, this.options.timers.sleep(COPY_DELAY_MS, limit.signal)]);
        if (!this.hasReadList) {
            await this.readCopy();
        }
    }

    /** True once another VM has sent a message to this one. */
    get hasContact(): boolean {
        return this.table.list().some(({ lastContactAt }) => Number.isFinite(lastContactAt));
    }

    /** Returns the names of all known VMs, dead ones and those that only gossip names included, this one first. */
    listKnownNames(): readonly string[] {
        return [this.options.self.name, ...this.table.list().map(({ state }) => state.name)];
    }

    /** True when the VM is live in the given incarnation as far as is known. */
    isIncarnationLive(name: string, incarnation: bigint): boolean {
        return this.listMembers().some(member =>
            member.entry.name === name && member.isLive && member.incarnation === incarnation
        );
    }

    /** Start time of this VM in milliseconds since 1970, which distinguishes it from its predecessors. */
    get selfIncarnation(): bigint {
        return this.incarnation;
    }

    /**
     * Returns the VM that owns a key by rendezvous hashing over the live VMs of the data centre, else of the region,
     * else over all live VMs. A VM that is leaving and knows no other stays the owner until it stops.
     */
    findOwner(key: string, location: OwnerLocation): VmListEntry {
        const known = this.ownerCache.get(key) ?? this.chooseOwner(key, location);
        this.ownerCache.set(key, known);
        return known;
    }

    /** True when the platform lists the endpoint as leaving. */
    isEndpointLeaving(name: string): boolean {
        return this.leavingEndpoints.has(name);
    }

    /**
     * Records that a call to a VM that started at `startedAt` (monotonic, in milliseconds) failed. This VM considers it
     * dead until a message is received directly from it.
     */
    suspect(peer: VmListEntry, startedAt: number): void {
        this.table.suspect(peer, startedAt, this.options.timers.now());
        this.notifyIfChanged();
    }

    /** Merges a peer's digest and returns this VM's. */
    handleDigest(digest: MemberDigest): MemberDigest {
        return measureWork(this.options.work, "gossip", () => {
            this.merge(digest, undefined);
            return this.createDigest(digest);
        });
    }

    /** Whether this VM reads the store for others, follows one that does, or reads for itself alone. */
    get storeReadingRole(): StoreReadingRole {
        const reader = this.findStoreReader();
        if (reader === undefined) {
            return "independent";
        }
        return reader.name === this.options.self.name ? "reader" : "follower";
    }

    private findStoreReader(): VmListEntry | undefined {
        this.storeReaderCache ??= { reader: findStoreReader(this.options.self, this.listLive()) };
        return this.storeReaderCache.reader;
    }

    /** Exchanges digests with the VM that reads the store for this one, if any, and with random partners. */
    private gossipRegularly(): void {
        const reader = this.findStoreReader();
        if (reader === undefined || reader.name === this.options.self.name) {
            this.gossipWithMembers(GOSSIP_FANOUT);
            return;
        }
        this.gossipWithMembers(GOSSIP_FANOUT - 1);
        void this.gossipWithMember(reader);
    }

    private chooseOwner(key: string, location: OwnerLocation): VmListEntry {
        const live = this.listLive();
        const inDataCentre = live.filter(vm => vm.dataCentre === location.dataCentre);
        const inRegion = live.filter(vm => vm.region === location.region);
        const candidates = [inDataCentre, inRegion, live].find(list => list.length > 0) ?? [];
        return chooseByRendezvous(key, candidates, vm => vm.name) ?? this.options.self;
    }

    /**
     * Exchanges digests with `count` random partners; also called between rounds, for example when this VM's load
     * matters to others.
     */
    gossipWithMembers(count: number): void {
        this.updateConfiguration();
        this.notifyIfChanged();
        this.partners.pick(this.table.list(), count).forEach(peer => void this.gossipWithMember(peer));
    }

    private async gossipWithMember(peer: VmListEntry): Promise<void> {
        const startedAt = ClockReading.create(this.options.timers);
        const { transport, work } = this.options;
        const digest = measureWork(work, "gossip", () => this.createDigest());
        const response = await transport.exchangeDigests(peer, digest);
        if (response.isOk()) {
            measureWork(work, "gossip", () => this.applyResponse(response.value, startedAt));
        }
        else {
            this.suspect(peer, startedAt.monotonicMs);
        }
    }

    private applyResponse(digest: MemberDigest, askedAt: ClockReading): void {
        this.merge(digest, askedAt.monotonicMs);
        this.confirmConfiguration(digest, askedAt);
        if (digest.instanceList !== undefined) {
            this.options.instanceList?.applyState(digest.instanceList, askedAt);
        }
    }

    /**
     * Applies the peer's confirmation. The peer stated the age after `startedAt`, so counting it from there never
     * underestimates the age; a digest that the peer sent by itself may have been on its way for any time.
     */
    private confirmConfiguration(digest: MemberDigest, startedAt: ClockReading): void {
        const state = digest.members.find(({ name }) => name === digest.sender);
        if (state !== undefined && state.configuration > 0 && digest.configurationAgeMs > 0) {
            const reading = startedAt.createEarlier(digest.configurationAgeMs - 1);
            this.options.freshness?.confirm(state.configuration - 1, reading);
        }
    }

    /** Creates a digest; one that answers another carries what the other VM lacks. */
    private createDigest(request?: MemberDigest): MemberDigest {
        this.updateConfiguration();
        const ageMs = Math.ceil(this.options.freshness?.getAgeMs() ?? Number.POSITIVE_INFINITY);
        const instanceList = this.options.instanceList?.createState(request?.instanceList);
        const operatorPosition = this.options.freshness?.getPosition();
        return create(MemberDigestSchema, {
            ...(operatorPosition === undefined ? {} : { operatorPosition: encodePosition(operatorPosition) }),
            ...(instanceList === undefined ? {} : { instanceList }),
            configurationAgeMs: ageMs < MAX_CONFIGURATION_AGE_MS ? ageMs + 1 : 0,
            vmCount: this.vmCount.isKnown ? this.vmCount.count : 0,
            sender: this.options.self.name,
            members: [this.self, ...this.table.consumeChanges(MAX_DIGEST_CHANGES)],
            reports: [...this.options.reports?.createReports(this.incarnation, request?.reports ?? []) ?? []],
            ...this.options.evidence?.createEvidence(),
        });
    }

    private updateConfiguration(): void {
        const configuration = this.options.getConfigurationVersion() + 1;
        if (configuration !== this.self.configuration) {
            this.updateSelf({ configuration });
        }
    }

    private updateSelf(change: Partial<Pick<MemberState, "configuration" | "leaving">>): void {
        this.self = create(MemberStateSchema, { ...this.self, ...change, revision: this.self.revision + 1 });
    }

    /** Merges a digest; `askedAt` is the monotonic time of asking for it, undefined if it came unasked. */
    private merge(digest: MemberDigest, askedAt: number | undefined): void {
        const now = this.options.timers.now();
        for (const state of digest.members) {
            if (state.name !== this.options.self.name) {
                this.table.merge(state, now);
                this.options.freshness?.recordVersion(state.configuration - 1);
            }
            else if (isNewerState(state, this.self) && state.incarnation === this.incarnation) {
                // Another VM suspects this one: a higher revision denies it.
                this.self = create(MemberStateSchema, { ...this.self, revision: state.revision + 1 });
            }
        }
        this.table.recordContact(digest.sender, now);
        this.countOfPeers = Math.max(this.countOfPeers, digest.vmCount);
        if (digest.operatorPosition !== undefined) {
            this.options.freshness?.recordPosition(digest.sender, decodePosition(digest.operatorPosition));
        }
        this.options.reports?.applyReports(digest.reports);
        this.options.evidence?.applyEvidence(digest, askedAt);
        this.notifyIfChanged();
    }

    /** Repeats the registration until the platform accepts it: no VM calls one that isn't listed. */
    private async registerSelf(): Promise<void> {
        const { timers, random, logger, vmList, self } = this.options;
        const { signal } = this.abortController;
        this.isRegistered = false;
        while (!signal.aborted && !this.self.leaving) {
            const registering = vmList.register(self);
            this.registering = registering;
            const outcome = await registering;
            if (outcome.isOk()) {
                this.isRegistered = true;
                return;
            }
            logger.writeError(outcome.error);
            await timers.sleep(REGISTRATION_RETRY_MS * (1 + random.pickFraction()), signal);
        }
    }

    private async readVmList(): Promise<void> {
        if (this.isReadingList) {
            // A response that is older than the next one might be applied after it.
            return;
        }
        this.isReadingList = true;
        const listing = await this.options.vmList.read();
        this.isReadingList = false;
        if (listing.isErr()) {
            // The last known list stays in use.
            this.options.logger.writeError(listing.error);
            this.retryFirstList();
            return;
        }
        this.listSource = "list";
        this.countOfPeers = 0;
        this.leavingEndpoints = new Set(
            listing.value.endpoints.filter(endpoint => endpoint.state === "leaving").map(endpoint =>
                endpoint.name
            ),
        );
        const others = listing.value.vms.filter(vm => vm.name !== this.options.self.name);
        if (this.isRegistered && others.length === listing.value.vms.length) {
            // The platform lost the registration, for example since it was restored from a copy.
            void this.registerSelf();
        }
        this.table.applyList(others, this.options.timers.now());
        this.notify();
    }

    /** Reads a copy of the list and applies it, unless the list itself is read meanwhile. */
    private async readCopy(): Promise<void> {
        const vms = await this.options.copies?.read();
        if (vms !== undefined && !this.hasReadList) {
            this.listSource = "copy";
            this.options.logger.write("VmListCopyRead", { vms: vms.length });
            this.table.applyList(
                vms.filter(({ name }) => name !== this.options.self.name),
                this.options.timers.now(),
            );
            this.notify();
        }
    }

    /** Reads the list again soon while it has never been read: until then, this VM calls no other one. */
    private retryFirstList(): void {
        const { timers, random } = this.options;
        if (this.listSource !== "list" && !this.abortController.signal.aborted) {
            this.cancelListRetry();
            this.cancelListRetry = timers.schedule(
                LIST_RETRY_MS * (1 + random.pickFraction()),
                () => void this.readList(),
            );
        }
    }

    /**
     * Notifies listeners if the live members have changed; a suspicion may also have become final through time alone.
     */
    private notifyIfChanged(): void {
        const before = this.liveNames;
        this.liveCache = undefined;
        this.liveNames = this.listLive().map(vm => vm.name).sort().join(" ");
        if (this.liveNames !== before) {
            this.writeLivenessEvents(before.split(" "), this.liveNames.split(" "));
            this.notify();
        }
    }

    private writeLivenessEvents(before: readonly string[], after: readonly string[]): void {
        const { logger } = this.options;
        after.filter(vm => vm !== "" && !before.includes(vm)).forEach(vm =>
            logger.write("MemberLive", { vm })
        );
        before.filter(vm => vm !== "" && !after.includes(vm)).forEach(vm =>
            logger.write("MemberDead", { vm })
        );
    }

    private notify(): void {
        this.liveCache = undefined;
        this.storeReaderCache = undefined;
        this.ownerCache.clear();
        this.listeners.forEach(listener => listener());
    }
}
