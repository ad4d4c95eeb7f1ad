/** Calls between VMs over real connections. */
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

/** Connects a VM to a peer on the loopback interface. */
const connectTo = async (handler: GossipHandler) => {
    const server = PeerServer.create(handler, PEER_KEY);
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
    return { transport, entry };
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
