/**
 * Watches the connections of clients to the servers of a process: bounds their number, and closes those whose clients read
 * nothing of what waits for them.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { countOpenResponses, recordRequest, waitForPendingInput } from "../http-connections/index.js";
import type { TimerService } from "../time/index.js";
import type { ByteAccount, ByteBudget } from "./byte-budget.js";
import type { ClientSettings } from "./client-settings.js";
import { ConnectionInput } from "./connection-input.js";
import type { InputScheduler } from "./input-scheduler.js";
import type { LimitRecorder } from "./limit-recorder.js";
import type { SendQueueReader } from "./send-queues.js";

/** Interval between two looks at all connections, in milliseconds; lower for short limits. */
const MAX_CHECK_INTERVAL_MS = 500;
const CHECKS_PER_LIMIT = 4;
/** Time without input after which an idle connection may be closed in favour of a new one, in milliseconds. */
const MIN_IDLE_MS = 1_000;
/** Memory planned for a connection with its parser, in bytes. */
const CONNECTION_BYTES = 8_192;

/** Dependencies of a monitor. */
export interface ConnectionMonitorOptions {
    readonly timers: TimerService;
    readonly settings: ClientSettings;
    readonly budget: ByteBudget;
    readonly recorder: LimitRecorder;
    readonly inputs: InputScheduler;
    readonly sendQueues: SendQueueReader;
}

/** Servers that share one limit on connections. */
export interface ConnectionGroup {
    readonly maxConnections: number;
    /** Number of connections that are open and not about to be closed. */
    open: number;
}

/** What is known of one connection. */
interface Connection {
    readonly group: ConnectionGroup;
    bytesRead: number;
    inputAt: number;
    /** Bytes that have left the process; a change shows that the client reads. */
    sentBytes: number;
    /** Bytes that the client has not acknowledged; a change shows the same. Undefined while nothing raises doubts. */
    sendQueue: number | undefined;
    /** Monotonic time since when the client reads nothing though something waits for it; undefined when nothing waits. */
    unreadSince: number | undefined;
    isClosing: boolean;
}

/** Monitor of one process. */
export class ConnectionMonitor {
    private readonly connections = new Map<Socket, Connection>();
    private readonly responses: ByteAccount;
    private readonly account: ByteAccount;
    private isScheduled = false;

    private constructor(private readonly options: ConnectionMonitorOptions) {
        this.responses = options.budget.open("responses");
        this.account = options.budget.open("connections");
    }

    /** Creates a monitor without connections. */
    static create(options: ConnectionMonitorOptions): ConnectionMonitor {
        return new ConnectionMonitor(options);
    }

    /** Watches the connections of a server, which count towards the limit of a group. */
    watch(server: Server, group: ConnectionGroup): void {
        ConnectionInput.watch(server, this.options.inputs);
        server.on("connection", socket => this.add(socket, group));
    }

    /** The same for a server that doesn't record its requests; closes connections with more unanswered ones than allowed. */
    watchPipelined(server: Server, group: ConnectionGroup, maxUnanswered: number): void {
        server.prependListener("request", (request: IncomingMessage, response: ServerResponse) => {
            recordRequest(response);
            if (countOpenResponses(request.socket) > maxUnanswered) {
                this.close(request.socket, "pipelined");
            }
        });
        this.watch(server, group);
    }

    /** Closes a connection because of a limit. */
    close(socket: Socket, limit: "pipelined" | "unread" | "connections"): void {
        if (!socket.destroyed) {
            this.options.recorder.record(limit);
            // What the client doesn't read would else stay in the memory of the operating system.
            socket.resetAndDestroy();
        }
    }

    private add(socket: Socket, group: ConnectionGroup): void {
        const { timers } = this.options;
        if (group.open >= group.maxConnections && !this.tryCloseIdle(group)) {
            this.close(socket, "connections");
            return;
        }
        const connection: Connection = {
            group,
            bytesRead: socket.bytesRead,
            inputAt: timers.now(),
            sentBytes: 0,
            sendQueue: undefined,
            unreadSince: undefined,
            isClosing: false,
        };
        this.connections.set(socket, connection);
        group.open += 1;
        this.account.set(this.connections.size * CONNECTION_BYTES);
        socket.once("close", () => {
            this.connections.delete(socket);
            group.open -= connection.isClosing ? 0 : 1;
            this.account.set(this.connections.size * CONNECTION_BYTES);
        });
        this.schedule();
    }

    /** Closes the connection that has been idle for longest; false when none is idle for long enough. */
    private tryCloseIdle(group: ConnectionGroup): boolean {
        const idleSince = this.options.timers.now() - MIN_IDLE_MS;
        let oldest: [Socket, Connection] | undefined;
        for (const [socket, connection] of this.connections) {
            this.updateInput(socket, connection);
            if (
                connection.group === group && !connection.isClosing && connection.inputAt <= idleSince
                && connection.inputAt < (oldest?.[1].inputAt ?? Number.POSITIVE_INFINITY)
                && countOpenResponses(socket) === 0
            ) {
                oldest = [socket, connection];
            }
        }
        if (oldest === undefined) {
            return false;
        }
        oldest[1].isClosing = true;
        group.open -= 1;
        void this.closeWhenIdle(...oldest);
        return true;
    }

    /** Closes an idle connection, unless something has arrived on it meanwhile. */
    private async closeWhenIdle(socket: Socket, connection: Connection): Promise<void> {
        const { bytesRead } = socket;
        await waitForPendingInput();
        if (socket.bytesRead === bytesRead && countOpenResponses(socket) === 0) {
            this.close(socket, "connections");
        }
        else if (!socket.destroyed) {
            connection.isClosing = false;
            connection.group.open += 1;
        }
    }

    private updateInput(socket: Socket, connection: Connection): void {
        if (socket.bytesRead !== connection.bytesRead) {
            connection.bytesRead = socket.bytesRead;
            connection.inputAt = this.options.timers.now();
        }
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            const { timers, settings } = this.options;
            timers.schedule(
                Math.min(MAX_CHECK_INTERVAL_MS, settings.unreadMs / CHECKS_PER_LIMIT),
                () => void this.check(),
            );
        }
    }

    private async check(): Promise<void> {
        let unreadBytes = 0;
        let inputBytes = 0;
        this.connections.forEach((connection, socket) => {
            unreadBytes += socket.writableLength;
            inputBytes += socket.readableLength;
            this.updateInput(socket, connection);
            this.updateUnread(socket, connection);
        });
        this.responses.set(unreadBytes);
        this.account.set(this.connections.size * CONNECTION_BYTES + inputBytes);
        await this.closeUnread();
        this.relieveBudget();
        this.isScheduled = false;
        if (this.connections.size > 0) {
            this.schedule();
        }
    }

    /** While the budget is exceeded, closes the connection whose client has read nothing for longest. */
    private relieveBudget(): void {
        const { budget, timers } = this.options;
        if (budget.totalBytes <= budget.limitBytes) {
            return;
        }
        const unreadUntil = timers.now() - MIN_IDLE_MS;
        const [oldest] = [...this.connections]
            .filter(([, { unreadSince }]) => unreadSince !== undefined && unreadSince <= unreadUntil)
            .sort(([, left], [, right]) => (left.unreadSince ?? 0) - (right.unreadSince ?? 0));
        if (oldest !== undefined) {
            this.close(oldest[0], "unread");
        }
    }

    /** Notes since when the client has read nothing, as far as this process sees without the kernel's lists. */
    private updateUnread(socket: Socket, connection: Connection): void {
        const sentBytes = socket.bytesWritten - socket.writableLength;
        if (socket.writableLength === 0) {
            connection.unreadSince = undefined;
        }
        else if (connection.unreadSince === undefined || sentBytes !== connection.sentBytes) {
            connection.unreadSince = this.options.timers.now();
            connection.sendQueue = undefined;
        }
        connection.sentBytes = sentBytes;
    }

    /**
     * Closes connections whose clients have read nothing for too long. After a part of that time, or at once while memory is
     * short, it looks at the kernel's send queues, which are long on a machine with many connections. The time starts again with
     * the first look, since nothing before it has shown what the client reads.
     */
    private async closeUnread(): Promise<void> {
        const { timers, settings, sendQueues, budget } = this.options;
        const findDoubtful = (durationMs: number): readonly (readonly [Socket, Connection])[] =>
            [...this.connections].filter(([, { unreadSince }]) =>
                unreadSince !== undefined && timers.now() - unreadSince >= durationMs
            );
        const doubtful = findDoubtful(
            budget.totalBytes > budget.limitBytes ? 0 : settings.unreadMs / CHECKS_PER_LIMIT,
        );
        if (doubtful.length === 0) {
            return;
        }
        const lookedAt = timers.now();
        const queues = await sendQueues.read(doubtful.map(([socket]) => socket));
        doubtful.forEach(([socket, connection]) => {
            const sendQueue = queues.get(socket);
            if (sendQueue !== undefined && sendQueue !== connection.sendQueue) {
                connection.sendQueue = sendQueue;
                connection.unreadSince = lookedAt;
            }
        });
        findDoubtful(settings.unreadMs).forEach(([socket]) => this.close(socket, "unread"));
    }
}
