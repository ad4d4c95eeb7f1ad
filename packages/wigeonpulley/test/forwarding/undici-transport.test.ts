import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, expect, onTestFinished, test, vi } from "vitest";
import {
    type EndpointExchange,
    isExchangeFailure,
    type OutgoingRequest,
    type ResponseHead,
    SystemTimerService,
    UndiciTransport,
} from "wigeonpulley";
import { createInstance, type RawEndpoint, startRawEndpoint } from "../fixtures/raw-endpoint.js";

const GET: OutgoingRequest = {
    method: "GET",
    path: "/stock/1",
    headers: ["host", "stock.example"],
    body: undefined,
    isAtMostOnce: false,
};
const COMPLETE_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

const createTransport = (): UndiciTransport =>
    UndiciTransport.create({
        timers: SystemTimerService.create(),
        connectTimeoutMs: 1_000,
        maxIdleMs: 5_000,
        atMostOnceMaxIdleMs: 5_000,
        computeMaxConnections: () => 100,
    });

interface ReceivedResponse {
    readonly head: ResponseHead | undefined;
    readonly body: string;
    readonly failure: string | undefined;
    readonly mayHaveRun: boolean;
    readonly isConnectionLost: boolean;
}

const readResponse = async (exchange: EndpointExchange): Promise<ReceivedResponse> => {
    const head = await exchange.readHead();
    if (isExchangeFailure(head)) {
        return { ...head, head: undefined, body: "", failure: head.reason };
    }
    let body = "";
    for (;;) {
        const chunk = await exchange.readChunk();
        if (chunk === undefined) {
            return { head, body, failure: undefined, mayHaveRun: true, isConnectionLost: false };
        }
        if (isExchangeFailure(chunk)) {
            return { ...chunk, head, body, failure: chunk.reason };
        }
        body += chunk.toString();
    }
};

const endpoints: RawEndpoint[] = [];
const start = async (...parameters: Parameters<typeof startRawEndpoint>): Promise<RawEndpoint> => {
    const endpoint = await startRawEndpoint(...parameters);
    endpoints.push(endpoint);
    return endpoint;
};

afterEach(() => endpoints.splice(0).forEach(endpoint => endpoint.close()));

test("a response without a length is complete when its connection ends", async () => {
    const endpoint = await start(socket => socket.end("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"));
    const response = await readResponse(createTransport().send(endpoint.instance, GET));
    expect(response).toMatchObject({ body: "whole", failure: undefined });
});

test.each([
    ["together with its last bytes", 0],
    ["later", 50],
])("a response without a length fails when its connection is reset %s", async (name, delayMs) => {
    const endpoint = await start(socket => {
        socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf", () => {
            if (delayMs === 0) {
                socket.resetAndDestroy();
                return;
            }
            setTimeout(() => socket.resetAndDestroy(), delayMs);
        });
    });
    const response = await readResponse(createTransport().send(endpoint.instance, GET));
    expect(response.failure).toBeDefined();
});

// Guards against SHORT: a late event loop took connections that were open for timed out, and their endpoints for unreachable.
test("a connection that opens while the event loop is late is used", async () => {
    const endpoint = await start(socket => socket.end(COMPLETE_RESPONSE));
    const response = readResponse(createTransport().send(endpoint.instance, GET));
    // The socket is connecting now.
    await new Promise(resolve => process.nextTick(resolve));
    const until = performance.now() + 1_200;
    while (performance.now() < until) {
        // Nothing else runs meanwhile.
    }
    expect(await response).toMatchObject({ body: "ok", failure: undefined });
});

test("a refused connection proves that the request did not run", async () => {
    const endpoint = await start(() => undefined);
    endpoint.close();
    const response = await readResponse(createTransport().send(endpoint.instance, GET));
    expect(response).toMatchObject({ mayHaveRun: false });
    const unreachable = createInstance({ host: "127.0.0.1", port: 1 });
    expect(await readResponse(createTransport().send(unreachable, GET))).toMatchObject({ mayHaveRun: false });
});

test("a request that was sent and got no response may have run, and is not sent again", async () => {
    const heads: string[] = [];
    const endpoint = await start((socket, head) => {
        heads.push(head);
        socket.resetAndDestroy();
    });
    const response = await readResponse(createTransport().send(endpoint.instance, GET));
    expect(response).toMatchObject({ mayHaveRun: true });
    await new Promise(resolve => setTimeout(resolve, 100));
    expect(heads).toHaveLength(1);
});

test("an extra response on a kept connection is not taken for the response to the next request", async () => {
    const endpoint = await start((socket, head, count) => {
        socket.write(
            count === 1
                ? COMPLETE_RESPONSE + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
                : COMPLETE_RESPONSE,
        );
    });
    const transport = createTransport();
    expect(await readResponse(transport.send(endpoint.instance, GET))).toMatchObject({ body: "ok" });
    await new Promise(resolve => setTimeout(resolve, 50));
    expect((await readResponse(transport.send(endpoint.instance, GET))).body).not.toBe("stray");
});

test("connections are reused while they are not idle for too long", async () => {
    const endpoint = await start(socket => socket.write(COMPLETE_RESPONSE));
    const transport = createTransport();
    for (let count = 0; count < 3; count += 1) {
        expect(await readResponse(transport.send(endpoint.instance, GET))).toMatchObject({ body: "ok" });
    }
    expect(endpoint.connections).toHaveLength(1);
});

test("aborting an exchange closes its connection", async () => {
    const closed = new Promise<void>(resolve => {
        void start(socket => socket.once("close", () => resolve())).then(endpoint => {
            const exchange = createTransport().send(endpoint.instance, GET);
            setTimeout(() => exchange.abort("caller-gone"), 50);
        });
    });
    await closed;
});

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

test.each([
    ["closed before the response", (socket: Socket) => void socket.end()],
    ["reset before the response", (socket: Socket) => void socket.resetAndDestroy()],
    ["closed in a chunked response", (socket: Socket) => void socket.end(`${CHUNKED_HEAD}2\r\nok\r\n`)],
    [
        "closed in a response with a length",
        (socket: Socket) => void socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"),
    ],
    ["reset in a response without a length", (socket: Socket) => {
        socket.write("HTTP/1.1 200 OK\r\n\r\nhalf", () => setTimeout(() => socket.resetAndDestroy(), 20));
    }],
])("a connection that the endpoint has %s is lost", async (name, respond) => {
    const endpoint = await start(respond);
    expect(await readResponse(createTransport().send(endpoint.instance, GET))).toMatchObject({
        isConnectionLost: true,
    });
});

test.each([
    ["bytes that are no response", "no response\r\n\r\n"],
    ["a chunk that is none", `${CHUNKED_HEAD}zz\r\n`],
])("a connection with %s is not lost but failed", async (name, bytes) => {
    const endpoint = await start(socket => void socket.write(bytes));
    const response = await readResponse(createTransport().send(endpoint.instance, GET));
    expect(response.failure).toBeDefined();
    expect(response.isConnectionLost).toBe(false);
});

test("a connection that this VM aborts is not lost by the endpoint", async () => {
    const endpoint = await start(socket => void socket.write(CHUNKED_HEAD));
    const exchange = createTransport().send(endpoint.instance, GET);
    setTimeout(() => exchange.abort("timeout"), 50);
    expect(await readResponse(exchange)).toMatchObject({ failure: "timeout", isConnectionLost: false });
});

test.each([
    ["a length", COMPLETE_RESPONSE, false],
    ["chunks", `${CHUNKED_HEAD}2\r\nok\r\n0\r\n\r\n`, false],
    ["neither", "HTTP/1.1 200 OK\r\n\r\nok", true],
])(
    "a response with %s tells whether it ends with its connection",
    async (name, bytes, endsWithConnection) => {
        const endpoint = await start(socket => void socket.end(bytes));
        const { head } = await readResponse(createTransport().send(endpoint.instance, GET));
        expect(head).toMatchObject({ endsWithConnection });
    },
);

// Guards against GONE: a request held up on a broken link arrived when the link healed, since only a reset discards it.
test("aborting an exchange resets its connection", async () => {
    const errors: string[] = [];
    const endpoint = await start(socket => {
        socket.on("error", failure => errors.push((failure as NodeJS.ErrnoException).code ?? ""));
    });
    const exchange = createTransport().send(endpoint.instance, GET);
    await new Promise(resolve => setTimeout(resolve, 50));
    const [socket] = endpoint.connections;
    const closed = new Promise(resolve => socket?.once("close", resolve));
    exchange.abort("caller-gone");
    await closed;
    expect(errors).toEqual(["ECONNRESET"]);
});

test("a request that is aborted while its connection opens is not sent", async () => {
    const heads: string[] = [];
    const endpoint = await start((socket, head) => void heads.push(head));
    const exchange = createTransport().send(endpoint.instance, GET);
    exchange.abort("caller-gone");
    expect(await readResponse(exchange)).toMatchObject({ failure: "caller-gone", mayHaveRun: false });
    await new Promise(resolve => setTimeout(resolve, 100));
    expect(heads).toEqual([]);
});

const LONG_BODY = "x".repeat(8_000_000);

// Guards against FAULT: an assertion of the HTTP client ended the process when a connection ended while it was paused.
test.each([
    ["that this VM aborts", (socket: Socket, exchange: EndpointExchange) => exchange.abort("caller-gone")],
    ["that the endpoint resets", (socket: Socket) => void socket.resetAndDestroy()],
    ["that the endpoint closes", (socket: Socket) => void socket.destroySoon()],
])(
    "a connection %s while its response waits for a slow caller costs only that response",
    async (name, end) => {
        const handleException = vi.fn();
        process.on("uncaughtException", handleException);
        onTestFinished(() => void process.off("uncaughtException", handleException));
        const endpoint = await start(socket => {
            socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${LONG_BODY}`);
        });
        const exchange = createTransport().send(endpoint.instance, GET);
        await exchange.readHead();
        await new Promise(resolve => setTimeout(resolve, 100));
        const [socket] = endpoint.connections;
        if (socket !== undefined) {
            end(socket, exchange);
        }
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(handleException).not.toHaveBeenCalled();
        let length = 0;
        for (
            let chunk = await exchange.readChunk();
            chunk instanceof Buffer;
            chunk = await exchange.readChunk()
        ) {
            length += chunk.length;
        }
        expect(length === LONG_BODY.length).toBe(name === "that the endpoint closes");
    },
);

const CUT_RESPONSES = {
    "with a length": "HTTP/1.1 200 OK\r\nX-Seal: seal\r\nContent-Length: 4\r\n\r\ndone",
    "with an empty body": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Seal: seal\r\nConnection: close\r\n\r\n",
    "in chunks":
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Seal: seal\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    "after an interim one":
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\nX-Seal: seal\r\n\r\n",
    "of HTTP/1.0 with bare line feeds": "HTTP/1.0 200 OK\nContent-Length: 4\nX-Seal: seal\n\ndone",
};

// Guards against MIXED and ORDER: a response that was cut off in its head reached callers as a whole one.
test.each(
    Object.entries(CUT_RESPONSES).flatMap(([name, bytes]) =>
        (["closed", "reset"] as const).map(ending => ({ name, bytes, ending }))
    ),
)(
    "a response $name never looks complete when its connection is $ending before its end",
    async ({ bytes, ending }) => {
        const endpoint = await start((socket, head) => {
            const length = Number(/^GET \/cut\/(\d+) /.exec(head)?.[1]);
            socket.write(
                bytes.slice(0, length),
                () => ending === "closed" ? socket.end() : socket.resetAndDestroy(),
            );
        });
        const transport = createTransport();
        const lengths = Array.from({ length: bytes.length }, (unused, index) => index);
        const responses = await Promise.all(
            lengths.map(length =>
                readResponse(transport.send(endpoint.instance, { ...GET, path: `/cut/${length}` }))
            ),
        );
        expect(lengths.filter(length => responses[length]?.failure === undefined)).toEqual([]);
    },
);

// Guards against TWICE and REFUSED: a refusal that came once more was taken for the answer to the next request.
test("a connection whose response is rejected by its head is not used again, though the response is complete", async () => {
    const endpoint = await start(socket => socket.write(COMPLETE_RESPONSE));
    const transport = createTransport();
    const exchange = transport.send(endpoint.instance, { ...GET, isAtMostOnce: true });
    expect(isExchangeFailure(await exchange.readHead())).toBe(false);
    await new Promise(resolve => setTimeout(resolve, 50));
    exchange.abort("the answer can't be used");
    await readResponse(transport.send(endpoint.instance, { ...GET, isAtMostOnce: true }));
    expect(endpoint.connections).toHaveLength(2);
});

/** Blocks the event loop, as the decoding of a long configuration or a machine without processor time does. */
const blockEventLoop = (durationMs: number): void => {
    const startedAt = performance.now();
    let elapsedMs = 0;
    while (elapsedMs < durationMs) {
        elapsedMs = performance.now() - startedAt;
    }
};

// Guards against LOST: after a late turn of the event loop, sound instances counted as unreachable.
test("a connection that was established while the event loop was late carries its request", async () => {
    const endpoint = await start(socket => socket.end(COMPLETE_RESPONSE));
    const transport = createTransport();
    const response = new Promise<ReceivedResponse>(resolve =>
        setImmediate(() => {
            resolve(readResponse(transport.send(endpoint.instance, GET)));
            // The socket connects in the next tick, and the poll that would find it connected comes after this one.
            process.nextTick(() => process.nextTick(() => blockEventLoop(1_200)));
        })
    );
    expect(await response).toMatchObject({ body: "ok", failure: undefined });
});

/** Starts a process that accepts no connections and whose backlog is full; resolves with its port. */
const startFrozenServer = async (): Promise<number> => {
    const source = `const server = require("node:net").createServer().listen(0, "127.0.0.1", 1, () =>
        console.log(server.address().port))`;
    const child = spawn(process.execPath, ["-e", source], { stdio: ["ignore", "pipe", "ignore"] });
    const [output] = (await once(child.stdout, "data")) as readonly unknown[];
    const port = Number(String(output));
    child.kill("SIGSTOP");
    const waiting = Array.from({ length: 4 }, () => connect(port, "127.0.0.1").on("error", () => undefined));
    onTestFinished(() => {
        waiting.forEach(socket => socket.destroy());
        child.kill("SIGKILL");
    });
    await new Promise(resolve => setTimeout(resolve, 100));
    return port;
};

// Guards against RECOVER: a request would be held by an instance that accepts no connection.
test("a connection that is not established in time fails as not run", async () => {
    const port = await startFrozenServer();
    const startedAt = performance.now();
    const response = await readResponse(createTransport().send(createInstance({ port }), GET));
    expect(response).toMatchObject({ mayHaveRun: false, failure: "connect timeout" });
    expect(performance.now() - startedAt).toBeLessThan(3_000);
});

test("a connection that was opened before there is a request carries it", async () => {
    let connections = 0;
    const server = createServer((request, response) => response.end("ok"));
    server.on("connection", () => {
        connections += 1;
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    onTestFinished(() => void server.close());
    const transport = createTransport();
    const instance = createInstance({ port: (server.address() as AddressInfo).port });
    expect(await transport.open(instance)).toBe(true);
    expect(await readResponse(transport.send(instance, GET))).toMatchObject({ body: "ok" });
    expect(await transport.open(instance)).toBe(true);
    expect(await readResponse(transport.send(instance, GET))).toMatchObject({ body: "ok" });
    expect(connections).toBe(1);
    transport.close();
});

// Guards against LOST: an instance to which no connection opens would be taken for one that can go on with a response.
test("no connection is opened to an instance that accepts none or refuses them", async () => {
    const transport = createTransport();
    expect(await transport.open(createInstance({ port: await startFrozenServer() }))).toBe(false);
    const closed = createServer();
    await new Promise<void>(resolve => closed.listen(0, "127.0.0.1", resolve));
    const { port } = closed.address() as AddressInfo;
    await new Promise(resolve => closed.close(resolve));
    expect(await transport.open(createInstance({ port }))).toBe(false);
});

test("a paused exchange is not read from the operating system, and goes on with all bytes", async () => {
    let sentBytes = 0;
    const endpoint = await start(socket => {
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
        const chunk = `4000\r\n${"b".repeat(0x4000)}\r\n`;
        const send = (): void => {
            while (sentBytes < 8_000_000 && socket.write(chunk)) {
                sentBytes += 0x4000;
            }
        };
        socket.on("drain", send);
        setTimeout(send, 50);
    });
    const exchange = createTransport().send(endpoint.instance, GET);
    await exchange.readHead();
    expect(String(await exchange.readChunk())).toBe("a");
    exchange.pause();
    await new Promise(resolve => setTimeout(resolve, 300));
    expect(exchange.hasChunk).toBe(false);
    expect(sentBytes).toBeLessThan(8_000_000);
    exchange.resume();
    let received = 0;
    while (received < 8_000_000) {
        const chunk = await exchange.readChunk();
        expect(chunk).toBeInstanceOf(Buffer);
        received += chunk instanceof Buffer ? chunk.length : 0;
    }
    exchange.abort("enough");
});

// Guards against FAULT: each chunk that a slow reader took let four times as much into the memory of the process.
test("a response that is read slowly is not read ahead", async () => {
    const endpoint = await start(socket => {
        socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${LONG_BODY}`);
    });
    const exchange = createTransport().send(endpoint.instance, GET);
    await exchange.readHead();
    const { connection } = exchange as unknown as { readonly connection: { readonly socket: Socket; }; };
    for (let count = 0; count < 40; count += 1) {
        expect(await exchange.readChunk()).toBeInstanceOf(Buffer);
        await new Promise(resolve => setTimeout(resolve, 5));
        expect(connection.socket.readableLength).toBeLessThan(300_000);
    }
    exchange.abort("enough");
});

test("a response that ended while its exchange was paused is complete, and its connection serves the next one", async () => {
    const endpoint = await start(socket => {
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
        setTimeout(() => socket.write("cd"), 50);
    });
    const transport = createTransport();
    const exchange = transport.send(endpoint.instance, GET);
    await exchange.readHead();
    expect(String(await exchange.readChunk())).toBe("ab");
    exchange.pause();
    await new Promise(resolve => setTimeout(resolve, 150));
    exchange.resume();
    expect(String(await exchange.readChunk())).toBe("cd");
    expect(await exchange.readChunk()).toBeUndefined();
    await transport.send(endpoint.instance, GET).readHead();
    expect(endpoint.connections).toHaveLength(1);
});
