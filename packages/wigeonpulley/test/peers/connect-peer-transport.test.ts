/** Calls between VMs over real connections. */
import { connect as connectHttp2 } from "node:http2";
import { connect } from "node:net";
import { expect, onTestFinished, test } from "vitest";
import {
    type ConfigurationVersion,
    ConnectPeerTransport,
    GossipHandler,
    PeerHandler,
    PeerServer,
    type RecordBatch,
    SystemTimerService,
    type TopicPosition,
    UnverifiedSessions,
    type VmListEntry,
} from "wigeonpulley";

const PEER_KEY = "test-peer-key-of-at-least-32-characters";

/** A peer whose configuration does not fit the schema. */
class InvalidConfigurationPeer extends PeerHandler {
    static create(): InvalidConfigurationPeer {
        return new InvalidConfigurationPeer();
    }

    override handleDigest = (): never => {
        throw new TypeError("not called by this test");
    };

    override handleSchedule = (): never => {
        throw new TypeError("not called by this test");
    };

    override handleClaim = (): never => {
        throw new TypeError("not called by this test");
    };

    override handleFetchConfiguration(): ConfigurationVersion {
        return { version: "one" } as unknown as ConfigurationVersion;
    }
}

const MAX_UNVERIFIED_SESSIONS = 4;

/** Connects a VM to a peer on the loopback interface. */
const connectTo = async (handler: GossipHandler) => {
    const unverified = UnverifiedSessions.create({
        timers: SystemTimerService.create(),
        maxSessions: MAX_UNVERIFIED_SESSIONS,
        onClose: () => undefined,
    });
    const server = PeerServer.create(handler, PEER_KEY, unverified);
    const port = await server.listen({ host: "127.0.0.1", port: 0 });
    onTestFinished(() => server.close());
    const transport = ConnectPeerTransport.create("vm-1", PEER_KEY, {
        isCountingGossip: false,
        add: () => undefined,
    }, SystemTimerService.create());
    const entry: VmListEntry = {
        name: "vm-2",
        region: "south",
        dataCentre: "south-1",
        peerUrl: `http://127.0.0.1:${port}`,
        state: "live",
    };
    return { transport, entry, port };
};

test("an invalid configuration of a peer is a failure of the call", async () => {
    const { transport, entry } = await connectTo(InvalidConfigurationPeer.create());
    const fetched = await transport.fetchConfiguration(entry, -1);
    expect(fetched.isErr() && fetched.error.name).toBe("PeerUnavailable");
    expect(fetched.isErr() && fetched.error.message).toContain("invalid configuration");
});

/** A peer that has read two of the operators' records. */
class ReadingPeer extends GossipHandler {
    readonly positions: (TopicPosition | undefined)[] = [];

    static create(): ReadingPeer {
        return new ReadingPeer();
    }

    override handleDigest = (): never => {
        throw new TypeError("not called by this test");
    };

    override handleFetchOperatorRecords(position: TopicPosition | undefined): RecordBatch | undefined {
        this.positions.push(position);
        return position === undefined ? BATCH : undefined;
    }
}

const BATCH: RecordBatch = {
    records: [
        { key: "config", value: Buffer.from("x".repeat(400_000)), offset: 3 },
        { key: "rollout/desk", value: undefined, offset: 4 },
    ],
    next: { era: 2, offset: 5 },
};

test("long records, removed keys and positions arrive as they were sent", async () => {
    const peer = ReadingPeer.create();
    const { transport, entry } = await connectTo(peer);
    expect((await transport.fetchOperatorRecords(entry, undefined)).unwrap()).toEqual(BATCH);
    expect((await transport.fetchOperatorRecords(entry, { era: 2, offset: 5 })).unwrap()).toBeUndefined();
    expect(peer.positions).toEqual([undefined, { era: 2, offset: 5 }]);
});

/** Opens a connection that sends nothing; resolves when it is closed. */
const openSilent = (port: number): Promise<void> => {
    const socket = connect(port, "127.0.0.1");
    onTestFinished(() => void socket.destroy());
    socket.on("error", () => undefined);
    socket.resume();
    return new Promise(resolve => socket.once("close", () => resolve()));
};

// Guards against GONE: connections without a call took the descriptors of a process.
test("the oldest connections that show no key are closed for new ones, and a VM is still served", async () => {
    const { transport, entry, port } = await connectTo(InvalidConfigurationPeer.create());
    const closed = Array.from({ length: 3 * MAX_UNVERIFIED_SESSIONS }, () => openSilent(port));
    await Promise.all(closed.slice(0, MAX_UNVERIFIED_SESSIONS));
    const response = await transport.fetchConfiguration(entry, -1);
    expect(response.unwrapErr().message).toContain("invalid configuration");
    for (let count = 0; count < 3 * MAX_UNVERIFIED_SESSIONS; count += 1) {
        void openSilent(port);
    }
    const again = await transport.fetchConfiguration(entry, -1);
    expect(again.unwrapErr().message).toContain("invalid configuration");
});

// Guards against GONE: the message of a call was read into memory before its key was checked.
test("a call without the key is refused before its message has been read", async () => {
    const { port } = await connectTo(InvalidConfigurationPeer.create());
    const session = connectHttp2(`http://127.0.0.1:${port}`);
    onTestFinished(() => void session.destroy());
    const stream = session.request({
        ":method": "POST",
        ":path": "/wigeonpulley.peer.v1.PeerService/FetchConfiguration",
        "content-type": "application/grpc",
        "x-peer-key": "another key",
    });
    stream.on("error", () => undefined);
    stream.write(Buffer.alloc(16_384));
    const headers = await new Promise<Record<string, unknown>>(resolve => stream.once("response", resolve));
    expect(headers["grpc-status"]).toBe("16");
});
