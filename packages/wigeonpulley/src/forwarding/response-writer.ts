/** Writes the one answer that a caller gets. An answer that ends early never looks complete. */
import type { ServerResponse } from "node:http";
import { createProblemBody, type SchedulerError } from "../errors/index.js";
import type { ResponseHead } from "./endpoint-transport.js";
import { listForwardedResponseHeaders } from "./hop-by-hop.js";

const MILLISECONDS_PER_SECOND = 1_000;
const HTTP_1_1 = "1.1";

/** Answer of one request. */
export class ResponseWriter {
    private constructor(
        private readonly response: ServerResponse,
        private readonly isStopping: () => boolean,
    ) {}

    /** Creates a writer for an answer that has not begun. */
    static create(response: ServerResponse, isStopping: () => boolean): ResponseWriter {
        return new ResponseWriter(response, isStopping);
    }

    /** True once the status has been sent. */
    get hasStarted(): boolean {
        return this.response.headersSent;
    }

    /** Sends the status and headers of an answer whose body follows in pieces. */
    startStream(head: ResponseHead): void {
        this.writeHead(head, []);
        this.response.flushHeaders();
    }

    /** Sends a piece of the body; resolves when the caller can take more. */
    async write(bytes: Buffer): Promise<void> {
        if (!this.response.write(bytes) && !this.response.destroyed) {
            await new Promise<void>(resolve => {
                const finish = (): void => {
                    this.response.off("drain", finish);
                    this.response.off("close", finish);
                    resolve();
                };
                this.response.once("drain", finish);
                this.response.once("close", finish);
            });
        }
    }

    /** Ends the answer as complete. */
    finish(): void {
        this.response.end();
    }

    /** Sends a whole answer. */
    sendComplete(head: ResponseHead, body: Buffer, hasBody: boolean): void {
        const length = head.headers["content-length"];
        const lengthHeader = hasBody
            ? ["content-length", String(body.length)]
            : [length ?? []].flat().flatMap(value => ["content-length", value]);
        this.writeHead(head, lengthHeader);
        this.response.end(hasBody ? body : undefined);
    }

    /** Sends a failure of this VM as problem+json; breaks the answer off when it has begun. */
    sendError(error: SchedulerError): void {
        if (this.response.headersSent) {
            this.abort();
            return;
        }
        const body = JSON.stringify(createProblemBody(error));
        this.response.writeHead(error.entry.status, {
            "content-type": "application/problem+json",
            "content-length": Buffer.byteLength(body),
            ...(error.retryAfterMs === undefined
                ? {}
                : { "retry-after": (error.retryAfterMs / MILLISECONDS_PER_SECOND).toFixed(2) }),
            ...this.readConnectionHeader(),
        });
        this.response.end(body);
    }

    /** Cuts the connection, so that the caller sees an incomplete answer. */
    abort(): void {
        // Without chunks the end of the connection would look like the end of the answer.
        if (this.response.req.httpVersion === HTTP_1_1) {
            this.response.destroy();
        }
        else {
            this.response.socket?.resetAndDestroy();
        }
    }

    private writeHead({ status, statusText, headers }: ResponseHead, added: readonly string[]): void {
        const closing = Object.entries(this.readConnectionHeader()).flat();
        this.response.writeHead(status, statusText, [
            ...listForwardedResponseHeaders(headers),
            ...added,
            ...closing,
        ]);
    }

    private readConnectionHeader(): Readonly<Record<string, string>> {
        return this.isStopping() ? { connection: "close" } : {};
    }
}
