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
    ["a large event gap", { longestGapMs: 301 }, "slow-gaps"],
    ["an unstreamed response in time", { events: 0, firstMs: -1, tookMs: 700, gapTargetMs: 0 }, "on-time"],
    ["a late unstreamed response", { events: 0, firstMs: -1, tookMs: 801, gapTargetMs: 0 }, "late-first"],
    ["no slot", { outcome: "Overloaded" }, "refused-load"],
    ["an exceeded deadline", { outcome: "DeadlineExceeded" }, "timed-out"],
    ["a cancellation by the caller", { outcome: "RequestCancelled" }, "cancelled"],
    ["a failure of the endpoint", { outcome: "status 500" }, "failed"],
])("%s is recognised", (name, fields, result) => {
    expect(parseRequestLogLine(formatEnded(fields))?.result).toBe(result);
});

test("refusals before a route's rank is known count by their reason", () => {
    const details = { id: "a-2", route: "r-quote", error: "QuotaExceeded", version: 1, ageMs: 2 };
    expect(parseRequestLogLine(formatLine("RequestNotAdmitted", details))?.result).toBe("refused-quota");
});

test("the time to the first event is compared with the prediction made at dispatch", () => {
    expect(parseRequestLogLine(formatEnded())?.predictionErrorMs).toBe(120 - 3 - 97);
    expect(parseRequestLogLine(formatEnded({ sends: 2 }))?.predictionErrorMs).toBeUndefined();
    expect(parseRequestLogLine(formatEnded({ firstMs: -1 }))?.predictionErrorMs).toBeUndefined();
});

test("lines of other events and truncated lines are ignored", () => {
    expect(parseRequestLogLine(formatLine("VmStarted", {}))).toBeUndefined();
    expect(parseRequestLogLine(formatEnded().slice(0, -20))).toBeUndefined();
    expect(parseRequestLogLine("")).toBeUndefined();
});

test("the table starts with the least successful route, and the plot has a bar for each result and second", () => {
    const report = OutcomeReport.create();
    const lines = [
        formatEnded({ route: "r-tag" }),
        formatEnded({ route: "r-quote", outcome: "Overloaded" }, 2),
        formatEnded({ route: "r-quote", sends: 2 }, 2),
    ];
    lines.flatMap(line => parseRequestLogLine(line) ?? []).forEach(request => report.add(request));
    expect(report.listByRoute().map(({ route, total, retries }) => ({ route, total, retries }))).toEqual([
        { route: "r-quote", total: 2, retries: 1 },
        { route: "r-tag", total: 1, retries: 0 },
    ]);
    expect(report.listBySecond().map(({ counts }) => counts["on-time"] + counts["refused-load"])).toEqual([
        1,
        0,
        2,
    ]);
    expect(formatOutcomeTable(report).split("\n")[2]).toMatch(/^\| r-quote \| 0 \| 2 \| 50.0 \|/);
    expect(formatOutcomePlot(report).match(/height="[\d.]+" fill/g)).toHaveLength(3 + 9);
});
