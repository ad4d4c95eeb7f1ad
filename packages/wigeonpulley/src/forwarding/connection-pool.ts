/**
 * Pool of keep-alive connections to instances. An endpoint accepts a limited number of connections from all VMs together.
 * Each VM keeps idle connections only within its share of that limit, so the limit holds without calls between VMs.
 */
import type { Instance } from "../discovery/index.js";
import { type ConnectionOptions, EndpointConnection } from "./endpoint-connection.js";

/** Limits on the connections of one VM. */
export interface ConnectionPoolOptions extends ConnectionOptions {
    /** Longest idle time of a connection that a retryable request may use, in milliseconds. */
    readonly maxIdleMs: number;
    /** The same for a request that may run at most once, in milliseconds; a stale connection would lose it. */
    readonly atMostOnceMaxIdleMs: number;
    /** Number of connections to an instance, busy and idle, above which this VM keeps no idle ones. */
    readonly computeMaxConnections: (instance: Instance) => number;
}

interface Connections {
    readonly idle: EndpointConnection[];
    open: number;
}

/** Connections of one VM. */
export class ConnectionPool {
    private readonly connections = new Map<string, Connections>();
    private isSweepScheduled = false;

    private constructor(private readonly options: ConnectionPoolOptions) {}

    /** Creates a pool without connections. */
    static create(options: ConnectionPoolOptions): ConnectionPool {
        return new ConnectionPool(options);
    }

    /** Number of connections to an instance, busy and idle. */
    countOpen(instance: Instance): number {
        return this.connections.get(createKey(instance))?.open ?? 0;
    }

    /** Returns the idle connection that was used last, or a new one if there is none or it was idle for too long. */
    acquire(instance: Instance, isAtMostOnce: boolean): EndpointConnection {
        const key = createKey(instance);
        const connections = this.findOrCreate(key);
        this.closeExpired(key, connections);
        const minIdleSince = this.options.timers.now()
            - (isAtMostOnce ? this.options.atMostOnceMaxIdleMs : this.options.maxIdleMs);
        const newest = connections.idle.at(-1);
        if (newest !== undefined && newest.idleSince >= minIdleSince) {
            connections.idle.pop();
            return newest;
        }
        connections.open += 1;
        return EndpointConnection.create(instance, this.options);
    }

    /** Returns a connection to the pool after a complete response. */
    release(instance: Instance, connection: EndpointConnection): void {
        const connections = this.findOrCreate(createKey(instance));
        if (!connection.isOpen || connections.open > this.options.computeMaxConnections(instance)) {
            this.closeConnection(createKey(instance), connection);
            return;
        }
        this.keep(instance, connection);
    }

    /** Keeps an open connection for the next request, however many there are. */
    keep(instance: Instance, connection: EndpointConnection): void {
        connection.idleSince = this.options.timers.now();
        this.findOrCreate(createKey(instance)).idle.push(connection);
        this.scheduleSweep();
    }

    /** Resets a connection whose request has no complete response. */
    reset(instance: Instance, connection: EndpointConnection): void {
        connection.reset();
        this.removeConnection(createKey(instance));
    }

    /** Closes all idle connections. */
    close(): void {
        this.connections.forEach(({ idle }) => idle.forEach(connection => connection.destroy()));
        this.connections.clear();
    }

    private closeConnection(key: string, connection: EndpointConnection): void {
        connection.destroy();
        this.removeConnection(key);
    }

    private removeConnection(key: string): void {
        const connections = this.connections.get(key);
        if (connections !== undefined) {
            connections.open -= 1;
        }
    }

    /** Closes expired connections, and removes instances without connections. */
    private sweep(): void {
        for (const [key, connections] of this.connections) {
            this.closeExpired(key, connections);
            if (connections.open <= 0) {
                this.connections.delete(key);
            }
        }
    }

    /** Closes connections that were idle for too long or that the endpoint has closed. */
    private closeExpired(key: string, { idle }: Connections): void {
        const minIdleSince = this.options.timers.now() - this.options.maxIdleMs;
        const expired = idle.filter(connection => connection.idleSince < minIdleSince || !connection.isOpen);
        expired.forEach(connection => {
            idle.splice(idle.indexOf(connection), 1);
            this.closeConnection(key, connection);
        });
    }

    private scheduleSweep(): void {
        if (!this.isSweepScheduled) {
            this.isSweepScheduled = true;
            this.options.timers.schedule(this.options.maxIdleMs, () => {
                this.isSweepScheduled = false;
                this.sweep();
                if (this.connections.size > 0) {
                    this.scheduleSweep();
                }
            });
        }
    }

    private findOrCreate(key: string): Connections {
        const connections = this.connections.get(key) ?? { idle: [], open: 0 };
        this.connections.set(key, connections);
        return connections;
    }
}

const createKey = ({ id, host, port, bornMs }: Instance): string => `${id} ${host}:${port} ${bornMs}`;
