/**
 * Knows which VMs are live. The platform's lagging list names the candidates. Every VM calls a few random members in
 * each round; one that does not answer is suspected, which spreads with the calls, and a live VM denies it in time.
 * Nothing here needs agreement: a wrong view costs a detour, not a promise.
 */
import { create } from "@bufbuild/protobuf";
import {
    type CarriedReport,
    type MemberDigest,
    MemberDigestSchema,
    type MemberState,
    MemberStateSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { chooseByRendezvous } from "../hashing/index.js";
import type { EventLogger } from "../logging/index.js";
import type { GossipTransport } from "../peers/index.js";
import type { VmList, VmListEntry } from "../platform/index.js";
import type { RandomSource } from "../random/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";
import { isNewerState, MemberTable, resolveEntry } from "./member-table.js";

/** Reports of load that VMs pass on with their calls. */
export abstract class ReportGossip {
    /** This VM's report and those of others that are worth passing on. */
    abstract createReports(incarnation: bigint): readonly CarriedReport[];

    /** Takes reports over. */
    abstract applyReports(reports: readonly CarriedReport[]): void;
}

/** What the service is built from. */
export interface MembershipOptions {
    readonly self: VmListEntry;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly vmList: VmList;
    readonly transport: GossipTransport;
    /** Reports that travel with the calls; none when absent. */
    readonly reports?: ReportGossip;
    /** Interval of the rounds of calls, in milliseconds. */
    readonly heartbeatMs: number;
    /** Time in which a suspected VM can deny it, in milliseconds. */
    readonly peerTimeoutMs: number;
    /** Interval of reading the list of VMs, in milliseconds. */
    readonly vmListPollMs: number;
    /** Version of the configuration in force on this VM. */
    readonly getConfigurationVersion: () => number;
}

/** What is known of one VM. */
export interface Member {
    readonly entry: VmListEntry;
    readonly incarnation: bigint;
    /** Version of the configuration in force there; -1 for none. */
    readonly configuration: number;
    readonly isLeaving: boolean;
    readonly isLive: boolean;
}

/** Where an owner should stand. */
export interface OwnerLocation {
    readonly dataCentre: string;
    readonly region: string;
}

/** Members called in each round. */
const CALLS_PER_ROUND = 2;

/** Most changes in one digest; bounds its size to about 700 bytes. */
const DIGEST_CHANGES = 24;

/** View of the members on one VM. */
export class MembershipService {
    private readonly table: MemberTable;
    private readonly listeners: (() => void)[] = [];
    private readonly cancels: CancelTimer[] = [];
    private readonly incarnation: bigint;
    private self: MemberState;
    private leavingEndpoints: ReadonlySet<string> = new Set();
    private liveNames = "";
    /** Derived from the live members; emptied whenever they change. */
    private liveCache: readonly VmListEntry[] | undefined;
    private readonly ownerCache = new Map<string, VmListEntry>();

    private constructor(private readonly options: MembershipOptions) {
        this.incarnation = BigInt(Math.floor(options.timers.readWallClock()));
        const { name, peerUrl } = options.self;
        this.self = create(MemberStateSchema, { name, peerUrl, incarnation: this.incarnation });
        this.table = MemberTable.create(options.peerTimeoutMs);
    }

    /** Creates a view that knows only this VM. */
    static create(options: MembershipOptions): MembershipService {
        return new MembershipService(options);
    }

    /** Registers this VM and begins to call members. */
    async start(): Promise<void> {
        const { timers, heartbeatMs, vmListPollMs, vmList, self } = this.options;
        this.cancels.push(
            timers.scheduleRepeating(heartbeatMs, () => this.gossipWithMembers(CALLS_PER_ROUND)),
            timers.scheduleRepeating(vmListPollMs, () => void this.readVmList()),
        );
        await vmList.register(self);
        await this.readVmList();
        this.gossipWithMembers(CALLS_PER_ROUND);
    }

    /** Tells everyone that this VM is leaving; it gets no groups from then on. */
    async announceLeaving(): Promise<void> {
        this.updateSelf({ leaving: true });
        this.notifyIfChanged();
        this.gossipWithMembers(CALLS_PER_ROUND);
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

    /** All known VMs, this one first. */
    listMembers(): readonly Member[] {
        const now = this.options.timers.now();
        const self: Member = {
            entry: this.options.self,
            incarnation: this.incarnation,
            configuration: this.options.getConfigurationVersion(),
            isLeaving: this.self.leaving,
            isLive: true,
        };
        const others = this.table.list().flatMap(record => {
            const entry = resolveEntry(record);
            return entry === undefined ? [] : [{
                entry,
                incarnation: record.state.incarnation,
                configuration: record.state.configuration - 1,
                isLeaving: record.state.leaving,
                isLive: this.table.isLive(record, now),
            }];
        });
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
     * A VM that is leaving and knows no other stays the owner until it ends.
     */
    findOwner(key: string, place: OwnerLocation): VmListEntry {
        const known = this.ownerCache.get(key) ?? this.pickOwner(key, place);
        this.ownerCache.set(key, known);
        return known;
    }

    /** True when the endpoint stands on the platform's list of leaving VMs. */
    isEndpointLeaving(name: string): boolean {
        return this.leavingEndpoints.has(name);
    }

    /**
     * Notes that a call to a VM failed which began at `startedAt` (monotonic, in milliseconds). The VM counts as dead
     * here until it is heard from directly.
     */
    suspect(peer: VmListEntry, startedAt: number): void {
        this.table.suspect(peer, startedAt, this.options.timers.now());
        this.notifyIfChanged();
    }

    /** Merges a peer's digest and answers with this VM's. */
    handleDigest(digest: MemberDigest): MemberDigest {
        this.merge(digest);
        return this.createDigest();
    }

    private pickOwner(key: string, place: OwnerLocation): VmListEntry {
        const live = this.listLive();
        const near = live.filter(vm => vm.dataCentre === place.dataCentre);
        const regional = live.filter(vm => vm.region === place.region);
        const candidates = [near, regional, live].find(list => list.length > 0) ?? [];
        return chooseByRendezvous(key, candidates, vm => vm.name) ?? this.options.self;
    }

    /** Calls `count` random members, for example because this VM's load matters to them right now. */
    gossipWithMembers(count: number): void {
        this.updateConfiguration();
        this.notifyIfChanged();
        const candidates = this.table.list().flatMap(record => resolveEntry(record) ?? []);
        for (let call = 0; call < count && candidates.length > 0; call += 1) {
            const [peer] = candidates.splice(this.options.random.pickInteger(candidates.length), 1);
            if (peer !== undefined) {
                void this.callMember(peer);
            }
        }
    }

    private async callMember(peer: VmListEntry): Promise<void> {
        const startedAt = this.options.timers.now();
        const answer = await this.options.transport.exchangeDigests(peer, this.createDigest());
        if (answer.isOk()) {
            this.merge(answer.value);
        }
        else {
            this.suspect(peer, startedAt);
        }
    }

    private createDigest(): MemberDigest {
        this.updateConfiguration();
        return create(MemberDigestSchema, {
            sender: this.options.self.name,
            members: [this.self, ...this.table.consumeChanges(DIGEST_CHANGES)],
            reports: [...this.options.reports?.createReports(this.incarnation) ?? []],
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

    private merge(digest: MemberDigest): void {
        const now = this.options.timers.now();
        for (const state of digest.members) {
            if (state.name !== this.options.self.name) {
                this.table.merge(state, now);
            }
            else if (isNewerState(state, this.self) && state.incarnation === this.incarnation) {
                // Somebody suspects this VM: a higher revision denies it.
                this.self = create(MemberStateSchema, { ...this.self, revision: state.revision + 1 });
            }
        }
        this.table.recordContact(digest.sender, now);
        this.options.reports?.applyReports(digest.reports);
        this.notifyIfChanged();
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
        const others = listing.value.vms.filter(vm => vm.name !== this.options.self.name);
        this.table.applyList(others, this.options.timers.now());
        this.notify();
    }

    /** Compares the live members with the last ones told of; time alone may have made a suspicion final. */
    private notifyIfChanged(): void {
        const before = this.liveNames;
        this.liveCache = undefined;
        this.liveNames = this.listLive().map(vm => vm.name).sort().join(" ");
        if (this.liveNames !== before) {
            this.writeChanges(before.split(" "), this.liveNames.split(" "));
            this.notify();
        }
    }

    private writeChanges(before: readonly string[], after: readonly string[]): void {
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
        this.ownerCache.clear();
        this.listeners.forEach(listener => listener());
    }
}
