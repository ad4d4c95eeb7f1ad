/** Input of connections to the HTTP servers of Node.js, which parses it in parts that an `InputScheduler` allows. */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { countOpenResponses } from "../http-connections/index.js";
import { type InputScheduler, InputSource } from "./input-scheduler.js";

/** Work of a request beside its header lines: what admitting and answering it costs at least, in callbacks. */
const REQUEST_WORK = 50;
/** Bytes whose parsing and copying costs as much as a callback. */
const BYTES_PER_CALLBACK = 4_096;
const LINE_FEED = 10;

/** Input of one connection. */
export class ConnectionInput extends InputSource {
    private callbacks = 0;
    /** True while the HTTP server accepts no input because what it has parsed is not read. */
    private isPaused = false;
    private message: IncomingMessage | undefined;

    private constructor(private readonly socket: Socket, private readonly scheduler: InputScheduler) {
        super();
        // A connection with this listener hands its input out only by read(), which passes it to the parser of the server.
        socket.on("readable", () => this.handleReadable());
        socket.once("close", () => scheduler.remove(this));
        // The server pauses and resumes the flow of the connection, which read() doesn't heed.
        socket.pause = () => {
            this.isPaused = true;
            return socket;
        };
        socket.resume = () => {
            this.isPaused = false;
            this.readOn();
            return socket;
        };
    }

    /** Takes over the reading of a connection that an HTTP server has just accepted. */
    static create(socket: Socket, scheduler: InputScheduler): ConnectionInput {
        return new ConnectionInput(socket, scheduler);
    }

    /** Schedules the parsing of the input of all connections that a server accepts. */
    static watch(server: Server, scheduler: InputScheduler): void {
        const inputBySocket = new WeakMap<Socket, ConnectionInput>();
        server.on(
            "connection",
            socket => inputBySocket.set(socket, ConnectionInput.create(socket, scheduler)),
        );
        server.prependListener("request", (message: IncomingMessage) => {
            inputBySocket.get(message.socket)?.observeMessage(message);
        });
    }

    override get hasInput(): boolean {
        return !this.isPaused && !this.socket.destroyed && this.socket.readableLength > 0;
    }

    override parse(maxBytes: number): number {
        const { socket, message } = this;
        const isBodyOfKnownLength = message?.complete === false && !isChunked(message);
        this.callbacks = 0;
        const part = socket.read(Math.min(maxBytes, socket.readableLength)) as Buffer;
        if (socket.readableLength === 0) {
            this.readOn();
        }
        // Lines of heads, trailers and chunk extensions cause no callback until their end.
        const callbacks = this.callbacks === 0 && !isBodyOfKnownLength ? countLines(part) : this.callbacks;
        return Math.max(1, callbacks + part.length / BYTES_PER_CALLBACK);
    }

    private handleReadable(): void {
        if (this.message?.complete !== false && countOpenResponses(this.socket) === 0) {
            this.work = 0;
        }
        this.readOn();
    }

    private readOn(): void {
        const { socket, isPaused } = this;
        if (socket.readableLength > 0) {
            this.scheduler.add(this);
        }
        else if (!isPaused && !socket.destroyed) {
            // Reads from the operating system, or ends the input.
            socket.read(0);
        }
    }

    /** Counts the parts that the parser adds to the body of a message. */
    private observeMessage(message: IncomingMessage): void {
        this.message = message;
        this.callbacks += REQUEST_WORK + message.rawHeaders.length / 2;
        // A body of a known length has one part a read.
        if (!isChunked(message)) {
            return;
        }
        const push = message.push.bind(message);
        message.push = (chunk, encoding) => {
            this.callbacks += 1 + message.rawTrailers.length / 2;
            return push(chunk, encoding);
        };
    }
}

const isChunked = ({ headers }: IncomingMessage): boolean => headers["transfer-encoding"] !== undefined;

const countLines = (bytes: Buffer): number => {
    let lines = 0;
    for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
        lines += 1;
    }
    return lines;
};
