/** Errors: the catalogue, the typed error and its HTTP body. Decides nothing else and imports no other domain. */
export { errorCatalogue, type ErrorDetails, type ErrorEntry, type ErrorName } from "./error-catalogue.js";
export {
    createProblemBody,
    type ProblemBody,
    problemBodySchema,
    computeRetryAfterSeconds,
} from "./problem-body.js";
export { describeCause, type SchedulerErrorOptions, SchedulerError } from "./scheduler-error.js";
