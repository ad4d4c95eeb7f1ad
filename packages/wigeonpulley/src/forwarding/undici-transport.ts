/** Transport over undici with one client per connection, so that the connection pool decides about every reuse. */
import type { Dispatcher } from "undici";
import type { Instance } from "../discovery/index.js";
import { describeCause } from "../errors/index.js";
import { waitForPendingInput } from "../http-connections/index.js";
import type { TimerService } from "../time/index.js";
import { ConnectionPool, type ConnectionPoolOptions } from "./connection-pool.js";
import type { EndpointConnection } from "./endpoint-connection.js";
import {
    EndpointExchange,
    EndpointTransport,
    type ExchangeFailure,
    type OutgoingRequest,
    type ResponseHead,
} from "./endpoint-transport.js";
import type { ParsedHeaders } from "./header-codec.js";
import { selectReasonPhrase } from "./reason-phrase.js";

const FIRST_FINAL_STATUS = 200;
/** Codes of errors that end a connection from the endpoint's side, as undici and Node.js report them. */
const CONNECTION_LOST_CODES = new Set(["UND_ERR_SOCKET", "ECONNRESET", "EPIPE"]);
/** Buffered bytes of a response above which reading from the endpoint pauses until a slow caller catches up. */
const HIGH_WATER_MARK_BYTES = 16_384;
/** Buffered chunks above which reading pauses: chunks of a few bytes cost far more than their bytes. */
const HIGH_WATER_MARK_CHUNKS = 512;
/** Time for which reading then pauses, so that an endpoint's tiny chunks leave the event loop to other requests. */
const CHUNK_PAUSE_MS = 10;
/** Interim responses to one request above which the endpoint is taken to send them without end. */
const MAX_INTERIM_RESPONSES = 32;

/** Transport over HTTP/1.1 connections. */
export class UndiciTransport extends EndpointTransport {
    private readonly pool: ConnectionPool;

    private constructor(private readonly options: ConnectionPoolOptions) {
        super();
        this.pool = ConnectionPool.create(options);
    }

    /** Creates a transport without connections. */
    static create(options: ConnectionPoolOptions): UndiciTransport {
        return new UndiciTransport(options);
    }

    override send(instance: Instance, request: OutgoingRequest): EndpointExchange {
        const connection = this.pool.acquire(instance, request.isAtMostOnce);
        return UndiciExchange.create(connection, request, this.options.timers, isComplete => {
            if (isComplete) {
                this.pool.release(instance, connection);
            }
            else {
                this.pool.reset(instance, connection);
            }
        });
    }

    override async open(instance: Instance): Promise<boolean> {
        const connection = this.pool.acquire(instance, true);
        if (!await connection.open()) {
            this.pool.reset(instance, connection);
            return false;
        }
        this.pool.keep(instance, connection);
        return true;
    }

    override close(): void {
        this.pool.close();
    }
}

/** One request on one connection. */
class UndiciExchange extends EndpointExchange {
    private controller: Dispatcher.DispatchController | undefined;
    private head: ResponseHead | undefined;
    private failure: ExchangeFailure | undefined;
    private isComplete = false;
    private isReleased = false;
    /** True while reading pauses because of what is buffered. */
    private isPaused = false;
    /** True while the reader of this exchange has paused it. */
    private isHeld = false;
    private interimResponses = 0;
    private bufferedBytes = 0;
    private chunks: Buffer[] = [];
    private wake: (() => void) | undefined;

    private constructor(
        private readonly connection: EndpointConnection,
        private readonly timers: TimerService,
        private readonly release: (isComplete: boolean) => void,
    ) {
        super();
    }

    static create(
        connection: EndpointConnection,
        request: OutgoingRequest,
        timers: TimerService,
        release: (isComplete: boolean) => void,
    ): UndiciExchange {
        const exchange = new UndiciExchange(connection, timers, release);
        connection.client.dispatch(
            {
                method: request.method as Dispatcher.HttpMethod,
                path: request.path,
                headers: [...request.headers],
                body: request.body,
            },
            exchange.createHandler(),
        );
        return exchange;
    }

    override async readHead(): Promise<ResponseHead | ExchangeFailure> {
        while (this.head === undefined && this.failure === undefined) {
            await this.waitForChange();
        }
        return this.head ?? this.failure
            ?? { mayHaveRun: true, isConnectionLost: false, reason: "no answer" };
    }

    override async readChunk(): Promise<Buffer | undefined | ExchangeFailure> {
        while (this.chunks.length === 0 && !this.isComplete && this.failure === undefined) {
            await this.waitForChange();
        }
        const { chunks } = this;
        if (chunks.length === 0) {
            if (!this.isComplete) {
                return this.failure;
            }
            this.releaseOnce(true);
            return undefined;
        }
        this.chunks = [];
        this.bufferedBytes = 0;
        if (this.isPaused) {
            void this.resumeReading(chunks.length);
        }
        const [first] = chunks;
        return chunks.length === 1 ? first : Buffer.concat(chunks);
    }

    override get hasChunk(): boolean {
        return this.chunks.length > 0;
    }

    override abort(reason: string): void {
        if (this.isComplete) {
            this.releaseOnce(false);
            return;
        }
        this.fail(reason, false);
    }

    override pause(): void {
        this.isHeld = true;
        this.connection.pause();
    }

    override resume(): void {
        this.isHeld = false;
        this.resumeConnection();
    }

    /** Reads on unless the connection already serves another request, or something else still holds this exchange. */
    private resumeConnection(): void {
        if (!this.isReleased && !this.isPaused && !this.isHeld) {
            this.connection.resume();
        }
    }

    private pauseReading(): void {
        this.isPaused = true;
        this.connection.pause();
    }

    /** Resumes reading when other connections have had their turn, and later when the endpoint sends tiny chunks. */
    private async resumeReading(chunkCount: number): Promise<void> {
        this.isPaused = false;
        await (chunkCount < HIGH_WATER_MARK_CHUNKS
            ? waitForPendingInput()
            : this.timers.sleep(CHUNK_PAUSE_MS));
        this.resumeConnection();
    }

    private createHandler(): Dispatcher.DispatchHandler {
        return {
            onRequestStart: controller => {
                if (this.controller !== undefined || this.failure !== undefined) {
                    // undici is about to send the request a second time.
                    controller.abort(new Error("the request was already sent"));
                    return;
                }
                this.controller = controller;
            },
            onResponseStart: (controller, status, headers, statusText) => {
                this.connection.recordProgress();
                if (status >= FIRST_FINAL_STATUS) {
                    this.head = {
                        status,
                        reasonPhrase: selectReasonPhrase(status, statusText ?? ""),
                        headers: headers as ParsedHeaders,
                        endsWithConnection: headers["content-length"] === undefined
                            && headers["transfer-encoding"] === undefined,
                    };
                    this.notify();
                    return;
                }
                this.interimResponses += 1;
                if (this.interimResponses > MAX_INTERIM_RESPONSES) {
                    this.abort("too many interim responses");
                }
            },
            onResponseData: (controller, chunk) => {
                this.connection.recordProgress();
                this.chunks.push(chunk);
                this.bufferedBytes += chunk.length;
                if (
                    this.bufferedBytes > HIGH_WATER_MARK_BYTES || this.chunks.length >= HIGH_WATER_MARK_CHUNKS
                ) {
                    this.pauseReading();
                }
                this.notify();
            },
            onResponseEnd: () => {
                if (this.connection.failure !== undefined) {
                    this.fail(describeCause(this.connection.failure), true);
                }
                else if (this.failure === undefined) {
                    this.isComplete = true;
                    this.notify();
                }
            },
            onResponseError: (controller, cause) => this.fail(describeCause(cause), isConnectionLoss(cause)),
        };
    }

    private fail(reason: string, isConnectionLost: boolean): void {
        if (this.failure === undefined && !this.isComplete) {
            const mayHaveRun = this.controller !== undefined;
            this.failure = { mayHaveRun, isConnectionLost: mayHaveRun && isConnectionLost, reason };
            this.releaseOnce(false);
            this.notify();
        }
    }

    private releaseOnce(isComplete: boolean): void {
        if (!this.isReleased) {
            this.isReleased = true;
            this.connection.resume();
            this.release(isComplete);
        }
    }

    private waitForChange(): Promise<void> {
        return new Promise(resolve => {
            this.wake = resolve;
        });
    }

    private notify(): void {
        this.wake?.();
        this.wake = undefined;
    }
}

const isConnectionLoss = (cause: Error): boolean =>
    "code" in cause && typeof cause.code === "string" && CONNECTION_LOST_CODES.has(cause.code);
