/** Forwards TCP connections, and can lose track of them: open ones fall silent for good while new ones work. */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

const LOOPBACK = "127.0.0.1";

/** One forwarder in front of a port of the loopback address. */
export class Forwarder {
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server, private readonly targetPort: number) {
        server.on("connection", socket => this.forward(socket));
    }

    /** Starts a forwarder to a port. */
    static async create(targetPort: number): Promise<Forwarder> {
        const server = createServer();
        const forwarder = new Forwarder(server, targetPort);
        server.listen(0, LOOPBACK);
        await once(server, "listening");
        return forwarder;
    }

    /** Port that it listens on. */
    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Lets every open connection fall silent in both directions without closing it. */
    silenceOpen(): void {
        this.sockets.forEach(socket => {
            socket.unpipe();
            socket.pause();
        });
        this.sockets.clear();
    }

    /** Cuts every open connection. */
    cutOpen(): void {
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.sockets.clear();
    }

    /** Ends the forwarder and its connections. */
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
