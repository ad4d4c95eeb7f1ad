/** Reads the active configuration from the log. */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../../errors/index.js";
import type { PlatformLog } from "../../platform/index.js";
import type { ConfigurationState } from "../config-fold.js";
import { foldConfigurationStream } from "./fold-configuration-stream.js";

/** Reads the configuration stream from a state, or from its first record, to its end. Fails with LogUnavailable. */
export const readCurrentVersion = (
    log: PlatformLog,
    from: ConfigurationState | undefined = undefined,
): Promise<Result<ConfigurationState, SchedulerError>> => foldConfigurationStream(log, from);
