/** Publishes a configuration to the log. */
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../../errors/index.js";
import type { PlatformLog } from "../../platform/index.js";
import type { TimerService } from "../../time/index.js";
import { CONFIGURATION_STREAM, NO_VERSION, type PublishRecord } from "../config-fold.js";
import type { Configuration } from "../configuration.js";
import { foldConfigurationStream } from "../queries/fold-configuration-stream.js";

/** A change that is in force. */
export interface PublishOutcome {
    /** Version of the change. */
    readonly version: number;
}

/** Time between two tries to settle a lost answer, in milliseconds. */
const SETTLE_INTERVAL_MS = 500;

/** Tries to settle a lost answer. */
const SETTLE_TRIES = 20;

/** Builds the record of a change. */
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
 * Publishes a change that is based on a version. Of several changes with the same base exactly one is effective.
 * An append whose answer was lost is settled by reading; appending the same change again has no second effect, since
 * its base is no longer in force.
 * Fails with ConfigurationConflict, LogUnavailable or LogAnswerUnknown.
 */
export const publishConfiguration = async (
    log: PlatformLog,
    timers: TimerService,
    record: PublishRecord,
): Promise<Result<PublishOutcome, SchedulerError>> => {
    let lastError = SchedulerError.create("LogUnavailable", { operation: "publish", reason: "not tried" });
    for (let attempt = 0; attempt < SETTLE_TRIES; attempt += 1) {
        const verdict = await findVerdict(log, record);
        if (verdict.isOk() && verdict.value !== undefined) {
            return verdict.value;
        }
        if (verdict.isErr()) {
            lastError = verdict.error;
        }
        else {
            const appended = await log.append(CONFIGURATION_STREAM, [record]);
            lastError = appended.isErr() ? appended.error : lastError;
            if (appended.isOk()) {
                continue;
            }
        }
        await timers.sleep(SETTLE_INTERVAL_MS);
    }
    return Err(lastError);
};

/** The verdict on a change, or undefined while the log doesn't hold its record and its base is still in force. */
const findVerdict = async (
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
