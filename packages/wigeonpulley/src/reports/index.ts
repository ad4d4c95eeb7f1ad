/**
 * Reports: says from log lines what became of requests and where callers lose.
 * Reads only; may not decide anything about requests.
 */
export { formatOutcomePlot, formatOutcomeTable } from "./format-report.js";
export { OutcomeReport, type RouteOutcomes, type SecondOutcomes } from "./outcome-report.js";
export { parseRequestLogLine, REQUEST_RESULTS, type EndedRequest, type RequestResult } from "./request-log-line.js";
