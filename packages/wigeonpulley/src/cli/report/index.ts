/** `wigeonpulley report`: reports from the log lines of VMs how requests ended, by route and second. */
import { createReadStream, writeFileSync } from "node:fs";
import { createInterface } from "node:readline";
import {
    formatOutcomePlot,
    formatOutcomeTable,
    OutcomeReport,
    parseRequestLogLine,
} from "../../reports/index.js";

/** Options of the command. */
export interface ReportOptions {
    /** @description Path of an SVG file to which a plot is written. */
    readonly svg?: string;
}

/** Runs the command on a file of log lines of one or several VMs. */
export const runReport = async (path: string, { svg }: ReportOptions): Promise<void> => {
    const report = OutcomeReport.create();
    for await (const line of createInterface({ input: createReadStream(path), crlfDelay: Infinity })) {
        const request = parseRequestLogLine(line);
        if (request !== undefined) {
            report.add(request);
        }
    }
    process.stdout.write(`${formatOutcomeTable(report)}\n`);
    if (svg !== undefined) {
        writeFileSync(svg, formatOutcomePlot(report));
    }
};
