/** Checks documents against a schema and reports all problems at once. */
import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results-es";
import type { z } from "zod";
import { describeCause, type ErrorName, SchedulerError } from "../../errors/index.js";
import { type Configuration, configurationSchema } from "../configuration.js";
import { type Settings, settingsSchema } from "../settings.js";

/** Formats all problems of a failed check, each with its path. */
export const formatProblems = (error: z.ZodError): string =>
    error.issues
        .map(issue =>
            `${issue.path.length === 0 ? "(document)" : issue.path.map(String).join(".")}: ${issue.message}`
        )
        .join("; ");

/** Checks a document against a schema. Fails with the given error, which lists all problems. */
export const checkDocument = <Output>(
    schema: z.ZodType<Output>,
    document: unknown,
    errorName: ErrorName & ("InvalidSettings" | "InvalidConfiguration"),
): Result<Output, SchedulerError> => {
    const checked = schema.safeParse(document);
    return checked.success
        ? Ok(checked.data)
        : Err(SchedulerError.create(errorName, { problems: formatProblems(checked.error) }));
};

/** Checks the settings of a process. Fails with InvalidSettings. */
export const checkSettings = (document: unknown): Result<Settings, SchedulerError> =>
    checkDocument(settingsSchema, document, "InvalidSettings");

/** Checks a configuration. Fails with InvalidConfiguration. */
export const checkConfiguration = (document: unknown): Result<Configuration, SchedulerError> =>
    checkDocument(configurationSchema, document, "InvalidConfiguration");

/** Reads a JSON file. Fails with UnreadableFile. */
export const readJsonFile = (path: string): Result<unknown, SchedulerError> => {
    try {
        return Ok(JSON.parse(readFileSync(path, "utf8")) as unknown);
    }
    catch (cause) {
        return Err(SchedulerError.create("UnreadableFile", { path, reason: describeCause(cause) }));
    }
};
