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

interface IdleConnection {
    readonly client: Client;
    readonly idleSince: number;
}

/** Opens sockets with a timeout of this VM's own timer service. */
const createConnector = ({ timers, connectMs }: TransportOptions): buildConnector.connector => (options, callback) => {
    let settled = false;
    const socket: Socket = connect({
        host: options.hostname,
        port: Number(options.port),
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    });
    const settle = (failure: Error | undefined): void => {
        if (settled) {
            return;
        }
        settled = true;
        cancelTimeout();
        if (failure === undefined) {
            // eslint-disable-next-line no-restricted-syntax -- the library's callback wants null
            callback(null, socket);
        }
        else {
            socket.destroy();
            // eslint-disable-next-line no-restricted-syntax -- the library's callback wants null
            callback(failure, null);
        }
    };
    const cancelTimeout = timers.schedule(connectMs, () => settle(new Error("connect timeout")));
    socket.once("connect", () => settle(undefined));
    socket.once("error", settle);
    return socket;
};

/** Transport over TCP. */
export class UndiciTransport extends EndpointTransport {
    private readonly idle = new Map<string, IdleConnection[]>();
    private readonly connector: buildConnector.connector;

    private constructor(private readonly options: TransportOptions) {
        super();
        this.connector = createConnector(options);
    }

    /** Creates a transport without connections. */
    static create(options: TransportOptions): UndiciTransport {
        return new UndiciTransport(options);
    }

    override send(instance: Instance, request: OutgoingRequest): EndpointExchange {
        const client = this.takeIdle(instance, request.isOnce) ?? this.open(instance);
        return UndiciExchange.create(client, request, isReusable => {
            if (isReusable) {
                this.keepIdle(instance, client);
            }
            else {
                client.destroy().catch(ignoreDestroyed);
            }
        });
    }

    override closeIdle(instanceId: string): void {
        for (const [key, connections] of this.idle) {
            if (key.startsWith(`${instanceId} `)) {
                connections.forEach(({ client }) => client.destroy().catch(ignoreDestroyed));
                this.idle.delete(key);
            }
        }
    }

    override close(): void {
        this.idle.forEach(connections =>
            connections.forEach(({ client }) => client.destroy().catch(ignoreDestroyed))
        );
        this.idle.clear();
    }

    private open(instance: Instance): Client {
        return new Client(`http://${instance.host}:${instance.port}`, {
            connect: this.connector,
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    private takeIdle(instance: Instance, isOnce: boolean): Client | undefined {
        const connections = this.idle.get(createKey(instance)) ?? [];
        const oldest = this.options.timers.now() - (isOnce ? this.options.onceIdleMs : this.options.idleMs);
        while (connections.length > 0) {
            const last = connections.at(-1);
            if (last === undefined || (isOnce && last.idleSince < oldest)) {
                return undefined;
            }
            connections.pop();
            if (last.idleSince >= oldest && !last.client.destroyed && !last.client.closed) {
                return last.client;
            }
            last.client.destroy().catch(ignoreDestroyed);
        }
        return undefined;
    }

    private keepIdle(instance: Instance, client: Client): void {
        const key = createKey(instance);
        const connections = this.idle.get(key) ?? [];
        this.idle.set(key, connections);
        connections.push({ client, idleSince: this.options.timers.now() });
    }
}

const createKey = ({ id, host, port, bornMs }: Instance): string => `${id} ${host}:${port} ${bornMs}`;

/** A client that is destroyed twice rejects; there is nothing left to do for it. */
const ignoreDestroyed = (): void => undefined;

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

    private constructor(private readonly release: (isReusable: boolean) => void) {
        super();
    }

    static create(
        client: Client,
        request: OutgoingRequest,
        release: (isReusable: boolean) => void,
    ): UndiciExchange {
        const exchange = new UndiciExchange(release);
        client.dispatch(
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
                if (this.failure === undefined) {
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
