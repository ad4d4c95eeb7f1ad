/**
 * Chooses the members that this VM calls: a small set that changes slowly, so that the number of open connections doesn't
 * grow with the number of members. A VM whose calls failed is tried again early.
 */
import type { VmListEntry } from "../platform/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";
import { type MemberRecord, resolveEntry } from "./member-table.js";

/** Dependencies of the choice. */
export interface GossipPartnersOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    /** Called with a member that is no longer called. */
    readonly onDropped: (peer: VmListEntry) => void;
}

/** Members that are called; all of them while there are no more. */
const PARTNER_COUNT = 8;
/** Interval at which one partner is replaced, in milliseconds. */
const ROTATION_INTERVAL_MS = 2_000;

/** Partners of one VM. */
export class GossipPartners {
    /** Names, the longest-serving partner first. */
    private names: readonly string[] = [];
    private rotatedAt: number;

    private constructor(private readonly options: GossipPartnersOptions) {
        this.rotatedAt = options.timers.now();
    }

    /** Creates an empty set of partners. */
    static create(options: GossipPartnersOptions): GossipPartners {
        return new GossipPartners(options);
    }

    /** Picks up to `count` different partners among the members. */
    pick(members: readonly MemberRecord[], count: number): readonly VmListEntry[] {
        const candidates = this.listPartners(members).flatMap(record => resolveEntry(record) ?? []);
        return Array.from(
            { length: Math.min(count, candidates.length) },
            () => candidates.splice(this.options.random.pickInteger(candidates.length), 1),
        )
            .flat();
    }

    private listPartners(members: readonly MemberRecord[]): readonly MemberRecord[] {
        const listed = members.filter(({ entry }) => entry !== undefined);
        if (listed.length <= PARTNER_COUNT) {
            return listed;
        }
        const byName = new Map(listed.map(record => [record.state.name, record]));
        const kept = this.rotate(this.names.filter(name => byName.has(name)), byName);
        const others = listed.filter(({ state }) => !kept.includes(state.name));
        const added = Array.from(
            { length: PARTNER_COUNT - kept.length },
            () => this.removeNext(others)?.state.name ?? "",
        );
        this.names = [...kept, ...added];
        return this.names.flatMap(name => byName.get(name) ?? []);
    }

    /** Drops the longest-serving partner when it is time. */
    private rotate(
        names: readonly string[],
        byName: ReadonlyMap<string, MemberRecord>,
    ): readonly string[] {
        const { timers, onDropped } = this.options;
        const [oldest, ...rest] = names;
        const record = oldest === undefined ? undefined : byName.get(oldest);
        const entry = record === undefined ? undefined : resolveEntry(record);
        if (
            entry === undefined || names.length < PARTNER_COUNT
            || timers.now() - this.rotatedAt < ROTATION_INTERVAL_MS
        ) {
            return names;
        }
        this.rotatedAt = timers.now();
        onDropped(entry);
        return rest;
    }

    /** Removes a random member from the list and returns it; one that could not be called goes first. */
    private removeNext(members: MemberRecord[]): MemberRecord | undefined {
        const unreachable = members.filter(({ isUnreachable }) => isUnreachable);
        const preferred = unreachable.length > 0 ? unreachable : members;
        const next = preferred[this.options.random.pickInteger(preferred.length)];
        if (next !== undefined) {
            members.splice(members.indexOf(next), 1);
        }
        return next;
    }
}
