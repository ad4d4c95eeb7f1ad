/**
 * Reports from log lines what became of requests, by route and by second.
 * Reads only; may not decide anything about requests.
 */
export { formatOutcomePlot, formatOutcomeTable } from "./format-report.js";
export { OutcomeReport, type RouteOutcomes, type SecondOutcomes } from "./outcome-report.js";
export {
    type EndedRequest,
    parseRequestLogLine,
    REQUEST_RESULTS,
    type RequestResult,
} from "./request-log-line.js";
