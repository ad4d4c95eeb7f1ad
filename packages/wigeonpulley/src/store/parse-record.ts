/** Parses the JSON values of records that VMs write for each other. */
import type * as z from "zod";
import { SchedulerError } from "../errors/index.js";

/** Parses a value; undefined for one that is missing or can't be parsed, which leaves other records unaffected. */
export const parseRecord = <Output>(
    schema: z.ZodType<Output>,
    value: Buffer | undefined,
): Output | undefined => {
    if (value === undefined) {
        return undefined;
    }
    try {
        const parsed = schema.safeParse(JSON.parse(value.toString()));
        return parsed.success ? parsed.data : undefined;
    }
    catch (cause) {
        if (cause instanceof SyntaxError) {
            return undefined;
        }
        throw SchedulerError.fromUnknown(cause);
    }
};
