/** One connection to an instance: an undici client that sends one request at a time. */
import { Socket } from "node:net";
import { type buildConnector, Client } from "undici";
import type { Instance } from "../discovery/index.js";
import type { TimerService } from "../time/index.js";

/** How connections are opened. */
export interface ConnectionOptions {
    readonly timers: TimerService;
    readonly connectTimeoutMs: number;
}

const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;

/** Bytes that the response parser gets at a time. */
const MAX_READ_BYTES = 2_048;
/** Bytes since the parser last found anything after which what comes is no response; more than the longest head. */
const MAX_FRUITLESS_BYTES = 65_536;

/**
 * Socket that gives its bytes to undici's parser in small parts, and none while it is held or once it is destroyed. The
 * parser goes through all that it gets, also after it has refused a response, at the cost of an error for each further
 * header. Its own way to pause fails an assertion, which ends the process, when the connection ends meanwhile.
 */
class EndpointSocket extends Socket {
    private isHeld = false;
    private fruitlessBytes = 0;

    override read(size?: number): unknown {
        if (this.fruitlessBytes > MAX_FRUITLESS_BYTES) {
            this.destroy(new Error("the bytes are no response"));
        }
        if (this.isHeld || this.destroyed) {
            // eslint-disable-next-line no-restricted-syntax -- Node.js has null for a stream without data
            return null;
        }
        const bytes: unknown = super.read(
            size ?? (this.readableLength > MAX_READ_BYTES ? MAX_READ_BYTES : undefined),
        );
        this.fruitlessBytes += bytes instanceof Buffer ? bytes.length : 0;
        return bytes;
    }

    /** Records that the parser has found the head of a response or a part of its body. */
    recordProgress(): void {
        this.fruitlessBytes = 0;
    }

    hold(): void {
        this.isHeld = true;
    }

    release(): void {
        if (this.isHeld) {
            this.isHeld = false;
            this.emit("readable");
        }
    }
}

/** One connection to an instance. */
export class EndpointConnection {
    /** Monotonic time of the end of its last request, in milliseconds. */
    idleSince = 0;
    private socket: EndpointSocket | undefined;
    /** Socket that was opened before there was a request. */
    private openedSocket: EndpointSocket | undefined;
    private socketError: Error | undefined;
    readonly client: Client;

    private constructor(private readonly instance: Instance, private readonly options: ConnectionOptions) {
        this.client = new Client(`http://${instance.host}:${instance.port}`, {
            connect: (target, callback) => this.connect(callback),
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Creates a connection that opens with its first request. */
    static create(instance: Instance, options: ConnectionOptions): EndpointConnection {
        return new EndpointConnection(instance, options);
    }

    /** The error that ended the socket. undici takes a reset for the end of a response without a length. */
    get failure(): Error | undefined {
        return this.socketError;
    }

    /** True while another request may use the connection. */
    get isOpen(): boolean {
        return !this.client.destroyed && !this.client.closed && this.socketError === undefined;
    }

    /** Records that bytes of the connection were part of a response. */
    recordProgress(): void {
        this.socket?.recordProgress();
    }

    /** Stops reading after the bytes that are being parsed, so that the endpoint is held back by flow control. */
    pause(): void {
        this.socket?.hold();
    }

    /** Reads again. */
    resume(): void {
        this.socket?.release();
    }

    /**
     * Resets the connection of a request that has no complete response. After an ordinary close, bytes that a broken link
     * holds up would still arrive once it heals, and the endpoint would begin to work for a caller that has left.
     */
    reset(): void {
        if (this.socket?.connecting === false) {
            this.socket.resetAndDestroy();
        }
        else {
            this.socket?.destroy();
        }
        this.destroy();
    }

    /** Closes the connection. */
    destroy(): void {
        this.openedSocket?.destroy();
        // A client that is destroyed twice rejects; nothing is left to clean up then.
        this.client.destroy().catch(() => undefined);
    }

    /** Opens the socket unless it is open; resolves with false when that fails or takes too long. */
    open(): Promise<boolean> {
        if (this.socket !== undefined) {
            return Promise.resolve(this.isOpen && !this.socket.connecting);
        }
        return new Promise(resolve =>
            this.openSocket((failure, socket) => {
                this.openedSocket = socket instanceof EndpointSocket ? socket : undefined;
                resolve(this.openedSocket !== undefined);
            })
        );
    }

    private connect(callback: buildConnector.Callback): void {
        const { openedSocket } = this;
        this.openedSocket = undefined;
        if (openedSocket?.destroyed === false) {
            // undici would miss a callback that comes before its call of this function ends.
            // eslint-disable-next-line no-restricted-syntax -- undici's callback wants null
            queueMicrotask(() => callback(null, openedSocket));
        }
        else {
            this.openSocket(callback);
        }
    }

    /** Opens a socket; the timeout runs on this VM's timer service. */
    private openSocket(callback: buildConnector.Callback): void {
        const { timers, connectTimeoutMs } = this.options;
        const socket = new EndpointSocket();
        socket.setNoDelay(true);
        socket.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY_MS);
        socket.connect({ host: this.instance.host, port: this.instance.port });
        this.socket = socket;
        const cancelTimeout = timers.schedule(
            connectTimeoutMs,
            () => socket.destroy(new Error("connect timeout")),
        );
        socket.once("connect", () => {
            cancelTimeout();
            socket.off("error", failConnect);
            socket.once("error", failure => {
                this.socketError = failure;
            });
            socket.once("end", () => {
                // Node reports a reset that arrives with the last bytes as an ordinary end. Only a connection that was
                // closed properly still has a remote address then.
                if (socket.remoteAddress === undefined) {
                    this.socketError = new Error("the connection was reset");
                }
            });
            // eslint-disable-next-line no-restricted-syntax -- undici's callback wants null
            callback(null, socket);
        });
        const failConnect = (failure: Error): void => {
            cancelTimeout();
            // eslint-disable-next-line no-restricted-syntax -- undici's callback wants null
            callback(failure, null);
        };
        socket.once("error", failConnect);
    }
}
