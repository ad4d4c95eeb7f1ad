/** TCP forwarder with connection faults like those of a NAT gateway that loses its state: open connections stall, new ones work. */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

const LOOPBACK = "127.0.0.1";

/** Forwarder in front of one port of the loopback address. */
export class Forwarder {
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server, private readonly targetPort: number) {
        server.on("connection", socket => this.forward(socket));
    }

    /** Starts a forwarder to a port. Resolves when it listens. */
    static async create(targetPort: number): Promise<Forwarder> {
        const server = createServer();
        const forwarder = new Forwarder(server, targetPort);
        server.listen(0, LOOPBACK);
        await once(server, "listening");
        return forwarder;
    }

    /** Port on which the forwarder listens. */
    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Stops forwarding on every open connection, in both directions, without closing it. */
    silenceOpen(): void {
        this.sockets.forEach(socket => {
            socket.unpipe();
            socket.pause();
        });
        this.sockets.clear();
    }

    /** Resets every open connection. */
    cutOpen(): void {
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.sockets.clear();
    }

    /** Stops listening and resets the open connections. */
    async close(): Promise<void> {
        this.cutOpen();
        this.server.close();
        await Promise.resolve();
    }

    private forward(socket: Socket): void {
        const target = connect(this.targetPort, LOOPBACK);
        for (const [from, to] of [[socket, target], [target, socket]] as const) {
            this.sockets.add(from);
            from.pipe(to);
            from.on("error", () => to.destroy());
            from.on("close", () => this.sockets.delete(from));
        }
    }
}
