/** Formats the outcome report as a table and as a plot. */
import type { OutcomeReport, SecondOutcomes } from "./outcome-report.js";
import { REQUEST_RESULTS, type RequestResult } from "./request-log-line.js";

const PERCENT = 100;

/** Formats a table in Markdown: shares in percent of all requests of a route, times in milliseconds. */
export const formatOutcomeTable = (report: OutcomeReport): string => {
    const header = [
        "route",
        "rank",
        "asked",
        ...REQUEST_RESULTS,
        "repeats",
        "waited p50/p95",
        "first p50/p95",
        "prediction error p50/p95",
    ];
    const rows = report.listByRoute().map(row => [
        row.route === "" ? "(none)" : row.route,
        row.rank < 0 ? "" : String(row.rank),
        String(row.total),
        ...REQUEST_RESULTS.map(result => (row.counts[result] * PERCENT / row.total).toFixed(1)),
        String(row.retries),
        row.waitedMs.join(" / "),
        row.firstEventMs.join(" / "),
        row.predictionErrorMs.join(" / "),
    ]);
    return [header, header.map(() => "---"), ...rows].map(cells => `| ${cells.join(" | ")} |`).join("\n");
};

const COLOURS: Readonly<Record<RequestResult, string>> = {
    "on-time": "#4c9f70",
    "late-first": "#f2c14e",
    "slow-gaps": "#f4a259",
    "refused-load": "#d1495b",
    "refused-quota": "#9b5de5",
    "refused-other": "#b08ea2",
    "timed-out": "#8c2f39",
    "failed": "#3d3d3d",
    "cancelled": "#bbbbbb",
};
const BAR_WIDTH = 14;
const PLOT_HEIGHT = 240;
const MARGIN = 40;
const LEGEND_WIDTH = 120;
const LEGEND_STEP = 18;

const plotSecond = ({ second, counts }: SecondOutcomes, scale: number): string => {
    let top = MARGIN + PLOT_HEIGHT;
    return REQUEST_RESULTS.map(result => {
        const height = counts[result] * scale;
        top -= height;
        return height === 0
            ? ""
            : `<rect x="${MARGIN + second * BAR_WIDTH}" y="${top.toFixed(1)}" width="${BAR_WIDTH - 1}" `
                + `height="${height.toFixed(1)}" fill="${COLOURS[result]}"/>`;
    }).join("");
};

/** Formats a plot as SVG: requests that ended in each second, by result. */
export const formatOutcomePlot = (report: OutcomeReport): string => {
    const seconds = report.listBySecond();
    const sums = seconds.map(({ counts }) => Object.values(counts).reduce((sum, count) => sum + count, 0));
    const max = Math.max(1, ...sums);
    const plotWidth = seconds.length * BAR_WIDTH;
    const legend = REQUEST_RESULTS.map((result, index) => {
        const x = MARGIN + plotWidth + LEGEND_STEP;
        const y = MARGIN + index * LEGEND_STEP;
        return `<rect x="${x}" y="${y}" width="12" height="12" fill="${COLOURS[result]}"/>`
            + `<text x="${x + LEGEND_STEP}" y="${y + 10}">${result}</text>`;
    });
    const width = MARGIN * 2 + plotWidth + LEGEND_WIDTH;
    const height = MARGIN * 2 + PLOT_HEIGHT;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" `
        + `font-family="sans-serif" font-size="11">`,
        `<text x="${MARGIN}" y="${MARGIN / 2}">requests ended a second, ${max} at most</text>`,
        ...seconds.map(second => plotSecond(second, PLOT_HEIGHT / max)),
        ...legend,
        "</svg>",
    ].join("\n");
};
