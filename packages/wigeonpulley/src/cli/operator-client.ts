/** Client of the operator API of running VMs, and of the platform's log. */
import { Err, Ok, type Result } from "ts-results-es";
import { request } from "undici";
import * as z from "zod";
import { describeCause, SchedulerError } from "../errors/index.js";
import { HttpPlatformLog } from "../platform/index.js";
import { SystemTimerService } from "../time/index.js";

/** Options of commands that call the operator API. */
export interface OperatorCallOptions {
    /** @description Base URL of any VM. */
    readonly vm: string;
    /** @description Operator key. @default the environment variable WIGEONPULLEY_OPERATOR_KEY */
    readonly key?: string;
}

const MIN_HTTP_ERROR_STATUS = 400;
const STATUS_POLL_INTERVAL_MS = 200;

const statusSchema = z.looseObject({
    members: z.array(z.looseObject({ vm: z.string(), isLive: z.boolean(), configuration: z.number() })),
});

/** Calls a path under /operator. Fails with NotPermitted when the key is wrong, otherwise with PeerUnavailable. */
export const callOperatorApi = async (
    options: OperatorCallOptions,
    method: "GET" | "POST",
    path: string,
): Promise<Result<unknown, SchedulerError>> => {
    const key = options.key ?? process.env["WIGEONPULLEY_OPERATOR_KEY"] ?? "";
    try {
        const response = await request(`${options.vm}${path}`, {
            method,
            headers: { authorization: `Bearer ${key}` },
        });
        const body = await response.body.json();
        if (response.statusCode < MIN_HTTP_ERROR_STATUS) {
            return Ok(body);
        }
        return Err(
            response.statusCode === 403
                ? SchedulerError.create("NotPermitted", {})
                : SchedulerError.create("PeerUnavailable", {
                    peer: options.vm,
                    reason: `status ${response.statusCode}`,
                }),
        );
    }
    catch (cause) {
        return Err(
            SchedulerError.create("PeerUnavailable", { peer: options.vm, reason: describeCause(cause) }),
        );
    }
};

/** Result of waiting for a version. */
export interface VersionWaitResult {
    readonly version: number;
    readonly isInForceEverywhere: boolean;
    /** Live VMs that do not report the version yet. */
    readonly missing: readonly string[];
}

/** Waits until all live VMs report at least a version, or until `timeoutMs` has passed. Fails as `callOperatorApi` does. */
export const waitForVersion = async (
    options: OperatorCallOptions,
    version: number,
    timeoutMs: number,
): Promise<Result<VersionWaitResult, SchedulerError>> => {
    const timers = SystemTimerService.create();
    const deadlineAt = timers.now() + timeoutMs;
    for (;;) {
        const status = await callOperatorApi(options, "GET", "/operator/status");
        if (status.isErr()) {
            return status;
        }
        const { members } = statusSchema.parse(status.value);
        const missing = members.filter(member => member.isLive && member.configuration < version).map((
            { vm },
        ) => vm);
        if (missing.length === 0 || timers.now() >= deadlineAt) {
            return Ok({ version, isInForceEverywhere: missing.length === 0, missing });
        }
        await timers.sleep(STATUS_POLL_INTERVAL_MS);
    }
};

/** Creates a client of the platform's log, for commands that read or write the log directly. */
export const createLogClient = (url: string): HttpPlatformLog => HttpPlatformLog.create(url);
