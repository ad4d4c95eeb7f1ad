import { expect, test } from "vitest";
import {
    formatOutcomePlot,
    formatOutcomeTable,
    OutcomeReport,
    parseRequestLogLine,
    type RequestResult,
} from "wigeonpulley";

const formatLine = (name: string, details: object, second = 0): string =>
    `  12.5 vm-1 ${
        JSON.stringify({
            time: new Date(1_700_000_000_000 + second * 1_000).toISOString(),
            vm: "vm-1",
            name,
            event: 1,
            details,
        })
    }`;

const formatEnded = (fields: object = {}, second = 0): string =>
    formatLine("RequestEnded", {
        id: "a-1",
        route: "r-quote",
        rank: 0,
        outcome: "answered",
        sends: 1,
        waitedMs: 3,
        firstMs: 120,
        predictedMs: 97,
        targetMs: 800,
        longestGapMs: 90,
        gapTargetMs: 300,
        events: 20,
        tookMs: 2_000,
        ...fields,
    }, second);

test.each<[string, object, RequestResult]>([
    ["a stream in time", {}, "on-time"],
    ["a late first event", { firstMs: 900 }, "late-first"],
    ["a long pause", { longestGapMs: 301 }, "slow-gaps"],
    ["a whole answer in time", { events: 0, firstMs: -1, tookMs: 700, gapTargetMs: 0 }, "on-time"],
    ["a late whole answer", { events: 0, firstMs: -1, tookMs: 801, gapTargetMs: 0 }, "late-first"],
    ["no place", { outcome: "Overloaded" }, "refused-load"],
    ["a time out", { outcome: "DeadlineExceeded" }, "timed-out"],
    ["a caller that left", { outcome: "RequestCancelled" }, "cancelled"],
    ["a failure of the endpoint", { outcome: "status 500" }, "failed"],
])("%s is told apart", (name, fields, result) => {
    expect(parseRequestLogLine(formatEnded(fields))?.result).toBe(result);
});

test("refusals before a route's rank is known count by their reason", () => {
    const details = { id: "a-2", route: "r-quote", error: "QuotaExceeded", version: 1, ageMs: 2 };
    expect(parseRequestLogLine(formatLine("RequestNotAdmitted", details))?.result).toBe("refused-quota");
});

test("the first event is compared with what was expected when the request was sent", () => {
    expect(parseRequestLogLine(formatEnded())?.predictionErrorMs).toBe(120 - 3 - 97);
    expect(parseRequestLogLine(formatEnded({ sends: 2 }))?.predictionErrorMs).toBeUndefined();
    expect(parseRequestLogLine(formatEnded({ firstMs: -1 }))?.predictionErrorMs).toBeUndefined();
});

test("other lines, and lines that were cut off, are left out", () => {
    expect(parseRequestLogLine(formatLine("VmStarted", {}))).toBeUndefined();
    expect(parseRequestLogLine(formatEnded().slice(0, -20))).toBeUndefined();
    expect(parseRequestLogLine("")).toBeUndefined();
});

test("the table has the route with the most losses first, the plot a bar for each result and second", () => {
    const report = OutcomeReport.create();
    const lines = [
        formatEnded({ route: "r-tag" }),
        formatEnded({ route: "r-quote", outcome: "Overloaded" }, 2),
        formatEnded({ route: "r-quote", sends: 2 }, 2),
    ];
    lines.flatMap(line => parseRequestLogLine(line) ?? []).forEach(record => report.add(record));
    expect(report.listByRoute().map(({ route, asked, repeats }) => ({ route, asked, repeats }))).toEqual([
        { route: "r-quote", asked: 2, repeats: 1 },
        { route: "r-tag", asked: 1, repeats: 0 },
    ]);
    expect(report.listBySecond().map(({ counts }) => counts["on-time"] + counts["refused-load"])).toEqual([
        1,
        0,
        2,
    ]);
    expect(formatOutcomeTable(report).split("\n")[2]).toMatch(/^\| r-quote \| 0 \| 2 \| 50.0 \|/);
    expect(formatOutcomePlot(report).match(/height="[\d.]+" fill/g)).toHaveLength(3 + 9);
});
