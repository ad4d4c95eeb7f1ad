// Record of a script: lines that are written to `record.txt` at its end.
import { writeFileSync } from "node:fs";

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const LIMIT_MS = 110_000;

/** Lines of a record. */
export class RecordFile {
    lines = [];
    startedAt = performance.now();

    constructor(path) {
        this.path = path;
    }

    /** Adds a line with the time since the start. */
    add(text) {
        this.lines.push(`${((performance.now() - this.startedAt) / 1_000).toFixed(3)} ${text}`);
    }

    /** Adds a line without a time. */
    addPlain(text) {
        this.lines.push(text);
    }

    write() {
        writeFileSync(this.path, `${this.lines.join("\n")}\n`);
    }
}

/**
 * Runs a case; `run` returns whether the rule was broken, or throws when the case couldn't run. `clean` ends all that was
 * started and is called in any case.
 */
export const runCase = async (record, run, clean) => {
    let code = EXIT_NOT_RUN;
    const timer = setTimeout(() => {
        record.add("the case took too long");
        record.write();
        void clean().finally(() => process.exit(EXIT_NOT_RUN));
    }, LIMIT_MS);
    try {
        code = await run() ? EXIT_BROKEN : EXIT_HELD;
    }
    catch (error) {
        record.add(`the case could not run: ${error.stack ?? error}`);
    }
    clearTimeout(timer);
    await clean();
    const result = { [EXIT_HELD]: "held", [EXIT_BROKEN]: "broken", [EXIT_NOT_RUN]: "not run" }[code];
    record.addPlain(`result: ${result}`);
    record.write();
    process.stdout.write(
        `${record.lines.filter(line => /^(result|check|disruption)/.test(line)).join("\n")}\n`,
    );
    process.exit(code);
};
