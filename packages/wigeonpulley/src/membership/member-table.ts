/**
 * Stores what one VM knows of the others, and which changes of their states still have to be gossiped.
 * A change is sent a number of times that grows with the logarithm of the number of members, as in SWIM, so that the
 * size of a digest stays bounded however many members there are.
 */
import { create } from "@bufbuild/protobuf";
import { type MemberState, MemberStateSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { VmListEntry } from "../platform/index.js";

/** Record of one known VM. Times are monotonic milliseconds. */
export interface MemberRecord {
    /** Entry in the platform's list; undefined while only peers know the VM. */
    entry: VmListEntry | undefined;
    state: MemberState;
    /** Time at which a suspicion becomes final; undefined without a suspicion. */
    deadAt: number | undefined;
    /** Time at which this VM last received a message directly from it. */
    lastContactAt: number;
    /** True after a call from this VM to it failed, until a message is received directly from it. */
    isUnreachable: boolean;
    /** Number of digests that the present state still has to be sent in. */
    remainingSends: number;
}

/** Digests in which a change is sent, per doubling of the number of members. */
const SENDS_PER_DOUBLING = 1.5;

/** True when `left` supersedes `right`. */
export const isNewerState = (left: MemberState, right: MemberState): boolean => {
    if (left.incarnation !== right.incarnation) {
        return left.incarnation > right.incarnation;
    }
    return left.revision > right.revision
        || (left.revision === right.revision && left.suspected && !right.suspected);
};

/**
 * Returns the listed entry of a VM with the address that the VM itself announces; undefined for a VM that isn't listed.
 */
export const resolveEntry = ({ entry, state }: MemberRecord): VmListEntry | undefined =>
    entry === undefined || state.peerUrl === "" || state.peerUrl === entry.peerUrl
        ? entry
        : { ...entry, peerUrl: state.peerUrl };

/** Table of the other VMs. */
export class MemberTable {
    private readonly records = new Map<string, MemberRecord>();
    private listed = 0;

    private constructor(private readonly suspicionMs: number) {}

    /** Creates an empty table; a suspicion becomes final after `suspicionMs` milliseconds. */
    static create(suspicionMs: number): MemberTable {
        return new MemberTable(suspicionMs);
    }

    /** Returns all records. */
    list(): readonly MemberRecord[] {
        return [...this.records.values()];
    }

    /** Number of VMs that the platform has listed. */
    get listedCount(): number {
        return this.listed;
    }

    /** Number of known VMs, whether the platform has listed them or only peers know them. */
    get size(): number {
        return this.records.size;
    }

    /** Returns the record of a VM; undefined for an unknown one. */
    find(name: string): MemberRecord | undefined {
        return this.records.get(name);
    }

    /** Applies the platform's list; VMs that are no longer listed and are dead are removed. */
    applyList(entries: readonly VmListEntry[], now: number): void {
        const listed = new Set(entries.map(entry => entry.name));
        for (const entry of entries) {
            const record = this.records.get(entry.name);
            if (record === undefined) {
                this.add(create(MemberStateSchema, { name: entry.name })).entry = entry;
            }
            else {
                record.entry = entry;
            }
        }
        for (const [name, record] of this.records) {
            if (!listed.has(name) && !this.isLive(record, now)) {
                this.records.delete(name);
            }
        }
        this.listed = this.list().filter(({ entry }) => entry !== undefined).length;
    }

    /** Merges a state that a peer sent; one that isn't newer than the known state has no effect. */
    merge(state: MemberState, now: number): void {
        const record = this.records.get(state.name);
        if (record === undefined) {
            this.setState(this.add(state), state, now);
        }
        else if (isNewerState(state, record.state)) {
            this.setState(record, state, now);
        }
    }

    /**
     * Suspects a VM because a call to it that started at `startedAt` failed. Has no effect when a message was
     * received directly from the VM since then, or when it has another address by now.
     */
    suspect(peer: VmListEntry, startedAt: number, now: number): void {
        const record = this.records.get(peer.name);
        if (
            record === undefined || record.lastContactAt >= startedAt
            || resolveEntry(record)?.peerUrl !== peer.peerUrl
        ) {
            return;
        }
        record.isUnreachable = true;
        if (!record.state.suspected) {
            this.setState(record, create(MemberStateSchema, { ...record.state, suspected: true }), now);
        }
    }

    /** Records that this VM received a message directly from another one. */
    recordContact(name: string, now: number): void {
        const record = this.records.get(name);
        if (record !== undefined) {
            record.isUnreachable = false;
            record.lastContactAt = now;
        }
    }

    /** True while a VM counts as live. */
    isLive(record: MemberRecord, now: number): boolean {
        return record.entry !== undefined
            && !record.isUnreachable
            && (record.deadAt === undefined || now < record.deadAt);
    }

    /** Returns the changes that were sent least often, at most `limit` of them, and counts each as sent once more. */
    consumeChanges(limit: number): readonly MemberState[] {
        const changed = this.list()
            .filter(record => record.remainingSends > 0)
            .sort((left, right) => right.remainingSends - left.remainingSends)
            .slice(0, limit);
        changed.forEach(record => {
            record.remainingSends -= 1;
        });
        return changed.map(record => record.state);
    }

    private add(state: MemberState): MemberRecord {
        const record: MemberRecord = {
            entry: undefined,
            state,
            deadAt: undefined,
            lastContactAt: Number.NEGATIVE_INFINITY,
            isUnreachable: false,
            remainingSends: 0,
        };
        this.records.set(state.name, record);
        return record;
    }

    private setState(record: MemberRecord, state: MemberState, now: number): void {
        record.state = state;
        record.deadAt = state.suspected ? now + this.suspicionMs : undefined;
        record.remainingSends = Math.ceil(SENDS_PER_DOUBLING * Math.log2(this.records.size + 2));
    }
}
