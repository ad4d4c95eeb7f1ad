/** Writes the response to a caller. A response that ends early never looks complete. */
import type { ServerResponse } from "node:http";
import { createProblemBody, type SchedulerError } from "../errors/index.js";
import { isNewest } from "../http-connections/index.js";
import type { ResponseHead } from "./endpoint-transport.js";
import { listForwardedResponseHeaders } from "./hop-by-hop.js";
import { VM_ERROR_HEADER } from "./peer-headers.js";
import { getReasonPhrase } from "./reason-phrase.js";

const MILLISECONDS_PER_SECOND = 1_000;
const HTTP_1_1 = "1.1";

/** Response to one request. */
export class ResponseWriter {
    private constructor(
        private readonly response: ServerResponse,
        private readonly isDraining: () => boolean,
        private readonly isForPeer: boolean,
    ) {}

    /**
     * Creates a writer for a response that has not started; while `isDraining` returns true, the connection is closed after
     * the response to its last request. Errors for another VM carry their names, so that they can't be taken for responses
     * of an endpoint.
     */
    static create(response: ServerResponse, isDraining: () => boolean, isForPeer = false): ResponseWriter {
        return new ResponseWriter(response, isDraining, isForPeer);
    }

    /** True once the status has been sent. */
    get hasStarted(): boolean {
        return this.response.headersSent;
    }

    /** Sends the status and headers of a response whose body follows in chunks. */
    startStream(head: ResponseHead): void {
        this.writeHead(head, []);
        this.response.flushHeaders();
    }

    /** Sends a chunk of the body; resolves when the connection can take more or is closed. */
    async write(bytes: Buffer): Promise<void> {
        if (!this.response.write(bytes) && !this.response.destroyed) {
            await new Promise<void>(resolve => {
                const handleDrainOrClose = (): void => {
                    this.response.off("drain", handleDrainOrClose);
                    this.response.off("close", handleDrainOrClose);
                    resolve();
                };
                this.response.once("drain", handleDrainOrClose);
                this.response.once("close", handleDrainOrClose);
            });
        }
    }

    /** Ends the response as complete. */
    finish(): void {
        this.response.end();
    }

    /** Sends a complete response. Without a body, as to a HEAD request, the endpoint's content-length is kept. */
    sendComplete(head: ResponseHead, body: Buffer, hasBody: boolean): void {
        const length = head.headers["content-length"];
        const lengthHeader = hasBody
            ? ["content-length", String(body.length)]
            : [length ?? []].flat().flatMap(value => ["content-length", value]);
        this.writeHead(head, lengthHeader);
        this.response.end(hasBody ? body : undefined);
    }

    /** Sends an error of this VM as problem+json; aborts a response that has started. */
    sendError(error: SchedulerError): void {
        if (this.response.headersSent) {
            this.abort();
            return;
        }
        const body = JSON.stringify(createProblemBody(error));
        const { status } = error.entry;
        // Without a phrase, Node.js uses the one of an earlier attempt to write a head.
        this.response.writeHead(status, getReasonPhrase(status), {
            "content-type": "application/problem+json",
            "content-length": Buffer.byteLength(body),
            ...(error.retryAfterMs === undefined
                ? {}
                : { "retry-after": (error.retryAfterMs / MILLISECONDS_PER_SECOND).toFixed(2) }),
            ...this.createConnectionHeader(),
            ...(this.isForPeer ? { [VM_ERROR_HEADER]: error.name } : {}),
        });
        this.response.end(body);
    }

    /** Closes the connection so that the caller sees an incomplete response. */
    abort(): void {
        // HTTP/1.0 has no chunked encoding: an ordinary close would look like the end of the response.
        if (this.response.req.httpVersion === HTTP_1_1) {
            this.response.destroy();
        }
        else {
            this.response.socket?.resetAndDestroy();
        }
    }

    private writeHead({ status, reasonPhrase, headers }: ResponseHead, added: readonly string[]): void {
        const connectionHeader = Object.entries(this.createConnectionHeader()).flat();
        this.response.writeHead(status, reasonPhrase, [
            ...listForwardedResponseHeaders(
                this.isForPeer ? { ...headers, [VM_ERROR_HEADER]: undefined } : headers,
            ),
            ...added,
            ...connectionHeader,
        ]);
    }

    private createConnectionHeader(): Readonly<Record<string, string>> {
        return this.isDraining() && isNewest(this.response) ? { connection: "close" } : {};
    }
}
