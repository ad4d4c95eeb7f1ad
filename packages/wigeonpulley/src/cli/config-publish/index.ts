/** `wigeonpulley config publish`: publishes a configuration file. */
import { Err, Ok, type Result } from "ts-results-es";
import {
    checkConfiguration,
    createPublishRecord,
    NO_VERSION,
    publishConfiguration,
    readCurrentVersion,
    readJsonFile,
} from "../../config/index.js";
import type { SchedulerError } from "../../errors/index.js";
import type { PlatformLog } from "../../platform/index.js";
import { SystemRandom } from "../../random/index.js";
import { SystemTimerService } from "../../time/index.js";
import { createLogClient, type OperatorCallOptions, waitForVersion } from "../operator-client.js";
import { printError, printJson, printResult } from "../output.js";

/** Options of the command. */
export interface PublishOptions extends Partial<OperatorCallOptions> {
    /** @description URL of the platform's log. */
    readonly log: string;
    /** @description Version that the change is based on. @default the version in force */
    readonly base?: number;
    /** @description Name for the audit trail. @default the environment variable USER */
    readonly author?: string;
    /** @description Waits until all live VMs report the version; needs --vm. @default false */
    readonly wait?: boolean;
    /** @description Maximum wait, in seconds. @default 12 */
    readonly timeout?: number;
}

const DEFAULT_TIMEOUT_SECONDS = 12;
const MILLISECONDS_PER_SECOND = 1_000;
const EXIT_CODE_NOT_ACTIVE = 2;

/** Runs the command. Exits with code 2 when the change was published but isn't active on every live VM yet. */
export const runConfigPublish = async (path: string, options: PublishOptions): Promise<void> => {
    const configuration = readJsonFile(path).andThen(checkConfiguration);
    if (configuration.isErr()) {
        printError(configuration.error);
        return;
    }
    const log = createLogClient(options.log);
    const base = options.base === undefined ? await readBaseVersion(log) : Ok(options.base);
    if (base.isErr()) {
        printError(base.error);
        return;
    }
    const timers = SystemTimerService.create();
    const record = createPublishRecord({
        base: base.value,
        changeId: SystemRandom.create().createIdentifier(),
        author: options.author ?? process.env["USER"] ?? "unknown",
        configuration: configuration.value,
    }, timers);
    const published = await publishConfiguration(log, timers, record);
    if (published.isErr() || options.wait !== true || options.vm === undefined) {
        printResult(published.map(({ version }) => ({ version, base: base.value })));
        return;
    }
    const timeoutMs = (options.timeout ?? DEFAULT_TIMEOUT_SECONDS) * MILLISECONDS_PER_SECOND;
    const waitResult = await waitForVersion(
        { ...options, vm: options.vm },
        published.value.version,
        timeoutMs,
    );
    if (waitResult.isErr()) {
        printError(waitResult.error);
        return;
    }
    printJson({ base: base.value, ...waitResult.value });
    if (!waitResult.value.isInForceEverywhere) {
        process.exitCode = EXIT_CODE_NOT_ACTIVE;
    }
};

const readBaseVersion = async (log: PlatformLog): Promise<Result<number, SchedulerError>> => {
    const state = await readCurrentVersion(log);
    return state.isErr() ? Err(state.error) : Ok(state.value.current?.version ?? NO_VERSION);
};
