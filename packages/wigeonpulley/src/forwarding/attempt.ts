/** One attempt: a request sent to one instance, and the relay of its response to the caller. */
import { CompactBytes, SegmentPool } from "../clients/index.js";
import type { EventLogger } from "../logging/index.js";
import type { Placement, RequestOutcome } from "../placement/index.js";
import { measureWork, type WorkMeter } from "../processor/index.js";
import type { Quarantine } from "../quarantine/index.js";
import type { TimerService } from "../time/index.js";
import { AttemptEvidence } from "./attempt-evidence.js";
import { type AttemptOutcome, createFailedOutcome } from "./attempt-outcome.js";
import {
    type EndpointExchange,
    type EndpointTransport,
    type ExchangeFailure,
    isExchangeFailure,
    type ResponseHead,
} from "./endpoint-transport.js";
import type { HeaderCodec } from "./header-codec.js";
import { listForwardedRequestHeaders } from "./hop-by-hop.js";
import { removePeerHeaders } from "./peer-headers.js";
import { findPeerError } from "./peer-response.js";
import type { RelayPace } from "./relay-pace.js";
import type { ResponseWriter } from "./response-writer.js";
import { computeCallerTimeoutMs, isRetryable, type RoutedRequest } from "./routed-request.js";
import type { StreamRelay } from "./stream-relay.js";

/** Dependencies of an attempt. */
export interface AttemptOptions {
    readonly timers: TimerService;
    readonly work?: WorkMeter;
    readonly relayPace?: RelayPace;
    readonly logger: EventLogger;
    readonly codec: HeaderCodec;
    readonly transport: EndpointTransport;
    readonly request: RoutedRequest;
    readonly writer: ResponseWriter;
    readonly relay: StreamRelay;
    readonly placement: Placement;
    /** True when no other attempt may follow this one. */
    readonly isLast: boolean;
    /**
     * Waits for an instance that another attempt can reach, until the signal aborts; undefined when there is none, or when no
     * attempt may follow.
     */
    readonly prepareRetry: (signal: AbortSignal) => Promise<Placement | undefined>;
    /** Makes the next attempt use a prepared instance; false when the retry budget is exhausted. */
    readonly confirmRetry: (placement: Placement) => boolean;
    readonly quarantine: Quarantine;
    /** Traits of the request. */
    readonly traits: readonly string[];
    /** Creates the headers that identify this VM to another one. */
    readonly createPeerHeaders: (elapsedMs: number) => readonly string[];
}

/** Buffered responses are short and are not held together with uploads, whose segments are reused. */
const UNPOOLED = SegmentPool.create(0);
/** Longest response that is buffered before it is sent to the caller; a longer one is relayed as it arrives. */
const MAX_BUFFERED_BYTES = 262_144;
/** Multiple of the target latency after which a silent instance is abandoned for a retry. */
const SILENCE_TARGET_FACTOR = 3;
const MIN_SILENCE_MS = 400;
/** Share of the caller's timeout after which a silent stream is resumed at another instance. */
const SILENCE_TIMEOUT_SHARE = 0.5;
/** Silence after which a request that was cancelled counts as a failure of the instance. */
const UNRESPONSIVE_MS = 1_500;
/** The same for one whose time is over, as a share of all of its time, if that is shorter. */
const UNRESPONSIVE_TIMEOUT_SHARE = 0.5;
/** Events after which a stream reports its event gap to the latency model without waiting for its end. */
const EARLY_EVENT_COUNT = 8;
/** Memory up to which an incomplete event is always held: without it, no stream could go on. */
const SHORT_EVENT_BYTES = 65_536;
/** Time of a write above which the caller reads slowly, in milliseconds: buffered writes end within a turn of the event loop. */
const SLOW_WRITE_MS = 10;
const HTTP_OK = 200;
const HTTP_REDIRECT = 300;
const HTTP_SERVER_ERROR = 500;
/** Statuses that tell a caller that its request did not run. Without a proof they are not forwarded. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const BODILESS_STATUSES = new Set([204, 304]);

/** One attempt. */
export class Attempt {
    private readonly exchange: EndpointExchange;
    private readonly evidence: AttemptEvidence;
    private readonly startedAt: number;
    /** Events that earlier attempts had relayed. */
    private readonly eventsBefore: number;
    private progressAt: number;
    private isFinished = false;
    private isWriting = false;
    private heldEventBytes = 0;
    /** Aborts when the instance is silent no more; undefined while nothing waits for that. */
    private silence: AbortController | undefined;

    private constructor(private readonly options: AttemptOptions) {
        this.startedAt = options.timers.now();
        this.progressAt = this.startedAt;
        this.eventsBefore = options.relay.eventCount;
        this.evidence = AttemptEvidence.create(options);
        this.exchange = this.send();
    }

    /** Creates an attempt and sends its request. */
    static create(options: AttemptOptions): Attempt {
        return new Attempt(options);
    }

    /** Relays the response and releases the placement; resolves when the exchange has ended. */
    async run(): Promise<AttemptOutcome> {
        const { placement, request } = this.options;
        const unsubscribe = request.lifetime.subscribe(reason => this.exchange.abort(reason));
        this.abortWhenSilent();
        try {
            const outcome = await this.relayResponse();
            if (outcome.kind === "failed" && outcome.isConnectionLost && !placement.isPeer) {
                this.evidence.recordConnectionLoss(outcome.reason, this.relayedEvents);
            }
            placement.release(this.computeRequestOutcome(outcome), "reason" in outcome ? outcome.reason : "");
            return outcome;
        }
        finally {
            this.isFinished = true;
            this.endSilence();
            unsubscribe();
            // Without effect unless the relay threw.
            this.exchange.abort("the relay failed");
        }
    }

    private send(): EndpointExchange {
        const { codec, transport, request, placement, relay, createPeerHeaders } = this.options;
        const headers = listForwardedRequestHeaders(
            placement.isPeer ? removePeerHeaders(request.rawHeaders) : request.rawHeaders,
            name => codec.isReserved(name) || (relay.lastEventId !== undefined && name === "last-event-id"),
        );
        const deadlineMs = Math.max(1, Math.floor(request.lifetime.remainingMs));
        headers.push(
            ...(placement.isPeer
                ? [
                    ...codec.createPeerHeaders({
                        deadlineMs,
                        key: request.metadata.key,
                        lastEventId: relay.lastEventId,
                    }),
                    ...createPeerHeaders(this.startedAt - request.arrivedAt + request.earlierAttemptsMs),
                ]
                : codec.createDispatchHeaders({
                    deadlineMs,
                    instanceId: placement.instance.id,
                    workspace: request.workspace?.name,
                    lastEventId: relay.lastEventId,
                })),
        );
        return transport.send(placement.instance, {
            method: request.method,
            path: request.path,
            headers,
            body: request.body,
            isAtMostOnce: !isRetryable(request),
        });
    }

    private async relayResponse(): Promise<AttemptOutcome> {
        const head = await this.exchange.readHead();
        if (isExchangeFailure(head)) {
            return this.createExchangeOutcome(head);
        }
        const problem = this.checkHead(head);
        if (problem !== undefined) {
            // Refusals bear no id: one that comes twice must find no other request on its connection.
            this.exchange.abort("the answer can't be used");
            return problem;
        }
        this.recordProgress();
        return this.options.request.route.kind === "stream" && isSuccess(head.status)
            ? this.relayStream(head)
            : this.relayBuffered(head);
    }

    /** Returns the outcome of a response that must not reach the caller; undefined for one to relay. */
    private checkHead(head: ResponseHead): AttemptOutcome | undefined {
        const { codec, request, placement } = this.options;
        const peerError = placement.isPeer ? findPeerError(head) : undefined;
        if (peerError !== undefined) {
            return peerError;
        }
        const metadata = codec.parseResponse(head.status, head.headers);
        if (metadata.attemptId !== undefined && metadata.attemptId !== request.metadata.attemptId) {
            return createFailedOutcome(`the answer belongs to ${metadata.attemptId}`);
        }
        if (metadata.isMisdirected) {
            return {
                kind: "not-run",
                reason: "another instance has the address",
                cause: "unreachable",
                hasArrived: true,
            };
        }
        const namesLimit = metadata.limitPerS !== undefined || metadata.rejectionsPerS !== undefined;
        if (namesLimit || (metadata.isSigned && !metadata.isNotRun)) {
            placement.recordLimits(metadata);
        }
        if (metadata.isNotRun) {
            return { kind: "not-run", reason: `status ${head.status}`, cause: "full", hasArrived: true };
        }
        if (!metadata.isSigned) {
            return createFailedOutcome(`status ${head.status} without a signature`);
        }
        if (head.headers["content-encoding"] !== undefined) {
            return createFailedOutcome("the answer is encoded");
        }
        return NOT_RUN_STATUSES.has(head.status)
            ? createFailedOutcome(`status ${head.status} without a proof`)
            : undefined;
    }

    private async relayStream(head: ResponseHead): Promise<AttemptOutcome> {
        try {
            return await this.relayEvents(head);
        }
        finally {
            this.tryAddEventBytes(0);
        }
    }

    /** Charges what is held of an incomplete event; false when a long one has no room. */
    private tryAddEventBytes(bytes: number): boolean {
        const { account } = this.options.request;
        const growth = bytes - this.heldEventBytes;
        if (account === undefined || growth === 0) {
            return true;
        }
        if (growth < 0 || bytes <= SHORT_EVENT_BYTES) {
            account.set(account.bytes + growth);
        }
        else if (!account.tryAdd(growth)) {
            return false;
        }
        this.heldEventBytes = bytes;
        return true;
    }

    private async relayEvents(head: ResponseHead): Promise<AttemptOutcome> {
        const { relay, writer, placement, work } = this.options;
        let hasStarted = false;
        let isEventGapRecorded = false;
        for (;;) {
            const chunk = await this.exchange.readChunk();
            if (isExchangeFailure(chunk)) {
                return createFailedOutcome(chunk.reason, chunk.isConnectionLost);
            }
            if (chunk === undefined) {
                break;
            }
            this.recordProgress();
            if (!hasStarted) {
                hasStarted = true;
                placement.recordFirstEvent();
                relay.startResponse(head);
            }
            await this.write(measureWork(work, "relay", () => relay.push(chunk)));
            if (relay.isEventTooLong) {
                this.exchange.abort("an event is too long");
                return createFailedOutcome("an event is too long");
            }
            if (!this.tryAddEventBytes(relay.incompleteBytes)) {
                this.exchange.abort("an event has no room in memory");
                return createFailedOutcome("an event has no room in memory");
            }
            this.evidence.recordEvents(this.relayedEvents);
            if (!isEventGapRecorded && this.relayedEvents >= EARLY_EVENT_COUNT) {
                isEventGapRecorded = true;
                placement.recordEvents(this.relayedEvents);
            }
            await this.waitForTurn();
        }
        if (!hasStarted && head.endsWithConnection && !this.isResumed) {
            return createFailedOutcome("the connection ended before the first event", true);
        }
        if (!hasStarted) {
            relay.startResponse(head);
        }
        if (!relay.isBetweenEvents) {
            return createFailedOutcome("the stream ended within an event", head.endsWithConnection);
        }
        this.evidence.recordEnd(head);
        writer.finish();
        placement.recordEvents(this.relayedEvents);
        return { kind: "answered", status: head.status };
    }

    private async waitForTurn(): Promise<void> {
        const turn = this.options.relayPace?.waitForTurn();
        if (turn !== undefined) {
            this.exchange.pause();
            await turn;
            this.exchange.resume();
        }
    }

    private async relayBuffered(head: ResponseHead): Promise<AttemptOutcome> {
        const { writer, placement, request } = this.options;
        const { account } = request;
        if (writer.hasStarted) {
            this.exchange.abort("the response has started");
            return createFailedOutcome(`status ${head.status} after the response had started`);
        }
        const buffered = CompactBytes.create(UNPOOLED);
        for (;;) {
            const chunk = await this.exchange.readChunk();
            if (isExchangeFailure(chunk)) {
                return createFailedOutcome(chunk.reason, chunk.isConnectionLost);
            }
            if (chunk === undefined) {
                break;
            }
            this.recordProgress();
            const growth = buffered.computeGrowth(chunk.length);
            buffered.push(chunk);
            if (
                buffered.length > MAX_BUFFERED_BYTES || (growth > 0 && account?.tryAdd(growth) === false)
            ) {
                return this.relayUnbuffered(head, buffered.take());
            }
        }
        placement.recordFirstEvent();
        placement.recordResponse();
        this.evidence.recordEnd(head);
        const hasBody = request.method !== "HEAD" && !BODILESS_STATUSES.has(head.status);
        const body = buffered.take();
        const sendResponse = (): void => writer.sendComplete(head, body, hasBody);
        if (head.status >= HTTP_SERVER_ERROR) {
            return {
                kind: "failed",
                reason: `status ${head.status}`,
                status: head.status,
                isConnectionLost: false,
                forwardResponse: sendResponse,
            };
        }
        sendResponse();
        return { kind: "answered", status: head.status };
    }

    private async relayUnbuffered(head: ResponseHead, buffered: Buffer): Promise<AttemptOutcome> {
        const { writer } = this.options;
        writer.startStream(head);
        await this.write(writer.write(buffered));
        for (;;) {
            const chunk = await this.exchange.readChunk();
            if (isExchangeFailure(chunk)) {
                return createFailedOutcome(chunk.reason, chunk.isConnectionLost);
            }
            if (chunk === undefined) {
                writer.finish();
                return { kind: "answered", status: head.status };
            }
            this.recordProgress();
            await this.write(writer.write(chunk));
        }
    }

    private recordProgress(): void {
        this.progressAt = this.options.timers.now();
        this.endSilence();
        if (!this.options.placement.isPeer) {
            this.evidence.recordProgress(this.startedAt);
        }
    }

    /** Ends the wait for another instance, if any. Each call of `abort` creates an error with its stack, also the later ones. */
    private endSilence(): void {
        this.silence?.abort();
        this.silence = undefined;
    }

    /** True when the endpoint was asked to go on after an event, so that no event may be left. */
    private get isResumed(): boolean {
        const { relay, request } = this.options;
        return relay.lastEventId !== undefined || request.metadata.lastEventId !== undefined;
    }

    /** Number of events that this attempt has relayed. */
    private get relayedEvents(): number {
        return this.options.relay.eventCount - this.eventsBefore;
    }

    /**
     * Gives the exchange up when the instance sends nothing for too long and another one can take over. Until then the
     * instance may go on; without a successor, giving it up would cut the response.
     */
    private abortWhenSilent(): void {
        const { timers, request, isLast } = this.options;
        if (isLast) {
            return;
        }
        const { route } = request;
        const limitMs = route.kind === "stream"
            ? computeCallerTimeoutMs(request) * SILENCE_TIMEOUT_SHARE
            : Math.max(MIN_SILENCE_MS, SILENCE_TARGET_FACTOR * route.targetLatencyMs);
        const check = async (): Promise<void> => {
            if (this.isFinished || (this.measureSilence() >= limitMs && await this.tryReplace(limitMs))) {
                return;
            }
            timers.schedule(Math.max(MIN_SILENCE_MS, limitMs - this.measureSilence()), () => void check());
        };
        timers.schedule(limitMs, () => void check());
    }

    /** Aborts the exchange once another instance can take over, unless it makes progress meanwhile; true when it was aborted. */
    private async tryReplace(limitMs: number): Promise<boolean> {
        const { prepareRetry, confirmRetry } = this.options;
        const silence = new AbortController();
        this.silence = silence;
        const next = await prepareRetry(silence.signal);
        if (next === undefined) {
            return false;
        }
        const silentMs = this.measureSilence();
        if (this.isFinished || silentMs < limitMs || !confirmRetry(next)) {
            next.release(undefined, "the attempt before goes on");
            return false;
        }
        this.exchange.abort(`silent for ${Math.round(silentMs)} ms`);
        return true;
    }

    /** Returns how long the instance has sent nothing. Bytes that wait for a slow caller are not silence. */
    private measureSilence(): number {
        return this.exchange.hasChunk || this.isWriting ? 0 : this.options.timers.now() - this.progressAt;
    }

    /** Passes bytes on to the caller, who may be slow. */
    private async write(writing: Promise<void>): Promise<void> {
        const { timers, placement } = this.options;
        const startedAt = timers.now();
        this.isWriting = true;
        await writing;
        this.isWriting = false;
        this.progressAt = timers.now();
        if (this.progressAt - startedAt > SLOW_WRITE_MS) {
            placement.recordCallerWait();
        }
    }

    private createExchangeOutcome({ mayHaveRun, isConnectionLost, reason }: ExchangeFailure): AttemptOutcome {
        return mayHaveRun
            ? createFailedOutcome(reason, isConnectionLost)
            : { kind: "not-run", reason, cause: "unreachable", hasArrived: false };
    }

    /** Returns the outcome that placement records; undefined when a cancelled request says nothing about the instance. */
    private computeRequestOutcome(outcome: AttemptOutcome): RequestOutcome | "full" | undefined {
        const { request, timers } = this.options;
        const { cancelReason } = request.lifetime;
        if (cancelReason !== undefined) {
            const limitMs = cancelReason === "timeout"
                ? Math.min(
                    UNRESPONSIVE_MS,
                    (request.lifetime.deadlineAt - request.arrivedAt) * UNRESPONSIVE_TIMEOUT_SHARE,
                )
                : UNRESPONSIVE_MS;
            return outcome.kind === "failed" && timers.now() - this.progressAt > limitMs
                ? "failure"
                : undefined;
        }
        switch (outcome.kind) {
            case "answered":
                return "success";
            case "not-run":
                return outcome.cause === "request" ? undefined : outcome.cause;
            case "failed":
                return "failure";
        }
    }
}

const isSuccess = (status: number): boolean => status >= HTTP_OK && status < HTTP_REDIRECT;
