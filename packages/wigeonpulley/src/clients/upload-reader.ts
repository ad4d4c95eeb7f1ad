/** Reads the complete body of a request, so that the request can be retried, within the limits on clients. */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";
import { waitForPendingInput } from "../http-connections/index.js";
import type { TimerService } from "../time/index.js";
import type { ByteAccount } from "./byte-budget.js";
import type { ClientSettings } from "./client-settings.js";
import { CompactBytes, type SegmentPool } from "./compact-bytes.js";
import type { LimitRecorder } from "./limit-recorder.js";

const MS_PER_S = 1_000;
/** Retry-After of a request that found the budget exhausted, in milliseconds. */
const RETRY_AFTER_MS = 500;

/** Dependencies of a reader. */
export interface UploadReaderOptions {
    readonly timers: TimerService;
    readonly settings: ClientSettings;
    readonly pool: SegmentPool;
    readonly recorder: LimitRecorder;
}

/** Creates the refusal of a request that the budget has no room for. */
export const createMemoryError = (): SchedulerError =>
    SchedulerError.create("ClientMemoryExhausted", {}, { retryAfterMs: RETRY_AFTER_MS });

/** Reader of the uploads of one process. */
export class UploadReader {
    private constructor(private readonly options: UploadReaderOptions) {}

    /** Creates a reader. */
    static create(options: UploadReaderOptions): UploadReader {
        return new UploadReader(options);
    }

    /**
     * Reads the body, whose bytes the account holds; undefined when the request has none. Fails with BodyTooLong, UploadTooSlow
     * or ClientMemoryExhausted, or with RequestCancelled when the caller disconnects.
     */
    read(
        request: IncomingMessage,
        account: ByteAccount,
        limitBytes: number,
    ): Promise<Result<Buffer | undefined, SchedulerError>> {
        const declared = Number(request.headers["content-length"] ?? 0);
        if (declared > limitBytes) {
            return Promise.resolve(Err(SchedulerError.create("BodyTooLong", { limit: limitBytes })));
        }
        if (declared === 0 && request.headers["transfer-encoding"] === undefined) {
            request.resume();
            return Promise.resolve(Ok(undefined));
        }
        return Upload.create({ ...this.options, request, account, limitBytes, declared }).ended;
    }

    /** Closes the connection of a request that was answered before its body had ended, if the body goes on for too long. */
    closeUnlessEnded(request: IncomingMessage): void {
        const { timers, settings } = this.options;
        if (request.complete || request.socket.destroyed) {
            return;
        }
        const cancel = timers.schedule(settings.uploadWindowMs, () => {
            if (!request.complete) {
                request.socket.destroy();
            }
        });
        request.once("close", cancel);
    }
}

/** One body that is being read. */
interface UploadOptions extends UploadReaderOptions {
    readonly request: IncomingMessage;
    readonly account: ByteAccount;
    readonly limitBytes: number;
    readonly declared: number;
}

/** Reads one body. */
class Upload {
    readonly ended: Promise<Result<Buffer | undefined, SchedulerError>>;
    private readonly bytes: CompactBytes;
    private resolve: (result: Result<Buffer | undefined, SchedulerError>) => void = () => undefined;
    private isEnded = false;
    /** Bytes received since the last check of the rate. */
    private bytesInWindow = 0;
    private cancelRateCheck: () => void = () => undefined;

    private constructor(private readonly options: UploadOptions) {
        const { request, account, pool, declared } = options;
        this.bytes = CompactBytes.create(pool, declared);
        this.ended = new Promise(resolve => {
            this.resolve = resolve;
        });
        account.startUpload(() => this.refuseForMemory());
        request.on("data", (chunk: Buffer) => this.handleChunk(chunk));
        request.once("end", () => this.finish());
        request.once("close", () => this.fail(SchedulerError.create("RequestCancelled", {})));
        this.scheduleRateCheck();
    }

    /** Starts to read. */
    static create(options: UploadOptions): Upload {
        return new Upload(options);
    }

    private handleChunk(chunk: Buffer): void {
        const { account, limitBytes } = this.options;
        if (this.isEnded) {
            return;
        }
        if (this.bytes.length + chunk.length > limitBytes) {
            this.fail(SchedulerError.create("BodyTooLong", { limit: limitBytes }));
            return;
        }
        const growth = this.bytes.computeGrowth(chunk.length);
        account.recordProgress();
        if (growth > 0 && !account.tryAdd(growth)) {
            this.refuseForMemory();
            return;
        }
        this.bytesInWindow += chunk.length;
        this.bytes.push(chunk);
    }

    private finish(): void {
        if (this.isEnded) {
            return;
        }
        const { account } = this.options;
        const otherBytes = account.bytes - this.bytes.computeMemory();
        const body = this.bytes.take();
        account.finishUpload();
        account.set(otherBytes + body.buffer.byteLength);
        this.end(Ok(body));
    }

    private fail(error: SchedulerError): void {
        if (this.isEnded) {
            return;
        }
        const { account } = this.options;
        account.set(account.bytes - this.bytes.computeMemory());
        this.bytes.clear();
        account.finishUpload();
        this.end(Err(error));
    }

    private end(result: Result<Buffer | undefined, SchedulerError>): void {
        this.isEnded = true;
        this.cancelRateCheck();
        this.resolve(result);
    }

    private refuseForMemory(): void {
        if (!this.isEnded) {
            this.options.recorder.record("memory");
            this.fail(createMemoryError());
        }
    }

    private scheduleRateCheck(): void {
        const { timers, settings } = this.options;
        this.cancelRateCheck = timers.schedule(settings.uploadWindowMs, () => void this.checkRate());
    }

    private async checkRate(): Promise<void> {
        const { settings, recorder } = this.options;
        const minBytes = settings.minUploadBytesPerS * settings.uploadWindowMs / MS_PER_S;
        // The timer runs before what has arrived is read.
        await waitForPendingInput();
        if (this.isEnded) {
            return;
        }
        // Input that has arrived may wait to be parsed.
        if (this.bytesInWindow >= minBytes || this.options.request.socket.readableLength > 0) {
            this.bytesInWindow = 0;
            this.scheduleRateCheck();
            return;
        }
        recorder.record("slow-upload");
        this.fail(
            SchedulerError.create("UploadTooSlow", { bytesPerS: settings.minUploadBytesPerS }),
        );
    }
}
