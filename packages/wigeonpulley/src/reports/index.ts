/**
 * Reports: says from log lines what became of requests and where callers lose.
 * Reads only; may not decide anything about requests.
 */
export { formatLossPlot, formatLossTable } from "./format-report.js";
export { LossReport, type LossRow, type LossSecond } from "./loss-report.js";
export { readRequestLine, REQUEST_RESULTS, type RequestRecord, type RequestResult } from "./request-line.js";
