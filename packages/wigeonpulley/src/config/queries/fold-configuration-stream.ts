/** Reads the configuration stream page by page and folds its records. */
import { Err, Ok, type Result } from "ts-results-es";
import type { SchedulerError } from "../../errors/index.js";
import { checkEndReached, type LogRecord, type PlatformLog } from "../../platform/index.js";
import {
    CONFIGURATION_STREAM,
    type ConfigurationState,
    createConfigurationState,
    foldConfiguration,
} from "../config-fold.js";

/** Called with each record and the states before and after it. Returns true to stop the fold. */
export type RecordVisitor = (
    record: LogRecord,
    before: ConfigurationState,
    after: ConfigurationState,
) => boolean | undefined;

/**
 * Folds the stream from a state, or from the first retained record, to its end or until the visitor stops the fold.
 * If retention has dropped records that follow the state, the fold restarts at the first retained one, and only a
 * checkpoint can tell the active version.
 * Fails with LogUnavailable.
 */
export const foldConfigurationStream = async (
    log: PlatformLog,
    from: ConfigurationState | undefined,
    visit: RecordVisitor = () => false,
): Promise<Result<ConfigurationState, SchedulerError>> => {
    let state = from;
    for (;;) {
        const page = await log.read(CONFIGURATION_STREAM, state?.nextOffset ?? 0);
        if (page.isErr()) {
            return Err(page.error);
        }
        const { records, firstOffset } = page.value;
        if (state === undefined || state.nextOffset < firstOffset) {
            state = createConfigurationState(firstOffset);
        }
        for (const record of records) {
            const after = foldConfiguration(state, record);
            const isStopped = visit(record, state, after);
            state = after;
            if (isStopped === true) {
                return Ok(state);
            }
        }
        const isEndReached = checkEndReached(page.value, state.nextOffset);
        if (isEndReached.isErr()) {
            return Err(isEndReached.error);
        }
        if (isEndReached.value) {
            return Ok(state);
        }
    }
};
