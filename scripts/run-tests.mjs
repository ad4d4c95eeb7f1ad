// Runs vitest. Failures of tests that KNOWN-RED.txt lists are printed and don't fail the run; errors outside tests always do.
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Returns the full test names from lines of the form "test: <name>". */
const readKnownRed = () =>
    existsSync("KNOWN-RED.txt")
        ? readFileSync("KNOWN-RED.txt", "utf8").split("\n").flatMap(line =>
            line.startsWith("test: ") ? [line.slice(6).trim()] : []
        )
        : [];

/** Tests that measure the memory of a process: one file at a time, after all others, since they load the machine. */
const CROWD_TESTS = [
    "platform/test/client-input.test.ts",
    "platform/test/client-matrix.test.ts",
    "platform/test/client-resources.test.ts",
    "platform/test/gateway-client-resources.test.ts",
];

/** Runs vitest with further arguments; returns its results, the errors outside tests, and whether it ended with 0. */
const runVitest = args => {
    const folder = mkdtempSync(join(tmpdir(), "wigeonpulley-test-"));
    const report = join(folder, "report.json");
    const errors = join(folder, "errors.json");
    const { status } = spawnSync(
        "npx",
        [
            "vitest",
            "run",
            "--reporter=default",
            "--reporter=json",
            `--outputFile.json=${report}`,
            "--reporter=./scripts/unhandled-error-reporter.mjs",
            ...args,
        ],
        { stdio: "inherit", env: { ...process.env, UNHANDLED_ERRORS_FILE: errors } },
    );
    const { testResults } = JSON.parse(readFileSync(report, "utf8"));
    const unhandledErrors = JSON.parse(readFileSync(errors, "utf8"));
    rmSync(folder, { recursive: true });
    return { testResults, unhandledErrors, isSuccess: status === 0 };
};

const chosen = process.argv.slice(2);
const runs = chosen.length > 0
    ? [runVitest(chosen)]
    : [
        runVitest(CROWD_TESTS.map(path => `--exclude=${path}`)),
        runVitest([...CROWD_TESTS, "--no-file-parallelism"]),
    ];
const results = { testResults: runs.flatMap(({ testResults }) => testResults) };

const knownRed = readKnownRed();
const tests = results.testResults.flatMap(file => file.assertionResults);
const failed = tests.filter(test => test.status === "failed").map(test => test.fullName);
const skipped = tests.filter(test => test.status !== "failed" && test.status !== "passed");
const unexpectedFailures = failed.filter(name => !knownRed.includes(name));
const brokenFiles = results.testResults.filter(file =>
    file.status === "failed" && file.assertionResults.length === 0
);
const knownRedNotFailing = knownRed.filter(name => !failed.includes(name));
for (const name of knownRed) {
    console.log(
        `known red: ${name}${knownRedNotFailing.includes(name) ? " (did not fail in this run)" : ""}`,
    );
}
const unhandledErrors = runs.flatMap(run => run.unhandledErrors);
for (const error of new Set(unhandledErrors)) {
    console.log(`error outside tests: ${error}`);
}
const hasOtherFailure = runs.some(({ isSuccess }) => !isSuccess) && failed.length === 0
    && unhandledErrors.length === 0;
const failureCount = unexpectedFailures.length + brokenFiles.length + unhandledErrors.length
    + (hasOtherFailure ? 1 : 0);
console.log(
    `${
        tests.length - failed.length - skipped.length
    } passed, ${failureCount} failed, ${skipped.length} skipped`,
);
process.exitCode = failureCount > 0 ? 1 : 0;
