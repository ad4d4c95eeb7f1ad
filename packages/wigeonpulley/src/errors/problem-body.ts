/** The application/problem+json body of a failure (RFC 9457). */
import * as z from "zod";
import type { SchedulerError } from "./scheduler-error.js";

const MILLISECONDS_PER_SECOND = 1000;

/** Schema of the body. `notRun` is true only when the request provably did not run. */
export const problemBodySchema = z.object({
    type: z.string(),
    title: z.string(),
    status: z.number(),
    detail: z.string(),
    hint: z.string(),
    notRun: z.boolean(),
    retryAfterSeconds: z.number().optional(),
});

/** A problem+json body. */
export type ProblemBody = z.infer<typeof problemBodySchema>;

/** Creates the body for an error. */
export const createProblemBody = (error: SchedulerError): ProblemBody => ({
    type: `urn:wigeonpulley:error:${error.name}`,
    title: error.entry.title,
    status: error.entry.status,
    detail: error.message,
    hint: error.entry.hint,
    notRun: error.entry.notRun,
    ...(error.retryAfterMs === undefined
        ? {}
        : { retryAfterSeconds: computeRetryAfterSeconds(error.retryAfterMs) }),
});

/** Rounds a delay up to whole seconds for the Retry-After header; returns at least 1. */
export const computeRetryAfterSeconds = (retryAfterMs: number): number =>
    Math.max(1, Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND));
