/**
 * Passes copies of the store's list of instances between VMs. A copy that has every change that another VM's copy has is as
 * complete as that one; what it lacks comes with the other VM's response.
 */
import { create } from "@bufbuild/protobuf";
import { type InstanceListState, InstanceListStateSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { InstanceListGossip } from "../membership/index.js";
import { decodePosition, decodeRecords, encodePosition, encodeRecords } from "../peers/index.js";
import type { RecordBatch, TopicPosition } from "../store/index.js";
import type { ClockReading } from "../time/index.js";

/** This VM's copy of the list. */
export interface InstanceListCopy {
    /** Position up to which the list was read; undefined before that. */
    readonly instancePosition: TopicPosition | undefined;
    /** Offset after the last record that changed the content of an entry; undefined before the first read. */
    readonly instanceChangedOffset: number | undefined;
    /** Time since the copy was last known to be complete, in milliseconds. */
    getInstanceListAgeMs(): number;
    /** Returns the records that a copy at a position lacks. */
    listInstanceRecordsSince(position: TopicPosition | undefined): RecordBatch | undefined;
    /** Applies records that another VM's complete copy has after this copy's position. */
    applyInstanceRecords(position: TopicPosition, batch: RecordBatch, confirmedAt: ClockReading): void;
    /** Records that the copy was complete at the time of a reading. */
    confirmInstances(reading: ClockReading): void;
}

/** Age from which another VM's confirmation is of no use, in milliseconds. */
const MAX_AGE_MS = 10_000;
/** Records in one response; a VM that lacks more reads the store. Bounds a digest to about 16 KB more. */
const MAX_RECORDS = 64;

/** Gossip about one VM's copy. */
export class GossipedInstanceList extends InstanceListGossip {
    private constructor(
        private readonly copy: InstanceListCopy,
        private readonly onServedOthers: (reading: ClockReading) => void,
    ) {
        super();
    }

    /** Creates the gossip. `onServedOthers` is called with each time at which the store served another VM. */
    static create(
        copy: InstanceListCopy,
        onServedOthers: (reading: ClockReading) => void,
    ): GossipedInstanceList {
        return new GossipedInstanceList(copy, onServedOthers);
    }

    override createState(requester: InstanceListState | undefined): InstanceListState | undefined {
        const { instancePosition: read, instanceChangedOffset: changedOffset } = this.copy;
        if (read === undefined || changedOffset === undefined) {
            return undefined;
        }
        const ageMs = Math.ceil(this.copy.getInstanceListAgeMs());
        const requested = requester?.read === undefined ? undefined : decodePosition(requester.read);
        const isLacking = requested !== undefined && requested.era === read.era
            && requested.offset < changedOffset;
        const lacking = isLacking ? this.copy.listInstanceRecordsSince(requested)?.records ?? [] : [];
        return create(InstanceListStateSchema, {
            read: encodePosition(read),
            changedOffset: BigInt(changedOffset),
            ageMs: ageMs < MAX_AGE_MS ? ageMs + 1 : 0,
            records: lacking.length > MAX_RECORDS ? [] : encodeRecords(lacking),
        });
    }

    override applyState(state: InstanceListState, askedAt: ClockReading): void {
        const own = this.copy.instancePosition;
        if (state.read === undefined || state.ageMs === 0 || own === undefined) {
            return;
        }
        const read = decodePosition(state.read);
        if (read.era !== own.era) {
            return;
        }
        const confirmedAt = askedAt.createEarlier(state.ageMs - 1);
        this.onServedOthers(confirmedAt);
        const records = decodeRecords(state.records).filter(({ offset }) => offset >= own.offset);
        if (own.offset >= read.offset) {
            this.copy.confirmInstances(confirmedAt);
        }
        else if (own.offset >= Number(state.changedOffset) || records.length > 0) {
            this.copy.applyInstanceRecords(own, { records, next: read }, confirmedAt);
        }
    }
}
