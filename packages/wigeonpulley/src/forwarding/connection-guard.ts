/**
 * Closes connections of callers in place of Node.js, which closes them although a request on them has arrived: it runs
 * its timers before it reads what has arrived.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { listOpenResponses, recordRequest } from "./open-responses.js";
import { waitForPendingInput } from "./pending-input.js";

/** Takes over the closing of connections that are idle. */
export const observeConnections = (server: Server): void => {
    server.prependListener("request", (request, response) => recordRequest(response));
    server.on("timeout", socket => void closeWhenIdle(socket));
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
