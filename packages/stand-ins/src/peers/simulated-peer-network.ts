/** In-memory network between VMs with message delays, broken links and frozen VMs. */
import { Err, Ok, type Result } from "ts-results-es";
import {
    type ClaimRequest,
    type ClaimResponse,
    type ConfigurationVersion,
    type GatewayMessage,
    type MemberDigest,
    MessageQueue,
    type PeerHandler,
    PeerTransport,
    SchedulerError,
    type SchedulerMessage,
    type TimerService,
    type VmListEntry,
} from "wigeonpulley";

/** Time until a call to an unreachable VM fails, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

/** Network of all VMs of one test. */
export class SimulatedPeerNetwork {
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly brokenLinks = new Set<string>();
    private readonly frozen = new Set<string>();
    /** Functions that close the open streams, by VM; each stream is listed under both of its VMs. */
    private readonly streamClosers = new Map<string, Set<() => void>>();

    private constructor(private readonly timers: TimerService, private readonly delayMs: number) {}

    /** Creates a network without VMs; each message takes `delayMs` milliseconds. */
    static create(timers: TimerService, delayMs = 1): SimulatedPeerNetwork {
        return new SimulatedPeerNetwork(timers, delayMs);
    }

    /** Adds a VM or replaces the one with the same name. */
    addVm(name: string, handler: PeerHandler): void {
        this.handlers.set(name, handler);
    }

    /** Removes a VM as if it was killed: its streams close at once. */
    killVm(name: string): void {
        this.handlers.delete(name);
        this.closeStreams(name);
    }

    /** Breaks the link between two VMs: messages are dropped without an error, and streams stay open. */
    breakLink(left: string, right: string): void {
        this.brokenLinks.add(createLinkName(left, right));
    }

    /** Restores the link between two VMs. */
    restoreLink(left: string, right: string): void {
        this.brokenLinks.delete(createLinkName(left, right));
    }

    /** Freezes a VM: messages to and from it are dropped. */
    freezeVm(name: string): void {
        this.frozen.add(name);
    }

    /** Resumes a frozen VM: messages to and from it are delivered again. */
    resumeVm(name: string): void {
        this.frozen.delete(name);
    }

    /** Counts the open streams. */
    countStreams(): number {
        return new Set([...this.streamClosers.values()].flatMap(closers => [...closers])).size;
    }

    /** Creates the transport of one VM. */
    createTransport(name: string): PeerTransport {
        return SimulatedPeerTransport.create(name, this);
    }

    /** Sends a unary call to a VM. Fails with PeerUnavailable if the VM is unreachable before or after the call. */
    async call<Response>(
        from: string,
        to: VmListEntry,
        invoke: (handler: PeerHandler) => Response | Promise<Response>,
    ): Promise<Result<Response, SchedulerError>> {
        await this.timers.sleep(this.delayMs);
        const handler = this.findHandler(from, to.name);
        if (handler === undefined) {
            await this.timers.sleep(CALL_TIMEOUT_MS);
            return Err(createError(to.name));
        }
        const response = await invoke(handler);
        await this.timers.sleep(this.delayMs);
        return this.findHandler(from, to.name) === handler ? Ok(response) : Err(createError(to.name));
    }

    /** Opens a bidirectional stream to a VM. Throws PeerUnavailable if the VM is unreachable. */
    async *openStream(
        from: string,
        to: VmListEntry,
        outgoing: AsyncIterable<GatewayMessage>,
        signal: AbortSignal,
    ): AsyncGenerator<SchedulerMessage, void, undefined> {
        await this.timers.sleep(this.delayMs);
        const handler = this.findHandler(from, to.name);
        if (handler === undefined) {
            await this.timers.sleep(CALL_TIMEOUT_MS);
            throw createError(to.name);
        }
        const requests = MessageQueue.create<GatewayMessage>();
        const responses = MessageQueue.create<SchedulerMessage>();
        const closeQueues = (): void => {
            requests.close();
            responses.close();
        };
        const closeStream = this.registerStream([from, to.name], closeQueues);
        signal.addEventListener("abort", closeStream, { once: true });
        const isOpen = (): boolean => this.findHandler(from, to.name) === handler;
        void this.deliver(outgoing, requests, isOpen);
        void this.deliver(handler.handleSchedule(from, requests), responses, isOpen).then(closeStream);
        yield* responses;
    }

    private async deliver<Message>(
        source: AsyncIterable<Message>,
        target: MessageQueue<Message>,
        isOpen: () => boolean,
    ): Promise<void> {
        for await (const message of source) {
            this.timers.schedule(this.delayMs, () => {
                if (isOpen()) {
                    target.push(message);
                }
            });
        }
    }

    private findHandler(from: string, to: string): PeerHandler | undefined {
        const isFrozen = this.frozen.has(from) || this.frozen.has(to);
        const isReachable = this.handlers.has(from) && !isFrozen
            && !this.brokenLinks.has(createLinkName(from, to));
        return isReachable ? this.handlers.get(to) : undefined;
    }

    private registerStream(names: readonly string[], closeQueues: () => void): () => void {
        const close = (): void => {
            names.forEach(name => this.streamClosers.get(name)?.delete(close));
            closeQueues();
        };
        for (const name of names) {
            const closers = this.streamClosers.get(name) ?? new Set();
            closers.add(close);
            this.streamClosers.set(name, closers);
        }
        return close;
    }

    private closeStreams(name: string): void {
        [...(this.streamClosers.get(name) ?? [])].forEach(close => close());
    }
}

class SimulatedPeerTransport extends PeerTransport {
    private constructor(private readonly name: string, private readonly network: SimulatedPeerNetwork) {
        super();
    }

    static create(name: string, network: SimulatedPeerNetwork): SimulatedPeerTransport {
        return new SimulatedPeerTransport(name, network);
    }

    override exchangeDigests(
        peer: VmListEntry,
        digest: MemberDigest,
    ): Promise<Result<MemberDigest, SchedulerError>> {
        return this.network.call(this.name, peer, handler => handler.handleDigest(digest));
    }

    override openScheduleStream(
        peer: VmListEntry,
        outgoing: AsyncIterable<GatewayMessage>,
        signal: AbortSignal,
    ): AsyncIterable<SchedulerMessage> {
        return this.network.openStream(this.name, peer, outgoing, signal);
    }

    override fetchConfiguration(
        peer: VmListEntry,
        known: number,
    ): Promise<Result<ConfigurationVersion | undefined, SchedulerError>> {
        return this.network.call(this.name, peer, handler => handler.handleFetchConfiguration(known));
    }

    override appendClaim(
        peer: VmListEntry,
        request: ClaimRequest,
    ): Promise<Result<ClaimResponse, SchedulerError>> {
        return this.network.call(this.name, peer, handler => handler.handleClaim(request));
    }
}

const createLinkName = (left: string, right: string): string => [left, right].sort().join(" ");

const createError = (peer: string): SchedulerError =>
    SchedulerError.create("PeerUnavailable", { peer, reason: "unreachable" });
