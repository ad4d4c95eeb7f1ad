/** Connections to instances with undici: one client a connection, so that each reuse is this VM's decision. */
import { connect, type Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";
import type { Instance } from "../discovery/index.js";
import { describeCause } from "../errors/index.js";
import type { TimerService } from "../time/index.js";
import {
    type AnswerHead,
    EndpointExchange,
    EndpointTransport,
    type ExchangeFailure,
    type OutgoingRequest,
} from "./endpoint-transport.js";
import type { ParsedHeaders } from "./header-codec.js";

/** Limits on connections to endpoints. */
export interface TransportOptions {
    readonly timers: TimerService;
    /** Time for a connection, in milliseconds. */
    readonly connectMs: number;
    /** Longest idle time of a connection that a repeatable request may use, in milliseconds. */
    readonly idleMs: number;
    /** Longest idle time of a connection that a request which runs once may use, in milliseconds. */
    readonly onceIdleMs: number;
}

const FIRST_FINAL_STATUS = 200;
const KEEP_ALIVE_PROBE_MS = 1_000;
/** Bytes of an answer that wait for a slow caller before reading from the endpoint pauses. */
const HIGH_WATER_BYTES = 65_536;

/** One connection to an instance. */
class EndpointConnection {
    /** Monotonic time of the end of its last request, in milliseconds. */
    idleSince = 0;
    private socketFailure: Error | undefined;
    readonly client: Client;

    private constructor(instance: Instance, private readonly options: TransportOptions) {
        this.client = new Client(`http://${instance.host}:${instance.port}`, {
            connect: (target, callback) => this.connect(target, callback),
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Creates a connection that opens with its first request. */
    static create(instance: Instance, options: TransportOptions): EndpointConnection {
        return new EndpointConnection(instance, options);
    }

    /** The error that ended the socket. The library takes a reset for the end of an answer without a length. */
    get failure(): Error | undefined {
        return this.socketFailure;
    }

    /** True while another request may use it. */
    get isOpen(): boolean {
        return !this.client.destroyed && !this.client.closed && this.socketFailure === undefined;
    }

    /** Closes the connection. */
    destroy(): void {
        // A client that is destroyed twice rejects; there is nothing left to do for it.
        this.client.destroy().catch(() => undefined);
    }

    /** Opens the socket with a timeout of this VM's own timer service. */
    private connect(target: buildConnector.Options, callback: buildConnector.Callback): void {
        const { timers, connectMs } = this.options;
        const socket: Socket = connect({
            host: target.hostname,
            port: Number(target.port),
            noDelay: true,
            keepAlive: true,
            keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
        });
        const cancelTimeout = timers.schedule(connectMs, () => socket.destroy(new Error("connect timeout")));
        socket.once("connect", () => {
            cancelTimeout();
            socket.off("error", failConnect);
            socket.once("error", failure => {
                this.socketFailure = failure;
            });
            socket.once("end", () => {
                // A reset that arrives with the last bytes is reported as an ordinary end. Only a connection that was
                // closed in order still knows its peer then.
                if (socket.remoteAddress === undefined) {
                    this.socketFailure = new Error("the connection was reset");
                }
            });
            // eslint-disable-next-line no-restricted-syntax -- the library's callback wants null
            callback(null, socket);
        });
        const failConnect = (failure: Error): void => {
            cancelTimeout();
            // eslint-disable-next-line no-restricted-syntax -- the library's callback wants null
            callback(failure, null);
        };
        socket.once("error", failConnect);
    }
}

/** Transport over TCP. */
export class UndiciTransport extends EndpointTransport {
    private readonly idle = new Map<string, EndpointConnection[]>();

    private constructor(private readonly options: TransportOptions) {
        super();
    }

    /** Creates a transport without connections. */
    static create(options: TransportOptions): UndiciTransport {
        return new UndiciTransport(options);
    }

    override send(instance: Instance, request: OutgoingRequest): EndpointExchange {
        const connection = this.takeIdle(instance, request.isOnce)
            ?? EndpointConnection.create(instance, this.options);
        return UndiciExchange.create(connection, request, isReusable => {
            if (isReusable) {
                this.keepIdle(instance, connection);
            }
            else {
                connection.destroy();
            }
        });
    }

    override close(): void {
        this.idle.forEach(connections => connections.forEach(connection => connection.destroy()));
        this.idle.clear();
    }

    private takeIdle(instance: Instance, isOnce: boolean): EndpointConnection | undefined {
        const connections = this.idle.get(createKey(instance)) ?? [];
        const now = this.options.timers.now();
        const oldest = now - this.options.idleMs;
        while ((connections[0]?.idleSince ?? now) < oldest) {
            connections.shift()?.destroy();
        }
        if (isOnce && (connections.at(-1)?.idleSince ?? now) < now - this.options.onceIdleMs) {
            return undefined;
        }
        const connection = connections.pop();
        return connection?.isOpen === true ? connection : undefined;
    }

    private keepIdle(instance: Instance, connection: EndpointConnection): void {
        const key = createKey(instance);
        const connections = this.idle.get(key) ?? [];
        this.idle.set(key, connections);
        connection.idleSince = this.options.timers.now();
        connections.push(connection);
    }
}

const createKey = ({ id, host, port, bornMs }: Instance): string => `${id} ${host}:${port} ${bornMs}`;

/** One request on one client. */
class UndiciExchange extends EndpointExchange {
    private controller: Dispatcher.DispatchController | undefined;
    private head: AnswerHead | undefined;
    private failure: ExchangeFailure | undefined;
    private isComplete = false;
    private isReleased = false;
    private waitingBytes = 0;
    private readonly chunks: Buffer[] = [];
    private wake: (() => void) | undefined;

    private constructor(
        private readonly connection: EndpointConnection,
        private readonly release: (isReusable: boolean) => void,
    ) {
        super();
    }

    static create(
        connection: EndpointConnection,
        request: OutgoingRequest,
        release: (isReusable: boolean) => void,
    ): UndiciExchange {
        const exchange = new UndiciExchange(connection, release);
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

    override async readHead(): Promise<AnswerHead | ExchangeFailure> {
        while (this.head === undefined && this.failure === undefined) {
            await this.waitForChange();
        }
        return this.head ?? this.failure ?? { mayHaveRun: true, reason: "no answer" };
    }

    override async readChunk(): Promise<Buffer | undefined | ExchangeFailure> {
        while (this.chunks.length === 0 && !this.isComplete && this.failure === undefined) {
            await this.waitForChange();
        }
        const chunk = this.chunks.shift();
        if (chunk === undefined) {
            return this.isComplete ? undefined : this.failure;
        }
        this.waitingBytes -= chunk.length;
        if (this.waitingBytes <= HIGH_WATER_BYTES && this.controller?.paused === true) {
            this.controller.resume();
        }
        return chunk;
    }

    override get hasChunk(): boolean {
        return this.chunks.length > 0;
    }

    override abort(reason: string): void {
        if (!this.isComplete) {
            this.fail(reason);
        }
    }

    private createHandler(): Dispatcher.DispatchHandler {
        return {
            onRequestStart: controller => {
                if (this.controller !== undefined || this.failure !== undefined) {
                    // The library would send the request a second time.
                    controller.abort(new Error("the request was already sent"));
                    return;
                }
                this.controller = controller;
            },
            onResponseStart: (controller, status, headers, statusText) => {
                if (status >= FIRST_FINAL_STATUS) {
                    this.head = { status, statusText: statusText ?? "", headers: headers as ParsedHeaders };
                    this.notify();
                }
            },
            onResponseData: (controller, chunk) => {
                this.chunks.push(chunk);
                this.waitingBytes += chunk.length;
                if (this.waitingBytes > HIGH_WATER_BYTES) {
                    controller.pause();
                }
                this.notify();
            },
            onResponseEnd: () => {
                if (this.connection.failure !== undefined) {
                    this.fail(describeCause(this.connection.failure));
                }
                else if (this.failure === undefined) {
                    this.isComplete = true;
                    this.releaseOnce(true);
                    this.notify();
                }
            },
            onResponseError: (controller, cause) => this.fail(describeCause(cause)),
        };
    }

    private fail(reason: string): void {
        if (this.failure === undefined && !this.isComplete) {
            this.failure = { mayHaveRun: this.controller !== undefined, reason };
            this.releaseOnce(false);
            this.notify();
        }
    }

    private releaseOnce(isReusable: boolean): void {
        if (!this.isReleased) {
            this.isReleased = true;
            this.release(isReusable);
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
