/** `wigeonpulley config check`: checks a configuration file without publishing it. */
import { checkConfiguration, readJsonFile } from "../../config/index.js";
import { printResult } from "../output.js";

/** Prints `valid: true`, or the problems of the file. */
export const runConfigCheck = (path: string): void => {
    printResult(readJsonFile(path).andThen(checkConfiguration).map(() => ({ valid: true })));
};
