/**
 * What one VM knows of the others: their states, and which of the changes still have to be passed on.
 * A change is passed on a number of times that grows with the logarithm of the number of members, so that the bytes
 * of a digest stay bounded however many members there are.
 */
import { create } from "@bufbuild/protobuf";
import { type MemberState, MemberStateSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { VmListEntry } from "../platform/index.js";

/** One known VM. Times are monotonic milliseconds. */
export interface MemberRecord {
    /** Entry of the platform's list; undefined while only peers know the VM. */
    entry: VmListEntry | undefined;
    state: MemberState;
    /** Time at which a suspicion becomes final; undefined without a suspicion. */
    deadAt: number | undefined;
    /** Time at which this VM last heard from it directly. */
    lastContactAt: number;
    /** True after this VM itself failed to reach it, until it is heard from directly. */
    isUnreachable: boolean;
    /** Times that the present state still has to be passed on. */
    remainingSends: number;
}

/** Factor of the number of times that a change is passed on. */
const SENDS_PER_DOUBLING = 1.5;

/** True when `left` replaces `right`. */
export const isNewerState = (left: MemberState, right: MemberState): boolean => {
    if (left.incarnation !== right.incarnation) {
        return left.incarnation > right.incarnation;
    }
    return left.revision > right.revision
        || (left.revision === right.revision && left.suspected && !right.suspected);
};

/** The listed entry of a VM with the address that the VM itself tells; undefined for a VM that is not listed. */
export const resolveEntry = ({ entry, state }: MemberRecord): VmListEntry | undefined =>
    entry === undefined || state.peerUrl === "" ? entry : { ...entry, peerUrl: state.peerUrl };

/** Table of the other VMs. */
export class MemberTable {
    private readonly records = new Map<string, MemberRecord>();

    private constructor(private readonly suspicionMs: number) {}

    /** Creates an empty table; a suspicion becomes final after `suspicionMs` milliseconds. */
    static create(suspicionMs: number): MemberTable {
        return new MemberTable(suspicionMs);
    }

    /** All records. */
    list(): readonly MemberRecord[] {
        return [...this.records.values()];
    }

    /** The record of a VM. */
    find(name: string): MemberRecord | undefined {
        return this.records.get(name);
    }

    /** Takes over the platform's list; VMs that left it and are dead are forgotten. */
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
    }

    /** Merges a state that a peer passed on. */
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
     * Notes that a call to a VM failed which began at `startedAt`. It says nothing when the VM was heard from since
     * then, or when it has another address by now.
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

    /** Notes that this VM heard from another one directly. */
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

    /** The changes that were passed on least, at most `limit` of them; each counts as passed on once more. */
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
