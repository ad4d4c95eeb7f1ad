/** Publishes a configuration to the log. */
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../../errors/index.js";
import type { PlatformLog } from "../../platform/index.js";
import type { TimerService } from "../../time/index.js";
import { CONFIGURATION_STREAM, NO_VERSION, type PublishRecord } from "../config-fold.js";
import type { Configuration } from "../configuration.js";
import { foldConfigurationStream } from "../queries/fold-configuration-stream.js";

/** Result of a change that took effect. */
export interface PublishOutcome {
    /** Version that the change created. */
    readonly version: number;
}

/** Wait after a failed read or append, in milliseconds. */
const RETRY_INTERVAL_MS = 500;

/** Attempts to append the change and to find out its outcome. */
const MAX_ATTEMPTS = 20;

/** Creates the log record of a change. */
export const createPublishRecord = (
    change: {
        readonly base: number;
        readonly changeId: string;
        readonly author: string;
        readonly configuration: Configuration;
    },
    timers: TimerService,
): PublishRecord => ({ kind: "publish", ...change, publishedAt: timers.readWallClock() });

/**
 * Publishes a change that is based on a version. Of several changes with the same base, exactly one takes effect.
 * If the response to an append is lost, the log is read to find out its outcome. Appending the same change again has no
 * second effect, since its base is no longer the active version.
 * Fails with ConfigurationConflict, LogUnavailable or LogAnswerUnknown.
 */
export const publishConfiguration = async (
    log: PlatformLog,
    timers: TimerService,
    record: PublishRecord,
): Promise<Result<PublishOutcome, SchedulerError>> => {
    let lastError = SchedulerError.create("LogUnavailable", { operation: "publish", reason: "not tried" });
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
        const outcome = await findOutcome(log, record);
        if (outcome.isOk() && outcome.value !== undefined) {
            return outcome.value;
        }
        if (outcome.isErr()) {
            lastError = outcome.error;
        }
        else {
            const appended = await log.append(CONFIGURATION_STREAM, [record]);
            lastError = appended.isErr() ? appended.error : lastError;
            if (appended.isOk()) {
                continue;
            }
        }
        await timers.sleep(RETRY_INTERVAL_MS);
    }
    return Err(lastError);
};

/** Finds the outcome of a change; undefined while the log has no record of it and its base is still active. */
const findOutcome = async (
    log: PlatformLog,
    record: PublishRecord,
): Promise<Result<Result<PublishOutcome, SchedulerError> | undefined, SchedulerError>> => {
    let version: number | undefined;
    const folded = await foldConfigurationStream(log, undefined, (entry, before, { current }) => {
        version = current?.changeId === record.changeId ? current.version : undefined;
        return version !== undefined;
    });
    if (folded.isErr()) {
        return Err(folded.error);
    }
    if (version !== undefined) {
        return Ok(Ok({ version }));
    }
    const current = folded.value.current?.version ?? NO_VERSION;
    return Ok(
        current === record.base
            ? undefined
            : Err(SchedulerError.create("ConfigurationConflict", { base: record.base, current })),
    );
};
