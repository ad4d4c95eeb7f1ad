/** How one VM reaches another. */
import type { Result } from "ts-results-es";
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

/** The call that every VM makes to others. */
export abstract class GossipTransport {
    /** Exchanges member digests. Fails with PeerUnavailable. */
    abstract exchangeDigests(
        peer: VmListEntry,
        digest: MemberDigest,
    ): Promise<Result<MemberDigest, SchedulerError>>;
}

/** Calls to other VMs. */
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

    /** Asks for a configuration newer than a version. Fails with PeerUnavailable. */
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

/** What every VM offers to the others. */
export abstract class GossipHandler {
    /** Merges a digest and answers with this VM's. */
    abstract handleDigest(digest: MemberDigest): MemberDigest;
}

/** What a VM with schedulers offers to its peers. */
export abstract class PeerHandler extends GossipHandler {
    /** Serves the tickets of one gateway until its stream ends. */
    abstract handleSchedule(
        gateway: string,
        incoming: AsyncIterable<GatewayMessage>,
    ): AsyncIterable<SchedulerMessage>;

    /** The configuration in force, if it is newer than a version. */
    abstract handleFetchConfiguration(known: number): ConfigurationVersion | undefined;

    /** Appends a claim record. */
    abstract handleClaim(request: ClaimRequest): Promise<ClaimResponse>;
}
