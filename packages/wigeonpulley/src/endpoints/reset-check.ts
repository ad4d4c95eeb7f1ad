/** Connections whose resets fail the response that they cut off. */
import { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher, Pool } from "undici";

/** A connection of a client, which has one at a time. */
interface ConnectionState {
    /** The error that ended the connection. */
    failure: Error | undefined;
}

/**
 * Creates the connections to one endpoint, for an undici agent. undici takes a reset for the end of a response without a
 * length, so a part of a response would look complete.
 */
export const createResetCheckingPool = (origin: URL, options: object): Dispatcher =>
    new Pool(origin, { ...options, factory: createResetCheckingClient });

const createResetCheckingClient = (origin: URL, options: Client.Options): Client => {
    const state: ConnectionState = { failure: undefined };
    const connect = typeof options.connect === "function" ? options.connect : buildConnector(options.connect);
    const client = new Client(origin, { ...options, connect: createRecordingConnector(connect, state) });
    const checked = client.compose(dispatch => (request, handler) =>
        dispatch(request, createCheckedHandler(handler, state))
    );
    client.dispatch = (request, handler) => checked.dispatch(request, handler);
    return client;
};

/** Creates a connector that records how its connections end, before undici learns of it. */
const createRecordingConnector =
    (connect: buildConnector.connector, state: ConnectionState): buildConnector.connector =>
    (target, callback) =>
        connect(target, (...result) => {
            const [, socket] = result;
            if (socket instanceof Socket) {
                recordEnd(socket, state);
            }
            callback(...result);
        });

const recordEnd = (socket: Socket, state: ConnectionState): void => {
    state.failure = undefined;
    socket.once("error", failure => {
        state.failure = failure;
    });
    socket.once("end", () => {
        // Node.js reports a reset that arrives with the last bytes as an ordinary end. Only a connection that was closed
        // properly still has a remote address then.
        if (socket.remoteAddress === undefined) {
            state.failure = new Error("the connection was reset");
        }
    });
};

/** Creates a handler that gets an error in place of the end of a response whose connection was reset. */
const createCheckedHandler = (
    handler: Dispatcher.DispatchHandler,
    state: ConnectionState,
): Dispatcher.DispatchHandler => ({
    onRequestStart: (controller, context: unknown) => handler.onRequestStart?.(controller, context),
    onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
    onResponseStart: (...parameters) => handler.onResponseStart?.(...parameters),
    onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
    onResponseEnd: (controller, trailers) => {
        if (state.failure === undefined) {
            handler.onResponseEnd?.(controller, trailers);
        }
        else {
            handler.onResponseError?.(controller, state.failure);
        }
    },
    onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
});
