/** Implements peer calls over gRPC with connect-es. */
import { create, toBinary } from "@bufbuild/protobuf";
import {
    type Client,
    Code,
    type ConnectRouter,
    createClient,
    type Interceptor,
    type ServiceImpl,
} from "@connectrpc/connect";
import { connectNodeAdapter, createGrpcTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { createServer, type Http2Server, type ServerHttp2Session, type ServerHttp2Stream } from "node:http2";
import type { AddressInfo, Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results-es";
import {
    type ConfigurationVersion,
    configurationVersionSchema,
    type ListenAddress,
} from "../config/index.js";
import { describeCause, SchedulerError } from "../errors/index.js";
import {
    type ClaimRequest,
    type ClaimResponse,
    FetchConfigurationResponseSchema,
    type FetchOperatorRecordsResponse,
    FetchOperatorRecordsResponseSchema,
    type GatewayMessage,
    GatewayMessageSchema,
    type MemberDigest,
    MemberDigestSchema,
    PeerService,
    type SchedulerMessage,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { VmListEntry } from "../platform/index.js";
import type { RecordBatch, TopicPosition } from "../store/index.js";
import type { TimerService } from "../time/index.js";
import { GossipChannel } from "./gossip-channel.js";
import { isPeerKey, PEER_KEY_HEADER, VM_HEADER } from "./peer-identity.js";
import { type GossipHandler, PeerHandler, PeerTransport } from "./peer-transport.js";
import { decodePosition, decodeRecords, encodePosition, encodeRecords } from "./record-codec.js";
import type { UnverifiedSessions } from "./unverified-sessions.js";

const HTTP_OK = 200;
const CALL_TIMEOUT_MS = 2_000;
/** Records may be long, and the link of the peer slow. */
const RECORDS_TIMEOUT_MS = 5_000;
/** Time after which a session without calls is closed, in milliseconds. */
const IDLE_SESSION_TIMEOUT_MS = 5_000;

/** Length of the gRPC frame header of each message. */
const GRPC_FRAME_HEADER_BYTES = 5;

/** Counts the bytes of control messages that this VM sent. */
export interface ControlByteCounter {
    /** True when digests are counted, which means encoding each of them a second time. */
    readonly isCountingGossip: boolean;
    /** Adds the bytes of one message of a kind. */
    readonly add: (kind: "exchange" | "schedule" | "claim", bytes: number) => void;
}

const createIdentityInterceptor = (vm: string, key: string): Interceptor => next => request => {
    request.header.set(VM_HEADER, vm);
    request.header.set(PEER_KEY_HEADER, key);
    return next(request);
};

/** Peer calls of one VM. */
export class ConnectPeerTransport extends PeerTransport {
    private readonly clients = new Map<string, Client<typeof PeerService>>();
    private readonly channels = new Map<string, GossipChannel>();

    private constructor(
        private readonly vm: string,
        private readonly key: string,
        private readonly counter: ControlByteCounter,
        private readonly timers: TimerService,
    ) {
        super();
    }

    /** Creates the transport of a VM; all VMs share the key. */
    static create(
        vm: string,
        key: string,
        counter: ControlByteCounter,
        timers: TimerService,
    ): ConnectPeerTransport {
        return new ConnectPeerTransport(vm, key, counter, timers);
    }

    override async exchangeDigests(
        peer: VmListEntry,
        digest: MemberDigest,
    ): Promise<Result<MemberDigest, SchedulerError>> {
        if (this.counter.isCountingGossip) {
            this.counter.add(
                "exchange",
                toBinary(MemberDigestSchema, digest).length + GRPC_FRAME_HEADER_BYTES,
            );
        }
        return this.getOrCreateChannel(peer).exchangeDigests(digest);
    }

    override async fetchOperatorRecords(
        peer: VmListEntry,
        position: TopicPosition | undefined,
    ): Promise<Result<RecordBatch | undefined, SchedulerError>> {
        const response = await this.call(
            peer,
            client =>
                client.fetchOperatorRecords(
                    position === undefined ? {} : { position: encodePosition(position) },
                    { timeoutMs: RECORDS_TIMEOUT_MS },
                ),
        );
        return response.map(decodeRecordBatch);
    }

    override releasePeer({ peerUrl }: VmListEntry): void {
        this.channels.get(peerUrl)?.finish();
        this.channels.delete(peerUrl);
    }

    override openScheduleStream(
        peer: VmListEntry,
        outgoing: AsyncIterable<GatewayMessage>,
        signal: AbortSignal,
    ): AsyncIterable<SchedulerMessage> {
        return this.getOrCreateClient(peer).schedule(this.forwardAndCount(outgoing), { signal });
    }

    override async fetchConfiguration(
        peer: VmListEntry,
        known: number,
    ): Promise<Result<ConfigurationVersion | undefined, SchedulerError>> {
        const response = await this.call(
            peer,
            client => client.fetchConfiguration({ known: known + 1 }, { timeoutMs: CALL_TIMEOUT_MS }),
        );
        return response.andThen(({ versionJson }) =>
            versionJson === "" ? Ok(undefined) : parseConfigurationVersion(peer, versionJson)
        );
    }

    override appendClaim(
        peer: VmListEntry,
        request: ClaimRequest,
    ): Promise<Result<ClaimResponse, SchedulerError>> {
        this.counter.add("claim", request.recordJson.length + GRPC_FRAME_HEADER_BYTES);
        return this.call(peer, client => client.claim(request, { timeoutMs: CALL_TIMEOUT_MS }));
    }

    private getOrCreateChannel(peer: VmListEntry): GossipChannel {
        const known = this.channels.get(peer.peerUrl);
        if (known !== undefined && !known.isClosed) {
            return known;
        }
        const channel = GossipChannel.create(peer, this.getOrCreateClient(peer), this.timers);
        this.channels.set(peer.peerUrl, channel);
        return channel;
    }

    private getOrCreateClient(peer: VmListEntry): Client<typeof PeerService> {
        const known = this.clients.get(peer.peerUrl);
        if (known !== undefined) {
            return known;
        }
        const transport = createGrpcTransport({
            baseUrl: peer.peerUrl,
            // Messages are small: compression costs more processor time than the saved bytes are worth.
            acceptCompression: [],
            interceptors: [createIdentityInterceptor(this.vm, this.key)],
            sessionManager: new Http2SessionManager(peer.peerUrl, {
                pingIntervalMs: CALL_TIMEOUT_MS,
                idleConnectionTimeoutMs: IDLE_SESSION_TIMEOUT_MS,
            }),
        });
        const client = createClient(PeerService, transport);
        this.clients.set(peer.peerUrl, client);
        return client;
    }

    private async call<Value>(
        peer: VmListEntry,
        run: (client: Client<typeof PeerService>) => Promise<Value>,
    ): Promise<Result<Value, SchedulerError>> {
        try {
            return Ok(await run(this.getOrCreateClient(peer)));
        }
        catch (cause) {
            return Err(
                SchedulerError.create("PeerUnavailable", { peer: peer.name, reason: describeCause(cause) }),
            );
        }
    }

    /** Forwards the messages unchanged and counts their bytes. */
    private async *forwardAndCount(outgoing: AsyncIterable<GatewayMessage>): AsyncIterable<GatewayMessage> {
        for await (const message of outgoing) {
            this.counter.add(
                "schedule",
                toBinary(GatewayMessageSchema, message).length + GRPC_FRAME_HEADER_BYTES,
            );
            yield message;
        }
    }
}

const decodeRecordBatch = ({ records, next }: FetchOperatorRecordsResponse): RecordBatch | undefined =>
    next === undefined ? undefined : { records: decodeRecords(records), next: decodePosition(next) };

const encodeRecordBatch = (batch: RecordBatch | undefined): FetchOperatorRecordsResponse =>
    create(
        FetchOperatorRecordsResponseSchema,
        batch === undefined
            ? {}
            : {
                records: encodeRecords(batch.records),
                next: encodePosition(batch.next),
            },
    );

const parseConfigurationVersion = (
    peer: VmListEntry,
    json: string,
): Result<ConfigurationVersion, SchedulerError> => {
    try {
        return Ok(configurationVersionSchema.parse(JSON.parse(json)));
    }
    catch (cause) {
        const reason = `invalid configuration: ${describeCause(cause)}`;
        return Err(SchedulerError.create("PeerUnavailable", { peer: peer.name, reason }));
    }
};

/** Server that other VMs call. */
export class PeerServer {
    private readonly sessions = new Set<ServerHttp2Session>();
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Http2Server) {
        server.on("connection", (socket: Socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        server.on("session", session => {
            this.sessions.add(session);
            session.on("close", () => this.sessions.delete(session));
        });
    }

    /** Creates a server for a handler; calls without the shared key are refused before their messages are read. */
    static create(handler: GossipHandler, key: string, unverified: UnverifiedSessions): PeerServer {
        const handleCall = connectNodeAdapter({ routes: createRoutes(handler), acceptCompression: [] });
        const server = createServer((request, response) => {
            const { session } = request.stream;
            if (!isPeerKey(String(request.headers[PEER_KEY_HEADER] ?? ""), key)) {
                refuseCall(request.stream);
                return;
            }
            if (session !== undefined) {
                unverified.remove(session as ServerHttp2Session);
            }
            handleCall(request, response);
        });
        server.on("session", session => unverified.add(session));
        return new PeerServer(server);
    }

    /** Starts to listen and returns the port in use. Rejects if the address can't be used. */
    listen(address: ListenAddress): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(
                address.port,
                address.host,
                () => resolve((this.server.address() as AddressInfo).port),
            );
        });
    }

    /** Closes all connections and stops listening. */
    close(): Promise<void> {
        this.sessions.forEach(session => session.destroy());
        // A session that the other VM has begun to close would wait for that VM.
        this.sockets.forEach(socket => socket.destroy());
        return new Promise(resolve => {
            this.server.close(() => resolve());
        });
    }
}

/** Refuses a call without the shared key, as gRPC does it. */
const refuseCall = (stream: ServerHttp2Stream): void => {
    stream.on("error", () => undefined);
    stream.respond({
        ":status": HTTP_OK,
        "content-type": "application/grpc",
        "grpc-status": String(Code.Unauthenticated),
        "grpc-message": "the peer key is wrong",
    }, { endStream: true });
    stream.close();
};

/** A VM without schedulers leaves out their routes, so calls to them fail as unimplemented. */
const createRoutes = (handler: GossipHandler) => (router: ConnectRouter): void => {
    router.service(PeerService, {
        gossip: async function*(digests) {
            for await (const digest of digests) {
                yield handler.handleDigest(digest);
            }
        },
        fetchOperatorRecords: ({ position }) =>
            encodeRecordBatch(handler.handleFetchOperatorRecords(
                position === undefined
                    ? undefined
                    : { era: position.era, offset: Number(position.offset) },
            )),
        ...(handler instanceof PeerHandler ? createSchedulerRoutes(handler) : {}),
    });
};

const createSchedulerRoutes = (
    handler: PeerHandler,
): Partial<ServiceImpl<typeof PeerService>> => ({
    schedule: (incoming, context) =>
        handler.handleSchedule(context.requestHeader.get(VM_HEADER) ?? "", incoming),
    fetchConfiguration: ({ known }) => {
        const version = handler.handleFetchConfiguration(known - 1);
        const versionJson = version === undefined ? "" : JSON.stringify(version);
        return create(FetchConfigurationResponseSchema, { versionJson });
    },
    claim: request => handler.handleClaim(request),
});
