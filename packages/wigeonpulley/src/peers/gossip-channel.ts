/** Keeps one open stream of digests to a peer; each digest gets one response, in order. */
import type { Client } from "@connectrpc/connect";
import { Err, Ok, type Result } from "ts-results-es";
import { MessageQueue } from "../concurrency/index.js";
import { describeCause, SchedulerError } from "../errors/index.js";
import type { MemberDigest, PeerService } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { VmListEntry } from "../platform/index.js";
import type { TimerService } from "../time/index.js";

/** A stream that misses this timeout may stay silent for good, so it is replaced. */
const RESPONSE_TIMEOUT_MS = 1_500;

type GossipResult = Result<MemberDigest, SchedulerError>;

/** Gossip stream to one peer. */
export class GossipChannel {
    private readonly outgoing = MessageQueue.create<MemberDigest>();
    private readonly pending: ((result: GossipResult) => void)[] = [];
    private readonly abort = new AbortController();
    private closed = false;

    private constructor(
        private readonly peer: VmListEntry,
        client: Client<typeof PeerService>,
        private readonly timers: TimerService,
    ) {
        void this.readResponses(client);
    }

    /** Opens a stream. */
    static create(
        peer: VmListEntry,
        client: Client<typeof PeerService>,
        timers: TimerService,
    ): GossipChannel {
        return new GossipChannel(peer, client, timers);
    }

    /** True when the stream has ended and can't be used any more. */
    get isClosed(): boolean {
        return this.closed;
    }

    /** Sends a digest and waits for the peer's. Fails with PeerUnavailable. */
    exchangeDigests(digest: MemberDigest): Promise<GossipResult> {
        return new Promise(resolve => {
            const cancel = this.timers.schedule(RESPONSE_TIMEOUT_MS, () => this.close("no answer in time"));
            this.pending.push(result => {
                cancel();
                resolve(result);
            });
            this.outgoing.push(digest);
        });
    }

    /** Ends the stream after the pending exchanges. */
    finish(): void {
        this.closed = true;
        this.outgoing.close();
    }

    private async readResponses(client: Client<typeof PeerService>): Promise<void> {
        try {
            for await (const digest of client.gossip(this.outgoing, { signal: this.abort.signal })) {
                this.pending.shift()?.(Ok(digest));
            }
            this.close("the stream ended");
        }
        catch (cause) {
            this.close(describeCause(cause));
        }
    }

    private close(reason: string): void {
        this.closed = true;
        this.outgoing.close();
        this.abort.abort();
        const error = SchedulerError.create("PeerUnavailable", { peer: this.peer.name, reason });
        this.pending.splice(0).forEach(resolve => resolve(Err(error)));
    }
}
