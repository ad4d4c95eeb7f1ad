/**
 * Connections to instances that wait for their next request. An endpoint takes a limited number of connections from all
 * VMs together; each VM keeps idle ones only within its part of that number, so that the sum stays within it without any
 * call between VMs.
 */
import type { Instance } from "../discovery/index.js";
import { type ConnectionOptions, EndpointConnection } from "./endpoint-connection.js";

/** Limits on the connections of one VM. */
export interface ConnectionPoolOptions extends ConnectionOptions {
    /** Longest idle time of a connection that a repeatable request may use, in milliseconds. */
    readonly maxIdleMs: number;
    /** Longest idle time of a connection that a request which runs once may use, in milliseconds. */
    readonly atMostOnceMaxIdleMs: number;
    /** Connections to an instance, busy ones included, up to which this VM keeps idle ones. */
    readonly computeMaxConnections: (instance: Instance) => number;
}

interface Connections {
    readonly idle: EndpointConnection[];
    open: number;
}

/** Connections of one VM. */
export class ConnectionPool {
    private readonly connections = new Map<string, Connections>();
    private isSweepPlanned = false;

    private constructor(private readonly options: ConnectionPoolOptions) {}

    /** Creates a pool without connections. */
    static create(options: ConnectionPoolOptions): ConnectionPool {
        return new ConnectionPool(options);
    }

    /** Connections to an instance, busy or idle. */
    countOpen(instance: Instance): number {
        return this.connections.get(createKey(instance))?.open ?? 0;
    }

    /** An idle connection that may be used again, or a new one. A request that runs once gets one that was used lately. */
    acquire(instance: Instance, isOnce: boolean): EndpointConnection {
        const key = createKey(instance);
        const connections = this.find(key);
        this.dropExpired(key, connections);
        const oldest = this.options.timers.now()
            - (isOnce ? this.options.atMostOnceMaxIdleMs : this.options.maxIdleMs);
        const newest = connections.idle.at(-1);
        if (newest !== undefined && newest.idleSince >= oldest) {
            connections.idle.pop();
            return newest;
        }
        connections.open += 1;
        return EndpointConnection.create(instance, this.options);
    }

    /** Takes a connection back after a whole answer. */
    release(instance: Instance, connection: EndpointConnection): void {
        const connections = this.find(createKey(instance));
        if (!connection.isOpen || connections.open > this.options.computeMaxConnections(instance)) {
            this.discard(instance, connection);
            return;
        }
        connection.idleSince = this.options.timers.now();
        connections.idle.push(connection);
        this.planSweep();
    }

    /** Closes a connection that must not be used again. */
    discard(instance: Instance, connection: EndpointConnection): void {
        this.closeOne(createKey(instance), connection);
    }

    /** Closes all idle connections. */
    close(): void {
        this.connections.forEach(({ idle }) => idle.forEach(connection => connection.destroy()));
        this.connections.clear();
    }

    private closeOne(key: string, connection: EndpointConnection): void {
        connection.destroy();
        const connections = this.connections.get(key);
        if (connections !== undefined) {
            connections.open -= 1;
        }
    }

    /** Closes what has expired everywhere, and forgets instances without connections. */
    private sweep(): void {
        for (const [key, connections] of this.connections) {
            this.dropExpired(key, connections);
            if (connections.open <= 0) {
                this.connections.delete(key);
            }
        }
    }

    /** Closes idle connections that are too old or that the endpoint has closed. */
    private dropExpired(key: string, { idle }: Connections): void {
        const oldest = this.options.timers.now() - this.options.maxIdleMs;
        const expired = idle.filter(connection => connection.idleSince < oldest || !connection.isOpen);
        expired.forEach(connection => {
            idle.splice(idle.indexOf(connection), 1);
            this.closeOne(key, connection);
        });
    }

    private planSweep(): void {
        if (!this.isSweepPlanned) {
            this.isSweepPlanned = true;
            this.options.timers.schedule(this.options.maxIdleMs, () => {
                this.isSweepPlanned = false;
                this.sweep();
                if (this.connections.size > 0) {
                    this.planSweep();
                }
            });
        }
    }

    private find(key: string): Connections {
        const connections = this.connections.get(key) ?? { idle: [], open: 0 };
        this.connections.set(key, connections);
        return connections;
    }
}

const createKey = ({ id, host, port, bornMs }: Instance): string => `${id} ${host}:${port} ${bornMs}`;
