/**
 * Reads an engine's streamed response to its end. Checks that the events belong to the request and are in sequence,
 * and resumes on a new connection when the old one is lost, silent, or carries the response of another request.
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { Endpoint } from "../config/index.js";
import {
    END_OF_STREAM,
    type EndpointClient,
    type EngineEvent,
    type EngineStream,
} from "../endpoints/index.js";
import { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { TimerService } from "../time/index.js";

/** Dependencies of a reader and the response that it reads. */
export interface ResponseReaderOptions {
    readonly endpoints: EndpointClient;
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly endpoint: Endpoint;
    readonly requestId: string;
    /** Time without an event after which the stream is resumed on a new connection, in milliseconds. */
    readonly streamSilenceMs: number;
    /** Sequence number of the first event to deliver. */
    readonly firstSequence: number;
}

/** Why a connection delivers no further event. */
type ConnectionEnd = "lost" | "silent" | "mismatch";

/** Result of a read that found that the engine never ran the request. */
export const NEVER_RAN = "never-ran";

/** Outcome of one attempt to resume. */
type ResumeOutcome = "open" | "failed" | "forgotten" | "cancelled" | typeof NEVER_RAN;

/** Failed attempts to resume, without an event in between, after which the read fails. */
const MAX_RESUME_FAILURES = 12;

/** Wait between two attempts, in milliseconds. */
const RESUME_INTERVAL_MS = 250;

const SILENT: unique symbol = Symbol("silent");

/** Reader of one response. */
export class ResponseReader {
    private nextSequence: number;
    private stream: EngineStream | undefined;
    private iterator: AsyncIterator<EngineEvent> | undefined;
    private isDone = false;

    private constructor(private readonly options: ResponseReaderOptions) {
        this.nextSequence = options.firstSequence;
    }

    /** Creates a reader. Without a stream, the first read resumes. */
    static create(options: ResponseReaderOptions, stream: EngineStream | undefined): ResponseReader {
        const reader = new ResponseReader(options);
        reader.setStream(stream);
        return reader;
    }

    /**
     * Returns the next event, or undefined after the last one.
     * NEVER_RAN proves that the engine did not run the request and will not.
     * Fails with EndpointFailed or ResumeUnavailable.
     */
    async read(): Promise<Result<EngineEvent | undefined | typeof NEVER_RAN, SchedulerError>> {
        let hasResumed = false;
        for (let failures = 0; failures < MAX_RESUME_FAILURES;) {
            if (this.isDone) {
                return Ok(undefined);
            }
            const item = await this.readConnection();
            if (typeof item !== "string") {
                this.nextSequence = item.sequence + 1;
                this.isDone = item.data === END_OF_STREAM;
                return Ok(item);
            }
            if (hasResumed && item !== "silent") {
                // The new connection delivered nothing either. Silence doesn't count: the engine may be busy with a
                // long prompt or a long queue.
                failures += 1;
                await this.options.timers.sleep(RESUME_INTERVAL_MS);
            }
            switch (await this.resume()) {
                case "open":
                    hasResumed = true;
                    break;
                case "failed":
                    hasResumed = false;
                    failures += 1;
                    await this.options.timers.sleep(RESUME_INTERVAL_MS);
                    break;
                case "forgotten":
                    return Err(
                        SchedulerError.create("ResumeUnavailable", { endpoint: this.options.endpoint.name }),
                    );
                case "cancelled":
                    return Err(this.createFailure("the request was cancelled"));
                case NEVER_RAN:
                    return Ok(NEVER_RAN);
            }
        }
        return Err(this.createFailure("the answer could not be resumed"));
    }

    /** Closes the connection; the engine continues generating. */
    close(): void {
        this.stream?.close();
    }

    private setStream(stream: EngineStream | undefined): void {
        this.stream?.close();
        this.stream = stream;
        this.iterator = stream?.events[Symbol.asyncIterator]();
    }

    /** Returns the next event in sequence from the current connection, or why there is none. Skips duplicates. */
    private async readConnection(): Promise<EngineEvent | ConnectionEnd> {
        if (this.stream === undefined || this.iterator === undefined) {
            return "lost";
        }
        if (this.stream.requestId !== this.options.requestId) {
            this.options.logger.write("AnswerMismatch", {
                id: this.options.requestId,
                endpoint: this.options.endpoint.name,
                received: this.stream.requestId,
            });
            return "mismatch";
        }
        for (;;) {
            const item = await this.readWithTimeout(this.iterator, this.options.streamSilenceMs);
            if (item === SILENT) {
                return "silent";
            }
            if (item === undefined || item.sequence > this.nextSequence) {
                return "lost"; // The connection ended early, or events are missing.
            }
            if (item.sequence === this.nextSequence) {
                return item;
            }
        }
    }

    private readWithTimeout(
        iterator: AsyncIterator<EngineEvent>,
        timeoutMs: number,
    ): Promise<EngineEvent | undefined | typeof SILENT> {
        return new Promise(resolve => {
            const cancel = this.options.timers.schedule(timeoutMs, () => resolve(SILENT));
            const finish = (event: EngineEvent | undefined): void => {
                cancel();
                resolve(event);
            };
            iterator.next().then(
                result => finish(result.done === true ? undefined : result.value),
                () => finish(undefined),
            );
        });
    }

    /**
     * Resumes at the next event. Before the first event, a request that the engine doesn't know is cancelled, so that
     * it can't start if it arrives late.
     */
    private async resume(): Promise<ResumeOutcome> {
        const { endpoints, endpoint, requestId, logger } = this.options;
        this.setStream(undefined);
        const resumed = await endpoints.resume(endpoint, requestId, this.nextSequence);
        if (resumed.isErr()) {
            return "failed";
        }
        if (resumed.value !== undefined) {
            logger.write("StreamResumed", {
                id: requestId,
                endpoint: endpoint.name,
                sequence: this.nextSequence,
            });
            this.setStream(resumed.value);
            return "open";
        }
        if (this.nextSequence > 0) {
            return "forgotten";
        }
        const cancelled = await endpoints.cancel(endpoint, requestId);
        const outcome = cancelled.unwrapOr(undefined);
        switch (outcome) {
            case "never-seen":
                return NEVER_RAN;
            case "cancelled":
                return "cancelled";
            default:
                return "failed"; // Finished in the meantime, or no response: the next attempt resumes.
        }
    }

    private createFailure(reason: string): SchedulerError {
        return SchedulerError.create("EndpointFailed", { endpoint: this.options.endpoint.name, reason });
    }
}
