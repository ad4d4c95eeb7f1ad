/** Counts the messages and bytes between VMs. */
import { toBinary } from "@bufbuild/protobuf";
import type { Result } from "ts-results-es";
import {
    type ClaimRequest,
    ClaimRequestSchema,
    type ClaimResponse,
    ClaimResponseSchema,
    type ConfigurationVersion,
    type GatewayMessage,
    GatewayMessageSchema,
    type MemberDigest,
    MemberDigestSchema,
    PeerTransport,
    type SchedulerError,
    type SchedulerMessage,
    SchedulerMessageSchema,
    type VmListEntry,
} from "wigeonpulley";

/** Size of the gRPC prefix of each message. */
const FRAME_BYTES = 5;

/** HTTP/2 headers, trailers and frames of one unary call and its response once the header table is warm. */
const UNARY_HEADER_BYTES = 120;

/** Totals over all VMs of one measurement. */
export interface ByteTotals {
    messages: number;
    bytes: number;
}

/** Peer transport that counts messages and bytes in both directions. Fetched configurations aren't counted. */
export class CountingTransport extends PeerTransport {
    private constructor(private readonly inner: PeerTransport, private readonly totals: ByteTotals) {
        super();
    }

    /** Wraps a transport; adds to `totals`. */
    static create(inner: PeerTransport, totals: ByteTotals): CountingTransport {
        return new CountingTransport(inner, totals);
    }

    override async exchangeDigests(
        peer: VmListEntry,
        digest: MemberDigest,
    ): Promise<Result<MemberDigest, SchedulerError>> {
        this.count(toBinary(MemberDigestSchema, digest).length + UNARY_HEADER_BYTES);
        const response = await this.inner.exchangeDigests(peer, digest);
        return response.map(value => {
            this.count(toBinary(MemberDigestSchema, value).length);
            return value;
        });
    }

    override async *openScheduleStream(
        peer: VmListEntry,
        outgoing: AsyncIterable<GatewayMessage>,
        signal: AbortSignal,
    ): AsyncGenerator<SchedulerMessage, void, undefined> {
        for await (
            const message of this.inner.openScheduleStream(peer, this.countOutgoing(outgoing), signal)
        ) {
            this.count(toBinary(SchedulerMessageSchema, message).length);
            yield message;
        }
    }

    override fetchConfiguration(
        peer: VmListEntry,
        known: number,
    ): Promise<Result<ConfigurationVersion | undefined, SchedulerError>> {
        return this.inner.fetchConfiguration(peer, known);
    }

    override async appendClaim(
        peer: VmListEntry,
        request: ClaimRequest,
    ): Promise<Result<ClaimResponse, SchedulerError>> {
        this.count(toBinary(ClaimRequestSchema, request).length + UNARY_HEADER_BYTES);
        const response = await this.inner.appendClaim(peer, request);
        return response.map(value => {
            this.count(toBinary(ClaimResponseSchema, value).length);
            return value;
        });
    }

    private async *countOutgoing(outgoing: AsyncIterable<GatewayMessage>): AsyncGenerator<GatewayMessage> {
        for await (const message of outgoing) {
            this.count(toBinary(GatewayMessageSchema, message).length);
            yield message;
        }
    }

    private count(bytes: number): void {
        this.totals.messages += 1;
        this.totals.bytes += bytes + FRAME_BYTES;
    }
}
