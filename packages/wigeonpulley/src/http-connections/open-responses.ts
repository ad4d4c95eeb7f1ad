/**
 * Knows the responses in progress on each connection of a caller. A caller may send requests without waiting for the
 * responses to earlier ones; Node.js then sends the responses one after the other.
 */
import type { ServerResponse } from "node:http";
import { Socket } from "node:net";

/** Requests on one connection. */
interface ConnectionState {
    /** Responses that have not been sent completely, in the order of their requests. */
    readonly responses: Set<ServerResponse>;
    requestCount: number;
}

const stateBySocket = new WeakMap<Socket, ConnectionState>();

/** Records a request that has arrived; its response is open until it closes. */
export const recordRequest = (response: ServerResponse): void => {
    const { socket } = response.req;
    const state = stateBySocket.get(socket) ?? createState(socket);
    state.requestCount += 1;
    state.responses.add(response);
    response.once("close", () => state.responses.delete(response));
};

/** Returns the open responses on a connection, in the order of their requests. */
export const listOpenResponses = (socket: Socket): readonly ServerResponse[] => [
    ...stateBySocket.get(socket)?.responses ?? [],
];

/** Returns the number of open responses on a connection. */
export const countOpenResponses = (socket: Socket): number => stateBySocket.get(socket)?.responses.size ?? 0;

/** Returns the number of requests whose heads have arrived on a connection so far. */
export const countRequests = (socket: Socket): number => stateBySocket.get(socket)?.requestCount ?? 0;

/** True when no later request has arrived on the connection: it may be closed after this response. */
export const isNewest = (response: ServerResponse): boolean =>
    listOpenResponses(response.req.socket).at(-1) === response;

const createState = (socket: Socket): ConnectionState => {
    const state: ConnectionState = { responses: new Set(), requestCount: 0 };
    stateBySocket.set(socket, state);
    socket.once("close", () => state.responses.forEach(closeUnsent));
    return state;
};

/**
 * Closes a response whose connection was closed before its turn to be sent. Node.js has not attached it to the connection yet,
 * so that it neither emits "close" by itself nor when it is destroyed.
 */
const closeUnsent = (response: ServerResponse): void => {
    if (response.socket instanceof Socket) {
        return;
    }
    response.destroy();
    response.emit("close");
};
