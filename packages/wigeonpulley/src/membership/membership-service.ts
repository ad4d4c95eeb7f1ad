/**
 * Knows which VMs are live. The platform's lagging list names the candidates; heartbeats that spread between
 * peers tell which of them are alive. Nothing here needs agreement: a wrong view costs a detour, not a promise.
 */
import { create } from "@bufbuild/protobuf";
import {
    type GroupLoad,
    type MemberDigest,
    MemberDigestSchema,
    type MemberState,
    MemberStateSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { pickByRendezvous } from "../hashing/index.js";
import type { EventLogger } from "../logging/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { VmEntry, VmList } from "../platform/index.js";
import type { RandomSource } from "../random/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";

/** What the service is built from. */
export interface MembershipOptions {
    readonly self: VmEntry;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly vmList: VmList;
    readonly transport: PeerTransport;
    /** Interval of heartbeats, in milliseconds. */
    readonly heartbeatMs: number;
    /** Silence after which a member counts as dead, in milliseconds. */
    readonly peerTimeoutMs: number;
    /** Interval of reading the list of VMs, in milliseconds. */
    readonly vmListPollMs: number;
    /** Version of the configuration in force on this VM. */
    readonly readConfigurationVersion: () => number;
    /** Loads of the groups that this VM schedules. */
    readonly readLoads: () => readonly GroupLoad[];
}

/** What is known of one VM. */
export interface Member {
    readonly entry: VmEntry;
    readonly incarnation: bigint;
    readonly heartbeat: number;
    /** Version of the configuration in force there; -1 for none. */
    readonly configuration: number;
    readonly isLeaving: boolean;
    readonly isLive: boolean;
}

/** A load with the monotonic time at which it was received. */
export interface ReceivedLoad {
    readonly load: GroupLoad;
    readonly receivedAt: number;
}

interface Record {
    entry: VmEntry | undefined;
    state: MemberState;
    advancedAt: number;
    /** True after a link to the VM failed, until it is heard from directly. */
    isSuspected: boolean;
    wasLive: boolean;
}

/** Members asked in each round of heartbeats. */
const EXCHANGE_FANOUT = 2;

/** Most members described in one digest; bounds its size to about 700 bytes. */
const DIGEST_MEMBERS = 24;

const isNewer = (left: MemberState, right: MemberState): boolean =>
    left.incarnation > right.incarnation
    || (left.incarnation === right.incarnation && left.heartbeat > right.heartbeat);

/** View of the members on one VM. */
export class MembershipService {
    private readonly records = new Map<string, Record>();
    private readonly loads = new Map<string, ReceivedLoad>();
    private readonly listeners: (() => void)[] = [];
    private readonly cancels: CancelTimer[] = [];
    private readonly incarnation: bigint;
    private heartbeat = 0;
    private isLeaving = false;
    private leavingEndpoints: ReadonlySet<string> = new Set();
    /** Derived from the live members; emptied whenever they change. */
    private liveCache: readonly VmEntry[] | undefined;
    private readonly ownerCache = new Map<string, VmEntry | undefined>();

    private constructor(private readonly options: MembershipOptions) {
        this.incarnation = BigInt(Math.floor(options.timers.readWallClock()));
    }

    /** Creates a view that knows only this VM. */
    static create(options: MembershipOptions): MembershipService {
        return new MembershipService(options);
    }

    /** Registers this VM and begins to exchange heartbeats. */
    async start(): Promise<void> {
        const { timers, heartbeatMs, vmListPollMs } = this.options;
        this.cancels.push(
            timers.subscribe(heartbeatMs, () => this.beat()),
            timers.subscribe(vmListPollMs, () => void this.readVmList()),
        );
        await this.options.vmList.register(this.options.self);
        await this.readVmList();
        this.beat();
    }

    /** Tells everyone that this VM is leaving; it gets no groups from then on. */
    async announceLeaving(): Promise<void> {
        this.isLeaving = true;
        this.notify();
        this.beat();
        await this.options.vmList.register({ ...this.options.self, state: "leaving" });
    }

    /** Ends the timers. */
    stop(): void {
        this.cancels.forEach(cancel => cancel());
    }

    /** Calls back whenever the set of live members or of leaving endpoints changed. */
    subscribe(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** VMs that are live and not leaving, this one included unless it is leaving. */
    listLive(): readonly VmEntry[] {
        this.liveCache ??= [
            ...(this.isLeaving ? [] : [this.options.self]),
            ...[...this.records.values()].flatMap(record =>
                record.entry !== undefined && this.isLive(record) && !record.state.leaving
                    ? [record.entry]
                    : []
            ),
        ];
        return this.liveCache;
    }

    /** All known VMs, this one first. */
    listMembers(): readonly Member[] {
        const self: Member = {
            entry: this.options.self,
            incarnation: this.incarnation,
            heartbeat: this.heartbeat,
            configuration: this.options.readConfigurationVersion(),
            isLeaving: this.isLeaving,
            isLive: true,
        };
        const others = [...this.records.values()].flatMap(record =>
            record.entry === undefined ? [] : [{
                entry: record.entry,
                incarnation: record.state.incarnation,
                heartbeat: record.state.heartbeat,
                configuration: record.state.configuration - 1,
                isLeaving: record.state.leaving,
                isLive: this.isLive(record),
            }]
        );
        return [self, ...others];
    }

    /** True when the VM runs in the given incarnation as far as is known. */
    isIncarnationLive(name: string, incarnation: bigint): boolean {
        return this.listMembers().some(member =>
            member.entry.name === name && member.isLive && member.incarnation === incarnation
        );
    }

    /** Start time of this VM, which tells it from its predecessors. */
    get selfIncarnation(): bigint {
        return this.incarnation;
    }

    /**
     * The VM that owns a key: picked among the live VMs of the data centre, else of the region, else of all.
     * Undefined only while this VM is leaving and knows no other.
     */
    findOwner(
        key: string,
        place: { readonly dataCentre: string; readonly region: string; },
    ): VmEntry | undefined {
        if (!this.ownerCache.has(key)) {
            this.ownerCache.set(key, this.pickOwner(key, place));
        }
        return this.ownerCache.get(key);
    }

    /** True when the endpoint stands on the platform's list of leaving VMs. */
    isEndpointLeaving(name: string): boolean {
        return this.leavingEndpoints.has(name);
    }

    /** The latest load received for a group. */
    findLoad(group: string): ReceivedLoad | undefined {
        return this.loads.get(group);
    }

    /** Notes that a link to a VM failed; it counts as dead until it is heard from directly. */
    suspect(name: string): void {
        const record = this.records.get(name);
        if (record !== undefined && !record.isSuspected) {
            record.isSuspected = true;
            this.notifyIfChanged();
        }
    }

    /** Merges a peer's digest and answers with this VM's. */
    receiveDigest(digest: MemberDigest): MemberDigest {
        this.merge(digest);
        return this.createDigest();
    }

    private pickOwner(
        key: string,
        place: { readonly dataCentre: string; readonly region: string; },
    ): VmEntry | undefined {
        const live = this.listLive();
        const near = live.filter(vm => vm.dataCentre === place.dataCentre);
        const regional = live.filter(vm => vm.region === place.region);
        const candidates = [near, regional, live].find(list => list.length > 0) ?? [];
        return pickByRendezvous(key, candidates, vm => vm.name);
    }

    private beat(): void {
        this.heartbeat += 1;
        this.notifyIfChanged();
        const candidates = [...this.records.values()].flatMap(record => record.entry ?? []);
        for (let count = 0; count < EXCHANGE_FANOUT && candidates.length > 0; count += 1) {
            const [peer] = candidates.splice(this.options.random.pickInteger(candidates.length), 1);
            if (peer !== undefined) {
                void this.exchangeWith(peer);
            }
        }
    }

    private async exchangeWith(peer: VmEntry): Promise<void> {
        const answer = await this.options.transport.exchange(peer, this.createDigest());
        if (answer.isOk()) {
            this.merge(answer.value);
        }
    }

    private createDigest(): MemberDigest {
        const self = create(MemberStateSchema, {
            name: this.options.self.name,
            incarnation: this.incarnation,
            heartbeat: this.heartbeat,
            configuration: this.options.readConfigurationVersion() + 1,
            leaving: this.isLeaving,
        });
        const fresh = [...this.records.values()]
            .filter(record => record.state.heartbeat > 0)
            .sort((left, right) => right.advancedAt - left.advancedAt)
            .slice(0, DIGEST_MEMBERS - 1)
            .map(record => record.state);
        return create(MemberDigestSchema, {
            sender: this.options.self.name,
            members: [self, ...fresh],
            loads: [...this.options.readLoads()],
        });
    }

    private merge(digest: MemberDigest): void {
        const now = this.options.timers.now();
        for (const state of digest.members) {
            if (state.name !== this.options.self.name) {
                this.mergeState(state, now);
            }
        }
        const sender = this.records.get(digest.sender);
        if (sender !== undefined) {
            sender.isSuspected = false;
        }
        digest.loads.forEach(load => this.loads.set(load.group, { load, receivedAt: now }));
        this.notifyIfChanged();
    }

    private mergeState(state: MemberState, now: number): void {
        const record = this.records.get(state.name);
        if (record === undefined) {
            this.records.set(state.name, {
                entry: undefined,
                state,
                advancedAt: now,
                isSuspected: false,
                wasLive: false,
            });
        }
        else if (isNewer(state, record.state)) {
            record.state = state;
            record.advancedAt = now;
        }
    }

    private async readVmList(): Promise<void> {
        const listing = await this.options.vmList.read();
        if (listing.isErr()) {
            return; // The last known list stays in use.
        }
        this.leavingEndpoints = new Set(
            listing.value.endpoints.filter(endpoint => endpoint.state === "leaving").map(endpoint =>
                endpoint.name
            ),
        );
        const listed = new Set(listing.value.vms.map(vm => vm.name));
        for (const entry of listing.value.vms.filter(vm => vm.name !== this.options.self.name)) {
            const record = this.records.get(entry.name);
            if (record === undefined) {
                const state = create(MemberStateSchema, { name: entry.name });
                this.records.set(entry.name, {
                    entry,
                    state,
                    advancedAt: Number.NEGATIVE_INFINITY,
                    isSuspected: false,
                    wasLive: false,
                });
            }
            else {
                record.entry = entry;
            }
        }
        for (const [name, record] of this.records) {
            if (!listed.has(name) && !this.isLive(record)) {
                this.records.delete(name);
            }
        }
        this.notify();
    }

    private isLive(record: Record): boolean {
        const silence = this.options.timers.now() - record.advancedAt;
        return record.state.heartbeat > 0 && !record.isSuspected && silence < this.options.peerTimeoutMs;
    }

    private notifyIfChanged(): void {
        let hasChanged = false;
        for (const record of this.records.values()) {
            const isLive = record.entry !== undefined && this.isLive(record) && !record.state.leaving;
            if (isLive !== record.wasLive && record.entry !== undefined) {
                record.wasLive = isLive;
                hasChanged = true;
                this.options.logger.write(isLive ? "MemberLive" : "MemberDead", { vm: record.entry.name });
            }
        }
        if (hasChanged) {
            this.notify();
        }
    }

    private notify(): void {
        this.liveCache = undefined;
        this.ownerCache.clear();
        this.listeners.forEach(listener => listener());
    }
}
