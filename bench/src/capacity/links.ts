/** Measures processor time of tickets over gRPC streams on the loopback interface, and the size of each message. */
import { create, toBinary } from "@bufbuild/protobuf";
import {
    type ClaimRequest,
    type ClaimResponse,
    type ConfigurationVersion,
    ConnectPeerTransport,
    type GatewayMessage,
    GatewayMessageSchema,
    GrantSchema,
    type MemberDigest,
    MessageQueue,
    Outcome,
    PeerHandler,
    PeerServer,
    ReleaseSchema,
    type SchedulerMessage,
    SchedulerMessageSchema,
    SystemTimerService,
    TicketSchema,
    UnverifiedSessions,
} from "wigeonpulley";
import { roundTo, type Row, type Table } from "../table.js";

const PEER_KEY = "bench-peer-key-of-at-least-32-characters";
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Grants every ticket at once. */
class GrantingHandler extends PeerHandler {
    override handleDigest(digest: MemberDigest): MemberDigest {
        return digest;
    }

    override async *handleSchedule(
        gateway: string,
        incoming: AsyncIterable<GatewayMessage>,
    ): AsyncGenerator<SchedulerMessage, void, undefined> {
        for await (const { kind } of incoming) {
            if (kind.case === "ticket") {
                const value = create(GrantSchema, {
                    id: kind.value.id,
                    endpoint: "engine-123",
                    expectedMs: 6_000,
                });
                yield create(SchedulerMessageSchema, { kind: { case: "grant", value } });
            }
        }
    }

    override handleFetchConfiguration(): ConfigurationVersion | undefined {
        return undefined;
    }

    override handleClaim(request: ClaimRequest): Promise<ClaimResponse> {
        throw new TypeError(`not used: ${request.partition}`);
    }
}

const createTicketMessage = (id: string): GatewayMessage =>
    create(GatewayMessageSchema, {
        kind: {
            case: "ticket",
            value: create(TicketSchema, {
                id,
                group: "dc-1/model-1/3",
                selector: "quotes-large",
                tier: 2,
                remainingMs: 20_000,
                allowedMs: 20_000,
                promptTokens: 1_800,
                answerTokens: 256,
                prefixBlocks: [1, 2, 3, 4, 5, 6, 7],
            }),
        },
    });

const createReleaseMessage = (id: string): GatewayMessage =>
    create(GatewayMessageSchema, {
        kind: {
            case: "release",
            value: create(ReleaseSchema, {
                id,
                group: "dc-1/model-1/3",
                outcome: Outcome.COMPLETED,
                firstTokenMs: 250,
                tokens: 256,
                durationMs: 9_000,
            }),
        },
    });

const measureTickets = async (tickets: number, concurrency: number): Promise<Row> => {
    const timers = SystemTimerService.create();
    const unverified = UnverifiedSessions.create({ timers, maxSessions: 64, onClose: () => undefined });
    const server = PeerServer.create(new GrantingHandler(), PEER_KEY, unverified);
    const port = await server.listen({ host: "127.0.0.1", port: 0 });
    const transport = ConnectPeerTransport.create("vm-1", PEER_KEY, {
        isCountingGossip: true,
        add: () => undefined,
    }, timers);
    const outgoing = MessageQueue.create<GatewayMessage>();
    const abort = new AbortController();
    const peer = {
        name: "vm-2",
        region: "south",
        dataCentre: "south-1",
        peerUrl: `http://127.0.0.1:${port}`,
        state: "live" as const,
    };
    let sent = 0;
    const send = (): void => {
        outgoing.push(createTicketMessage(`ticket-${sent}`));
        sent += 1;
    };
    const cpu = process.cpuUsage();
    for (let index = 0; index < concurrency; index += 1) {
        send();
    }
    let granted = 0;
    for await (const message of transport.openScheduleStream(peer, outgoing, abort.signal)) {
        if (message.kind.case === "grant") {
            outgoing.push(createReleaseMessage(message.kind.value.id));
            granted += 1;
            if (sent < tickets) {
                send();
            }
            if (granted === tickets) {
                break;
            }
        }
    }
    const used = process.cpuUsage(cpu);
    outgoing.close();
    abort.abort();
    await server.close();
    return {
        tickets,
        "at once": concurrency,
        "ms of processor per ticket, grant and release (both ends)": roundTo(
            (used.user + used.system) / MICROSECONDS_PER_MILLISECOND / tickets,
        ),
    };
};

/** Measures processor time per ticket and the sizes of the messages. */
export const measureLinks = async (): Promise<readonly Table[]> => {
    const rows: Row[] = [];
    for (const [tickets, concurrency] of [[500, 1], [2_000, 1], [2_000, 16], [5_000, 64]] as const) {
        rows.push(await measureTickets(tickets, concurrency));
    }
    const id = "abcdefghijkl";
    const grant = create(GrantSchema, { id, endpoint: "engine-123", expectedMs: 6_000 });
    const grantMessage = create(SchedulerMessageSchema, { kind: { case: "grant", value: grant } });
    const sizes: Row[] = [
        {
            message: "ticket with 7 prefix blocks",
            bytes: toBinary(GatewayMessageSchema, createTicketMessage(id)).length,
        },
        { message: "grant", bytes: toBinary(SchedulerMessageSchema, grantMessage).length },
        { message: "release", bytes: toBinary(GatewayMessageSchema, createReleaseMessage(id)).length },
    ];
    return [
        { title: "Tickets over gRPC on loopback (both ends in one process)", rows },
        { title: "Message sizes without framing (14 bytes of gRPC and HTTP/2 frames each)", rows: sizes },
    ];
};
