/** HTTP clients of the platform's log and of its list of VMs. Another wire format needs only another file like this one. */
import { Err, Ok, type Result } from "ts-results-es";
import { Agent, request } from "undici";
import * as z from "zod";
import { describeCause, SchedulerError } from "../errors/index.js";
import { type LogPage, PlatformLog } from "./platform-log.js";
import { VmList, type VmListEntry, vmListSchema, type VmListSnapshot } from "./vm-list.js";

const REQUEST_TIMEOUT_MS = 2_000;
const HTTP_OK = 200;
const HTTP_REDIRECT = 300;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

const appendResponseSchema = z.object({ offset: z.number().int() });
const logPageSchema = z.object({
    records: z.array(z.object({ offset: z.number().int(), value: z.unknown() })),
    firstOffset: z.number().int(),
    endOffset: z.number().int(),
});

const createAgent = (): Agent =>
    new Agent({
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
        connect: { timeout: REQUEST_TIMEOUT_MS },
        keepAliveTimeout: REQUEST_TIMEOUT_MS,
    });

const connectFailureSchema = z.looseObject({
    code: z.enum(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]),
});

/** True when no connection was established, so that nothing can have reached the other side. */
export const isConnectFailure = (cause: unknown): boolean => connectFailureSchema.safeParse(cause).success;

/** HTTP client of the platform's log. */
export class HttpPlatformLog extends PlatformLog {
    private readonly agent = createAgent();

    private constructor(private readonly baseUrl: string) {
        super();
    }

    /** Creates a client for the log at a base URL. */
    static create(baseUrl: string): HttpPlatformLog {
        return new HttpPlatformLog(baseUrl);
    }

    override async append(
        stream: string,
        values: readonly unknown[],
    ): Promise<Result<number, SchedulerError>> {
        const operation = `append to ${stream}`;
        try {
            const response = await request(`${this.baseUrl}/streams/${stream}`, {
                method: "POST",
                dispatcher: this.agent,
                headers: { "content-type": "application/json" },
                body: JSON.stringify({ values }),
            });
            if (response.statusCode === HTTP_OK) {
                return Ok(appendResponseSchema.parse(await response.body.json()).offset);
            }
            await response.body.dump();
            const reason = `status ${response.statusCode}`;
            const isRefused = response.statusCode === HTTP_TOO_MANY_REQUESTS
                || response.statusCode === HTTP_UNAVAILABLE;
            return Err(
                SchedulerError.create(isRefused ? "LogUnavailable" : "LogAnswerUnknown", {
                    operation,
                    reason,
                }),
            );
        }
        catch (cause) {
            const errorName = isConnectFailure(cause) ? "LogUnavailable" : "LogAnswerUnknown";
            return Err(SchedulerError.create(errorName, { operation, reason: describeCause(cause) }));
        }
    }

    override async read(stream: string, fromOffset: number): Promise<Result<LogPage, SchedulerError>> {
        const operation = `read of ${stream}`;
        try {
            const response = await request(`${this.baseUrl}/streams/${stream}`, {
                dispatcher: this.agent,
                query: { from: fromOffset },
            });
            if (response.statusCode !== HTTP_OK) {
                await response.body.dump();
                return Err(
                    SchedulerError.create("LogUnavailable", {
                        operation,
                        reason: `status ${response.statusCode}`,
                    }),
                );
            }
            return Ok(logPageSchema.parse(await response.body.json()));
        }
        catch (cause) {
            return Err(SchedulerError.create("LogUnavailable", { operation, reason: describeCause(cause) }));
        }
    }
}

/** HTTP client of the platform's list of VMs. */
export class HttpVmList extends VmList {
    private readonly agent = createAgent();

    private constructor(private readonly baseUrl: string) {
        super();
    }

    /** Creates a client for the list at a base URL. */
    static create(baseUrl: string): HttpVmList {
        return new HttpVmList(baseUrl);
    }

    override async read(): Promise<Result<VmListSnapshot, SchedulerError>> {
        try {
            const response = await request(`${this.baseUrl}/vms`, { dispatcher: this.agent });
            if (response.statusCode !== HTTP_OK) {
                await response.body.dump();
                return Err(this.createError(`status ${response.statusCode}`));
            }
            return Ok(vmListSchema.parse(await response.body.json()));
        }
        catch (cause) {
            return Err(this.createError(describeCause(cause)));
        }
    }

    override async register(entry: VmListEntry): Promise<Result<void, SchedulerError>> {
        try {
            const response = await request(`${this.baseUrl}/vms/${entry.name}`, {
                method: "PUT",
                dispatcher: this.agent,
                headers: { "content-type": "application/json" },
                body: JSON.stringify(entry),
            });
            await response.body.dump();
            return response.statusCode >= HTTP_OK && response.statusCode < HTTP_REDIRECT
                ? Ok.EMPTY
                : Err(this.createError(`status ${response.statusCode}`));
        }
        catch (cause) {
            return Err(this.createError(describeCause(cause)));
        }
    }

    private createError(reason: string): SchedulerError {
        return SchedulerError.create("PeerUnavailable", { peer: "the list of VMs", reason });
    }
}
