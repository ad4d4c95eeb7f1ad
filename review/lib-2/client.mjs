// Stand-in of a client: sends one attempt and records its answer.
import { randomBytes } from "node:crypto";
import { Agent, request as sendRequest } from "node:http";

/** Sends a request; resolves with its record, also when it failed. */
export const send = (
    front,
    { host, path, method = "POST", key, headers = {}, body, deadlineMs = 5_000, agent },
) => {
    const [address, port] = front.split(":");
    const attemptId = randomBytes(8).toString("hex");
    const record = { attemptId, front, path, key, sentAt: performance.now(), status: 0, isComplete: false };
    return new Promise(resolve => {
        const end = problem => {
            record.endedAt ??= performance.now();
            record.problem ??= problem;
            resolve(record);
        };
        const request = sendRequest({
            host: address,
            port,
            path,
            method,
            agent: agent ?? new Agent({ keepAlive: false }),
            headers: {
                host,
                "x-wigeonpulley-attempt-id": attemptId,
                "x-wigeonpulley-deadline-ms": String(deadlineMs),
                ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
                ...headers,
            },
        }, response => {
            record.status = response.statusCode;
            record.headers = response.headers;
            const parts = [];
            response.on("data", part => parts.push(part));
            response.on("end", () => {
                record.isComplete = response.complete;
                record.body = Buffer.concat(parts);
                end(undefined);
            });
            response.on("error", error => end(error.message));
            response.on("close", () => end("closed"));
        });
        const timer = setTimeout(() => request.destroy(new Error("deadline")), deadlineMs);
        request.on("error", error => end(error.message));
        request.on("close", () => {
            clearTimeout(timer);
            end("closed");
        });
        request.end(body);
    });
};
