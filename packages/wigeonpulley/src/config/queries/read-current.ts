/** Reads the configuration in force from the log. */
import { Err, Ok, type Result } from "ts-results-es";
import type { SchedulerError } from "../../errors/index.js";
import type { PlatformLog } from "../../platform/index.js";
import {
    CONFIGURATION_STREAM,
    type ConfigurationState,
    createConfigurationState,
    foldConfiguration,
} from "../config-fold.js";

/**
 * Reads the stream from a state to its end.
 * A state that retention has overtaken keeps its version if it has one; the fold goes on at the first retained record.
 */
export const readCurrentVersion = async (
    log: PlatformLog,
    from: ConfigurationState | undefined = undefined,
): Promise<Result<ConfigurationState, SchedulerError>> => {
    let state = from;
    for (;;) {
        const page = await log.read(CONFIGURATION_STREAM, state?.nextOffset ?? 0);
        if (page.isErr()) {
            return Err(page.error);
        }
        const { records, firstOffset, endOffset } = page.value;
        state = alignWithRetention(state, firstOffset);
        state = records.reduce(foldConfiguration, state);
        if (state.nextOffset >= endOffset || records.length === 0) {
            return Ok(state);
        }
    }
};

const alignWithRetention = (
    state: ConfigurationState | undefined,
    firstOffset: number,
): ConfigurationState => {
    if (state === undefined) {
        return createConfigurationState(firstOffset);
    }
    if (state.nextOffset >= firstOffset) {
        return state;
    }
    // Changes may be missing: only a repetition can tell which version is in force now.
    return createConfigurationState(firstOffset);
};
