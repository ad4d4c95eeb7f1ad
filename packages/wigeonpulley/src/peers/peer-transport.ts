/** Defines the calls between VMs: the transport of the calling side and the handlers of the called side. */
import { Ok, type Result } from "ts-results-es";
import type { ConfigurationVersion } from "../config/index.js";
import type { SchedulerError } from "../errors/index.js";
import type {
    ClaimRequest,
    ClaimResponse,
    GatewayMessage,
    MemberDigest,
    SchedulerMessage,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { VmListEntry } from "../platform/index.js";
import type { RecordBatch, TopicPosition } from "../store/index.js";

/** Transport of the call that every VM makes to others. */
export abstract class GossipTransport {
    /** Exchanges digests with a peer. Fails with PeerUnavailable. */
    abstract exchangeDigests(
        peer: VmListEntry,
        digest: MemberDigest,
    ): Promise<Result<MemberDigest, SchedulerError>>;

    /**
     * Fetches the operators' records that a peer has read beyond a position; undefined when it has none or is busy. Fails with
     * PeerUnavailable. By default no VM has any.
     */
    fetchOperatorRecords(
        // eslint-disable-next-line @typescript-eslint/no-unused-vars -- overriding methods use it
        peer: VmListEntry,
        // eslint-disable-next-line @typescript-eslint/no-unused-vars -- overriding methods use it
        position: TopicPosition | undefined,
    ): Promise<Result<RecordBatch | undefined, SchedulerError>> {
        return Promise.resolve(Ok(undefined));
    }

    /** Closes what is kept open for exchanges with a peer, once the pending ones have ended. By default that is nothing. */
    // eslint-disable-next-line @typescript-eslint/no-unused-vars -- overriding methods use it
    releasePeer(peer: VmListEntry): void {
        // Nothing is kept open.
    }
}

/** Transport of all calls to other VMs. */
export abstract class PeerTransport extends GossipTransport {
    /**
     * Opens the stream of tickets to a peer's schedulers.
     * The iteration ends or throws when the stream is lost or the signal aborts.
     */
    abstract openScheduleStream(
        peer: VmListEntry,
        outgoing: AsyncIterable<GatewayMessage>,
        signal: AbortSignal,
    ): AsyncIterable<SchedulerMessage>;

    /**
     * Fetches the peer's configuration; undefined if it isn't newer than the version `known`. Fails with PeerUnavailable.
     */
    abstract fetchConfiguration(
        peer: VmListEntry,
        known: number,
    ): Promise<Result<ConfigurationVersion | undefined, SchedulerError>>;

    /** Asks the owner of a claim partition to append a record. Fails with PeerUnavailable. */
    abstract appendClaim(
        peer: VmListEntry,
        request: ClaimRequest,
    ): Promise<Result<ClaimResponse, SchedulerError>>;
}

/** Calls that every VM accepts from others. */
export abstract class GossipHandler {
    /** Merges a digest and returns this VM's. */
    abstract handleDigest(digest: MemberDigest): MemberDigest;

    /**
     * Returns the operators' records beyond a position; undefined when there are none, as by default, or when too many VMs
     * ask.
     */
    // eslint-disable-next-line @typescript-eslint/no-unused-vars -- overriding methods use it
    handleFetchOperatorRecords(position: TopicPosition | undefined): RecordBatch | undefined {
        return undefined;
    }
}

/** Calls that a VM with schedulers accepts from its peers. */
export abstract class PeerHandler extends GossipHandler {
    /** Serves the tickets of one gateway until its stream ends. */
    abstract handleSchedule(
        gateway: string,
        incoming: AsyncIterable<GatewayMessage>,
    ): AsyncIterable<SchedulerMessage>;

    /** Returns the active configuration; undefined if it isn't newer than the version `known`. */
    abstract handleFetchConfiguration(known: number): ConfigurationVersion | undefined;

    /** Appends a record to a claim partition and returns what is known of its offset. */
    abstract handleClaim(request: ClaimRequest): Promise<ClaimResponse>;
}
