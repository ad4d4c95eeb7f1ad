/** Errors: the error catalogue, the error type and its application/problem+json body. Imports no other domain. */
export {
    errorCatalogue,
    type ErrorDetails,
    type ErrorEntry,
    type ErrorName,
    isErrorName,
} from "./error-catalogue.js";
export {
    computeRetryAfterSeconds,
    createProblemBody,
    type ProblemBody,
    problemBodySchema,
} from "./problem-body.js";
export { describeCause, SchedulerError, type SchedulerErrorOptions } from "./scheduler-error.js";
