/** `wigeonpulley serve`: runs one VM until a signal stops it. */
import { checkSettings, readJsonFile } from "../../config/index.js";
import { startDaemon } from "../../vm/index.js";
import { printError } from "../output.js";

const EXIT_CODE_GRACEFUL = 0;
const EXIT_CODE_ABORTED = 1;

/** Options of the command. */
export interface ServeOptions {
    /** @description Path of the settings file. */
    readonly settings: string;
}

/**
 * Runs the command. SIGTERM and SIGINT start a graceful shutdown; a second signal aborts the open requests. Exits with
 * code 1 when requests were aborted.
 */
export const runServe = async (options: ServeOptions): Promise<void> => {
    const settings = readJsonFile(options.settings).andThen(checkSettings);
    if (settings.isErr()) {
        printError(settings.error);
        return;
    }
    const starting = startDaemon(settings.value);
    // Registered before the VM has started: it serves callers while it joins the others.
    const stop = (): void => void starting.then(daemon => daemon.stop());
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    const isGraceful = await (await starting).stopped;
    process.exit(isGraceful ? EXIT_CODE_GRACEFUL : EXIT_CODE_ABORTED);
};
