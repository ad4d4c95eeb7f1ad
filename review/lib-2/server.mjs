// Stand-in of a server of a service: runs requests, answers as the pages say, and registers itself in the store.
import { randomUUID } from "node:crypto";
import { createServer } from "node:http";

const HTTP_OK = 200;
const HTTP_MISDIRECTED = 421;
const HTTP_UNAVAILABLE = 503;
const HEARTBEAT_MS = 1_200;

/** One server. `run` gets the request's record and the response, and answers it. */
export class ServerStandIn {
    runs = [];
    inFlight = 0;
    sequence = 0;
    state = "ready";
    id = `i-${randomUUID().slice(0, 8)}`;
    born = Date.now();

    constructor({ store, service, zone, version = "v1", slots = 6, run }) {
        Object.assign(this, { store, service, zone, version, slots, run });
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 30_000;
    }

    /** Listens on a free port and registers. */
    async start(host) {
        await new Promise(resolve => this.server.listen(0, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
        this.register();
        this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
        return this;
    }

    /** Reports that it drains; it goes on serving. */
    drain() {
        this.state = "draining";
        this.register();
    }

    /** Removes the entry and ends. */
    stop() {
        clearInterval(this.timer);
        this.store.put("keyed.servers", this.id, undefined);
        this.close();
    }

    /** Ends without a word. */
    close() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    register() {
        this.sequence += 1;
        const { service, address, zone, version, slots, state, sequence, born } = this;
        this.store.put("keyed.servers", this.id, {
            service,
            address,
            zone,
            version,
            slots,
            state,
            cold_remaining_ms: 0,
            sequence,
            born,
        });
    }

    async handle(request, response) {
        const parts = [];
        for await (const part of request) {
            parts.push(part);
        }
        const attemptId = request.headers["x-wigeonpulley-attempt-id"];
        const expected = request.headers["x-wigeonpulley-expect-instance"];
        const echo = attemptId === undefined ? {} : { "x-wigeonpulley-attempt-id": attemptId };
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(HTTP_MISDIRECTED, { ...echo, "x-wigeonpulley-instance-id": this.id }).end();
            return;
        }
        if (this.inFlight >= this.slots) {
            response.writeHead(HTTP_UNAVAILABLE, { ...echo, "x-wigeonpulley-not-executed": "1" }).end();
            return;
        }
        const record = {
            at: performance.now(),
            attemptId,
            method: request.method,
            path: request.url,
            tenant: request.headers["x-wigeonpulley-tenant"],
            tokens: request.headers["x-wigeonpulley-token-count"],
            headers: request.headers,
            body: Buffer.concat(parts),
            version: this.version,
            server: this.id,
        };
        this.runs.push(record);
        this.inFlight += 1;
        response.once("close", () => {
            this.inFlight -= 1;
        });
        await this.run(record, response, {
            ...echo,
            "x-wigeonpulley-server-seal": `seal-${this.id}-${attemptId}`,
        });
    }
}

/** Answers with a short body after a time. */
export const answerAfter = (ms, status = HTTP_OK) => (record, response, headers) => {
    setTimeout(() => {
        const body = `${record.attemptId} by ${record.server}`;
        response.writeHead(status, { ...headers, "content-length": Buffer.byteLength(body) });
        response.end(body);
    }, ms);
};
