/** `wigeonpulley config show`: prints the current configuration version according to the log. */
import { readCurrentVersion } from "../../config/index.js";
import { createLogClient } from "../operator-client.js";
import { printResult } from "../output.js";

/** Options of commands that read the platform's log. */
export interface LogOptions {
    /** @description URL of the platform's log. */
    readonly log: string;
}

/** Prints the current configuration version, or an empty object when none has been published yet. */
export const runConfigShow = async (options: LogOptions): Promise<void> => {
    const state = await readCurrentVersion(createLogClient(options.log));
    printResult(state.map(({ current }) => current ?? {}));
};
