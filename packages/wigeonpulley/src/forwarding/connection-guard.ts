/**
 * Closes connections of callers in place of Node.js, which closes them although a request on them has arrived or is
 * being served: it runs its timers before it reads what has arrived, and sends the error of a head at once.
 */
import { type Server, STATUS_CODES } from "node:http";
import { Socket } from "node:net";
import {
    countRequests,
    listOpenResponses,
    recordRequest,
    waitForPendingInput,
} from "../http-connections/index.js";

/** Code of the error for a request head that exceeds its timeout. */
const HEAD_TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";
/** Statuses of errors that the parser finds; any other error means that the bytes are no request. */
const STATUS_BY_CODE: Readonly<Record<string, number>> = {
    [HEAD_TIMEOUT]: 408,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    HPE_HEADER_OVERFLOW: 431,
};
const HTTP_BAD_REQUEST = 400;

/** Takes over the closing of connections that are idle, or that carry what is no request. */
export const closeAfterInput = (server: Server): void => {
    server.prependListener("request", (request, response) => recordRequest(response));
    const refused = new WeakSet<Socket>();
    server.on("timeout", socket => void closeWhenIdle(socket));
    server.on("clientError", (cause, socket) => {
        // All that follows what the parser refuses is refused too; the end of the connection is among it.
        if (socket.readableEnded) {
            socket.destroy();
        }
        else if (socket instanceof Socket && !refused.has(socket)) {
            refused.add(socket);
            void refuseInput(cause, socket).finally(() => refused.delete(socket));
        }
    });
};

/** Closes a connection whose idle timeout is over, unless something has arrived on it meanwhile. */
const closeWhenIdle = async (socket: Socket): Promise<void> => {
    const { bytesRead } = socket;
    await waitForPendingInput();
    // Input restarts the timer.
    if (socket.bytesRead === bytesRead && listOpenResponses(socket).length === 0) {
        socket.destroy();
    }
};

/** Answers input that is no request, after the requests that came before it. */
const refuseInput = async (cause: Error, socket: Socket): Promise<void> => {
    const code = "code" in cause ? String(cause.code) : "";
    const requestCount = countRequests(socket);
    if (code === HEAD_TIMEOUT) {
        await waitForPendingInput();
    }
    await waitUntilServed(socket);
    if (socket.destroyed || countRequests(socket) !== requestCount) {
        return;
    }
    if (socket.writable && listOpenResponses(socket).every(({ headersSent }) => !headersSent)) {
        const status = STATUS_BY_CODE[code] ?? HTTP_BAD_REQUEST;
        socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
    }
    socket.destroy();
};

/** Resolves when the responses to all requests that have arrived completely are sent, or when the connection is closed. */
const waitUntilServed = async (socket: Socket): Promise<void> => {
    for (;;) {
        const response = listOpenResponses(socket).find(({ req }) => req.complete);
        if (response === undefined || socket.destroyed) {
            return;
        }
        await new Promise<void>(resolve => {
            response.once("close", () => resolve());
        });
    }
};
