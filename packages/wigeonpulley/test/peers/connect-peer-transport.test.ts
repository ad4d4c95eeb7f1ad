/** Calls between VMs over real connections. */
import { expect, onTestFinished, test } from "vitest";
import {
    type ConfigurationVersion,
    ConnectPeerTransport,
    PeerHandler,
    PeerServer,
    SystemTimerService,
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

test("an invalid configuration of a peer is a failure of the call", async () => {
    const server = PeerServer.create(InvalidConfigurationPeer.create(), PEER_KEY);
    const port = await server.listen({ host: "127.0.0.1", port: 0 });
    onTestFinished(() => server.close());
    const transport = ConnectPeerTransport.create("vm-1", PEER_KEY, {
        isCountingGossip: false,
        add: () => undefined,
    }, SystemTimerService.create());
    const fetched = await transport.fetchConfiguration({
        name: "vm-2",
        region: "south",
        dataCentre: "south-1",
        peerUrl: `http://127.0.0.1:${port}`,
        state: "live",
    }, -1);
    expect(fetched.isErr() && fetched.error.name).toBe("PeerUnavailable");
    expect(fetched.isErr() && fetched.error.message).toContain("invalid configuration");
});
