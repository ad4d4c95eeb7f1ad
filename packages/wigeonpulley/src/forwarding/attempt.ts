/** One send of a request to one instance, and what became of it. */
import type { Placement, RequestOutcome } from "../placement/index.js";
import type { TimerService } from "../time/index.js";
import {
    type EndpointExchange,
    type EndpointTransport,
    type ExchangeFailure,
    isExchangeFailure,
    type ResponseHead,
} from "./endpoint-transport.js";
import type { HeaderCodec } from "./header-codec.js";
import { listForwardedRequestHeaders } from "./hop-by-hop.js";
import type { ResponseWriter } from "./response-writer.js";
import { computeCallerTimeoutMs, isRetryable, type RoutedRequest } from "./routed-request.js";
import type { StreamRelay } from "./stream-relay.js";

/** How an attempt ended. */
export type AttemptOutcome =
    | { readonly kind: "answered"; readonly status: number; }
    /** The endpoint provably did not run the request. */
    | {
        readonly kind: "not-run";
        readonly reason: string;
        /** True when it was refused for lack of room, false when the instance could not be reached. */
        readonly isFull: boolean;
    }
    | {
        readonly kind: "failed";
        readonly reason: string;
        readonly status: number;
        /** Passes the endpoint's own failure on, when it is one. */
        readonly forwardResponse: (() => void) | undefined;
    };

/** What an attempt needs. */
export interface AttemptOptions {
    readonly timers: TimerService;
    readonly codec: HeaderCodec;
    readonly transport: EndpointTransport;
    readonly request: RoutedRequest;
    readonly writer: ResponseWriter;
    readonly relay: StreamRelay;
    readonly placement: Placement;
}

/** Longest answer that is collected before it is passed on, in bytes; a longer one is passed on as it comes. */
const COLLECT_BYTES = 262_144;
/** Times the target latency after which a repeatable request is tried elsewhere. */
const SILENCE_TARGETS = 3;
const SILENCE_SHORTEST_MS = 400;
/** Share of the caller's patience after which a silent stream is taken elsewhere. */
const SILENCE_PATIENCE_SHARE = 0.5;
/** Silence from which an answer that never came counts against the instance, in milliseconds. */
const MUTE_MS = 1_500;
/** Events after which a stream tells how fast its engine is, before its end. */
const EARLY_EVENTS = 8;
const HTTP_OK = 200;
const HTTP_REDIRECT = 300;
const HTTP_SERVER_ERROR = 500;
/** Statuses that promise a caller that its request did not run. */
const PROMISES = new Set([408, 421, 429, 503]);
const BODILESS = new Set([204, 304]);

/** One attempt. */
export class Attempt {
    private readonly exchange: EndpointExchange;
    private readonly startedAt: number;
    private progressAt: number;
    private isOver = false;

    private constructor(private readonly options: AttemptOptions) {
        this.startedAt = options.timers.now();
        this.progressAt = this.startedAt;
        this.exchange = this.send();
    }

    /** Sends the request. */
    static create(options: AttemptOptions): Attempt {
        return new Attempt(options);
    }

    /** Follows the exchange to its end. */
    async run(): Promise<AttemptOutcome> {
        const { placement, request } = this.options;
        const unsubscribe = request.lifetime.subscribe(reason => this.exchange.abort(reason));
        this.watchProgress();
        const outcome = await this.follow();
        this.isOver = true;
        unsubscribe();
        placement.release(this.readEvidence(outcome), "reason" in outcome ? outcome.reason : "");
        return outcome;
    }

    private send(): EndpointExchange {
        const { codec, transport, request, placement, relay } = this.options;
        const headers = listForwardedRequestHeaders(
            request.rawHeaders,
            name => codec.isReserved(name) || (relay.lastEventId !== undefined && name === "last-event-id"),
        );
        headers.push(...codec.createDispatchHeaders({
            deadlineMs: Math.max(1, Math.floor(request.lifetime.remainingMs)),
            instanceId: placement.instance.id,
            workspace: request.workspace?.name,
            lastEventId: relay.lastEventId,
        }));
        return transport.send(placement.instance, {
            method: request.method,
            path: request.path,
            headers,
            body: request.body,
            isAtMostOnce: !isRetryable(request.route),
        });
    }

    private async follow(): Promise<AttemptOutcome> {
        const head = await this.exchange.readHead();
        if (isExchangeFailure(head)) {
            return this.createFailure(head);
        }
        this.progressAt = this.options.timers.now();
        const problem = this.checkHead(head);
        if (problem !== undefined) {
            this.exchange.abort("the answer can't be used");
            return problem;
        }
        return this.options.request.route.kind === "stream" && isSuccess(head.status)
            ? this.relayStream(head)
            : this.relayWhole(head);
    }

    /** What makes an answer unusable; undefined for an answer to pass on. */
    private checkHead(head: ResponseHead): AttemptOutcome | undefined {
        const { codec, request } = this.options;
        const facts = codec.parseResponse(head.status, head.headers);
        if (facts.attemptId !== undefined && facts.attemptId !== request.metadata.attemptId) {
            return createFailed(`the answer belongs to ${facts.attemptId}`);
        }
        if (facts.isMisdirected) {
            return { kind: "not-run", reason: "another instance has the address", isFull: false };
        }
        if (facts.isNotRun) {
            return { kind: "not-run", reason: `status ${head.status}`, isFull: true };
        }
        if (!facts.isSigned) {
            return createFailed(`status ${head.status} without a signature`);
        }
        if (head.headers["content-encoding"] !== undefined) {
            return createFailed("the answer is encoded");
        }
        return PROMISES.has(head.status) ? createFailed(`status ${head.status} without a proof`) : undefined;
    }

    private async relayStream(head: ResponseHead): Promise<AttemptOutcome> {
        const { relay, writer, placement, timers } = this.options;
        let hasBegun = false;
        let isPaceKnown = false;
        const eventsBefore = relay.eventCount;
        for (;;) {
            const chunk = await this.exchange.readChunk();
            if (isExchangeFailure(chunk)) {
                return createFailed(chunk.reason);
            }
            if (chunk === undefined) {
                break;
            }
            this.progressAt = timers.now();
            if (!hasBegun) {
                hasBegun = true;
                placement.recordFirstEvent();
                relay.startResponse(head);
            }
            await relay.push(chunk);
            if (!isPaceKnown && relay.eventCount - eventsBefore >= EARLY_EVENTS) {
                isPaceKnown = true;
                placement.recordEvents(relay.eventCount - eventsBefore);
            }
        }
        if (!hasBegun) {
            relay.startResponse(head);
        }
        if (!relay.isBetweenEvents) {
            return createFailed("the stream ended within an event");
        }
        writer.finish();
        placement.recordEvents(relay.eventCount - eventsBefore);
        return { kind: "answered", status: head.status };
    }

    private async relayWhole(head: ResponseHead): Promise<AttemptOutcome> {
        const { writer, placement, request } = this.options;
        const chunks: Buffer[] = [];
        let collected = 0;
        for (;;) {
            const chunk = await this.exchange.readChunk();
            if (isExchangeFailure(chunk)) {
                return createFailed(chunk.reason);
            }
            if (chunk === undefined) {
                break;
            }
            this.progressAt = this.options.timers.now();
            chunks.push(chunk);
            collected += chunk.length;
            if (collected > COLLECT_BYTES) {
                return this.relayLong(head, chunks);
            }
        }
        placement.recordFirstEvent();
        placement.recordResponse();
        const hasBody = request.method !== "HEAD" && !BODILESS.has(head.status);
        const sendAnswer = (): void => writer.sendComplete(head, Buffer.concat(chunks), hasBody);
        if (head.status >= HTTP_SERVER_ERROR) {
            return {
                kind: "failed",
                reason: `status ${head.status}`,
                status: head.status,
                forwardResponse: sendAnswer,
            };
        }
        sendAnswer();
        return { kind: "answered", status: head.status };
    }

    private async relayLong(head: ResponseHead, collected: readonly Buffer[]): Promise<AttemptOutcome> {
        const { writer } = this.options;
        writer.startStream(head);
        await writer.write(Buffer.concat(collected));
        for (;;) {
            const chunk = await this.exchange.readChunk();
            if (isExchangeFailure(chunk)) {
                return createFailed(chunk.reason);
            }
            if (chunk === undefined) {
                writer.finish();
                return { kind: "answered", status: head.status };
            }
            this.progressAt = this.options.timers.now();
            await writer.write(chunk);
        }
    }

    /** Gives a repeatable request up at an instance that has gone silent. */
    private watchProgress(): void {
        const { timers, request } = this.options;
        if (!isRetryable(request.route) || request.route.maxAttempts <= 1) {
            return;
        }
        const { route } = request;
        const limitMs = route.kind === "stream"
            ? computeCallerTimeoutMs(request) * SILENCE_PATIENCE_SHARE
            : Math.max(SILENCE_SHORTEST_MS, SILENCE_TARGETS * route.targetLatencyMs);
        const check = (): void => {
            // Bytes that wait for a slow caller are no silence of the endpoint.
            const silentMs = this.exchange.hasChunk ? 0 : timers.now() - this.progressAt;
            if (this.isOver) {
                return;
            }
            if (silentMs >= limitMs) {
                this.exchange.abort(`silent for ${Math.round(silentMs)} ms`);
                return;
            }
            timers.schedule(limitMs - silentMs, check);
        };
        timers.schedule(limitMs, check);
    }

    private createFailure({ mayHaveRun, reason }: ExchangeFailure): AttemptOutcome {
        return mayHaveRun ? createFailed(reason) : { kind: "not-run", reason, isFull: false };
    }

    private readEvidence(outcome: AttemptOutcome): RequestOutcome | "full" | undefined {
        const { request, timers } = this.options;
        if (request.lifetime.cancelReason !== undefined) {
            const isMute = outcome.kind === "failed" && timers.now() - this.progressAt > MUTE_MS;
            return isMute ? "failure" : undefined;
        }
        switch (outcome.kind) {
            case "answered":
                return "success";
            case "not-run":
                return outcome.isFull ? "full" : "unreachable";
            case "failed":
                return "failure";
        }
    }
}

const createFailed = (reason: string): AttemptOutcome => ({
    kind: "failed",
    reason,
    status: 0,
    forwardResponse: undefined,
});

const isSuccess = (status: number): boolean => status >= HTTP_OK && status < HTTP_REDIRECT;
