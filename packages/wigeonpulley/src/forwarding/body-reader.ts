/** Reads the complete body of a request, so that the request can be retried. */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";

/**
 * Reads the body; undefined when the request has none. Fails with BodyTooLong, or with RequestCancelled when the caller
 * disconnects.
 */
export const readBody = (
    request: IncomingMessage,
    limitBytes: number,
): Promise<Result<Buffer | undefined, SchedulerError>> =>
    new Promise(resolve => {
        const declared = Number(request.headers["content-length"] ?? 0);
        const hasBody = declared > 0 || request.headers["transfer-encoding"] !== undefined;
        if (declared > limitBytes) {
            resolve(Err(SchedulerError.create("BodyTooLong", { limit: limitBytes })));
            return;
        }
        if (!hasBody) {
            request.resume();
            resolve(Ok(undefined));
            return;
        }
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > limitBytes) {
                chunks.length = 0;
                resolve(Err(SchedulerError.create("BodyTooLong", { limit: limitBytes })));
                return;
            }
            chunks.push(chunk);
        });
        request.once("end", () => resolve(Ok(Buffer.concat(chunks))));
        request.once("close", () => resolve(Err(SchedulerError.create("RequestCancelled", {}))));
    });
