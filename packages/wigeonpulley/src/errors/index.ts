/** Errors: the catalogue, the typed error and its HTTP body. Decides nothing else and imports no other domain. */
export { errorCatalogue, type ErrorDetails, type ErrorEntry, type ErrorName } from "./error-catalogue.js";
export {
    computeRetryAfterSeconds,
    createProblemBody,
    type ProblemBody,
    problemBodySchema,
} from "./problem-body.js";
export { describeCause, SchedulerError, type SchedulerErrorOptions } from "./scheduler-error.js";
