// Stand-ins for servers of a service and for clients, and the record of what they saw.
import { writeFileSync } from "node:fs";
import { createServer, request as sendRequest } from "node:http";

const HOST = "127.0.0.1";
export const CALLERS_HOST = "floor.example";

/** What was sent, answered and run, in the order of time. */
export class Record {
    constructor(path) {
        this.path = path;
        this.startedAt = performance.now();
        this.lines = [];
    }

    write(text) {
        this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3)} s  ${text}`);
    }

    save() {
        writeFileSync(this.path, `${this.lines.join("\n")}\n`);
    }
}

/** Starts a server that signs its answers; `run` gets each request that it runs. */
export const startServer = async (id, run) => {
    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            response.setHeader("x-wigeonpulley-instance-id", id);
            const expected = request.headers["x-wigeonpulley-expect-instance"];
            if (expected !== undefined && expected !== id) {
                response.writeHead(421).end();
                return;
            }
            response.setHeader("x-wigeonpulley-attempt-id", request.headers["x-wigeonpulley-attempt-id"]);
            response.setHeader("x-wigeonpulley-server-seal", `seal-of-${id}`);
            run(request, response, Buffer.concat(chunks));
        });
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, HOST, resolve));
    return { id, server, address: `${HOST}:${server.address().port}` };
};

/** Entry of a server in the store. */
export const createEntry = ({ address }, service, version, fields = {}) => ({
    service,
    address,
    zone: "hobart-a",
    version,
    slots: 6,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 1,
    ...fields,
});

/** Sends one request, on a new connection unless there is an agent; resolves with the status, or 0 when the connection ended first. */
export const send = (
    {
        port,
        path,
        id,
        method = "POST",
        deadlineMs,
        patienceMs = deadlineMs + 1_000,
        headers = {},
        body = "",
        agent = false,
    },
) => new Promise(resolve => {
    const sentAt = performance.now();
    let status = 0;
    let bytes = 0;
    const finish = isComplete =>
        resolve({
            id,
            status: isComplete ? status : 0,
            headStatus: status,
            bytes,
            isComplete,
            isOnKeptConnection: request.reusedSocket,
            tookMs: performance.now() - sentAt,
        });
    const request = sendRequest({
        host: HOST,
        port,
        path,
        method,
        agent,
        headers: {
            "host": CALLERS_HOST,
            "x-wigeonpulley-attempt-id": id,
            "x-wigeonpulley-deadline-ms": deadlineMs,
            "content-length": Buffer.byteLength(body),
            ...headers,
        },
    }, response => {
        status = response.statusCode;
        response.on("data", chunk => bytes += chunk.length);
        response.on("end", () => finish(response.complete));
        response.on("error", () => finish(false));
    });
    request.on("error", () => finish(false));
    request.setTimeout(patienceMs, () => request.destroy());
    request.end(body);
});
