/** Transport of requests to instances: one exchange on one connection. */
import type { Instance } from "../discovery/index.js";
import type { ParsedHeaders } from "./header-codec.js";

/** A request as it is sent to an endpoint. */
export interface OutgoingRequest {
    readonly method: string;
    /** Path with query, byte for byte as the caller sent it. */
    readonly path: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Buffer | undefined;
    /** True when a second run does harm; the request then uses no connection that may be stale. */
    readonly isAtMostOnce: boolean;
}

/** Status and headers of a response. */
export interface ResponseHead {
    readonly status: number;
    /** Reason phrase of the status line; valid in a response to a caller. */
    readonly reasonPhrase: string;
    readonly headers: ParsedHeaders;
    /** True when the body has neither a length nor chunks, so that only the end of the connection ends it. */
    readonly endsWithConnection: boolean;
}

/** Why an exchange failed. */
export interface ExchangeFailure {
    /** False when the request provably never left this VM. */
    readonly mayHaveRun: boolean;
    /** True when the endpoint closed or reset the connection after the request was sent. */
    readonly isConnectionLost: boolean;
    readonly reason: string;
}

/** One request on one connection. */
export abstract class EndpointExchange {
    /** Resolves with the head, or with the failure. */
    abstract readHead(): Promise<ResponseHead | ExchangeFailure>;

    /**
     * Resolves with the next bytes of the body, `undefined` at its end, or the failure. Only a response that was read to
     * its end leaves its connection to further requests.
     */
    abstract readChunk(): Promise<Buffer | undefined | ExchangeFailure>;

    /** True while bytes are buffered, so that `readChunk` does not wait. */
    abstract get hasChunk(): boolean;

    /** Leaves what the instance sends unread until `resume`, as far as the transport can. */
    pause(): void {
        // Without effect by default.
    }

    /** Reads on after `pause`. */
    resume(): void {
        // Without effect by default.
    }

    /** Aborts the exchange and closes its connection, unless the response was read to its end. */
    abstract abort(reason: string): void;
}

/** Connections to instances. */
export abstract class EndpointTransport {
    /** Starts an exchange. */
    abstract send(instance: Instance, request: OutgoingRequest): EndpointExchange;

    /** Opens a connection for the next request to an instance; false when that fails or takes too long. */
    abstract open(instance: Instance): Promise<boolean>;

    /** Closes all connections. */
    abstract close(): void;
}

/** True for the failure of an exchange. */
export const isExchangeFailure = (value: unknown): value is ExchangeFailure =>
    value instanceof Object && "mayHaveRun" in value;
