/** Output and exit codes of the commands. */
import type { Result } from "ts-results-es";
import { createProblemBody, type SchedulerError } from "../errors/index.js";

const EXIT_FAILURE = 1;

/** Prints a value as JSON on standard output. */
export const printJson = (value: unknown): void => {
    process.stdout.write(`${JSON.stringify(value, undefined, 4)}\n`);
};

/** Prints the problem+json body of an error on standard error and sets a non-zero exit code. */
export const printError = (error: SchedulerError): void => {
    process.stderr.write(`${JSON.stringify(createProblemBody(error), undefined, 4)}\n`);
    process.exitCode = EXIT_FAILURE;
};

/** Prints the value or the error of a result. */
export const printResult = (result: Result<unknown, SchedulerError>): void => {
    if (result.isOk()) {
        printJson(result.value);
    }
    else {
        printError(result.error);
    }
};
