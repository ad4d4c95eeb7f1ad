// Proxy between one process and one server. It can be cut: its connections are reset, and its port refuses new ones.
import { connect, createServer } from "node:net";

/** One proxy. */
export class Proxy {
    sockets = new Set();

    constructor(host, target) {
        const [targetHost, targetPort] = target.split(":");
        Object.assign(this, { host, targetHost, targetPort });
    }

    /** Listens on a free port. */
    async open() {
        this.server = createServer(socket => this.join(socket));
        await new Promise(resolve => this.server.listen(0, this.host, resolve));
        this.address = `${this.host}:${this.server.address().port}`;
        return this;
    }

    /** Resets all connections and refuses new ones. */
    cut() {
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    join(socket) {
        const other = connect({ host: this.targetHost, port: Number(this.targetPort) });
        [[socket, other], [other, socket]].forEach(([from, to]) => {
            this.sockets.add(from);
            from.setNoDelay(true);
            from.pipe(to);
            from.on("error", () => to.destroy());
            from.on("close", () => {
                this.sockets.delete(from);
                to.destroy();
            });
        });
    }
}
