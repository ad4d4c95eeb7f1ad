/** `wigeonpulley config diff`: compares a file with the current configuration version. */
import {
    checkConfiguration,
    diffConfigurations,
    readCurrentVersion,
    readJsonFile,
} from "../../config/index.js";
import type { LogOptions } from "../config-show/index.js";
import { createLogClient } from "../operator-client.js";
import { printError, printResult } from "../output.js";

/** Prints the number of the current version and the changes that the file would make to it. */
export const runConfigDiff = async (path: string, options: LogOptions): Promise<void> => {
    const configuration = readJsonFile(path).andThen(checkConfiguration);
    if (configuration.isErr()) {
        printError(configuration.error);
        return;
    }
    const state = await readCurrentVersion(createLogClient(options.log));
    printResult(state.map(({ current }) => ({
        base: current?.version,
        changes: diffConfigurations(current?.configuration, configuration.value),
    })));
};
