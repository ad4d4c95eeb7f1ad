// Formats the TypeScript sources with dprint, or checks them when --write is absent.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ indentWidth: 4, lineWidth: 110, useTabs: false, newLineKind: "lf" }, {
    "quoteStyle": "preferDouble",
    "semiColons": "always",
    "useBraces": "always",
    "nextControlFlowPosition": "nextLine",
    "arrowFunction.useParentheses": "preferNone",
    "trailingCommas": "onlyMultiLine",
});

const listFiles = () =>
    execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard", "*.ts", "*.mjs"], {
        encoding: "utf8",
    })
        .split("\n")
        .filter(path => path !== "" && !path.includes("/gen/"));

const write = process.argv.includes("--write");
let different = 0;
for (const filePath of listFiles()) {
    let before;
    try {
        before = readFileSync(filePath, "utf8");
    }
    catch {
        continue; // Listed by git but deleted in the working tree.
    }
    const after = formatter.formatText({ filePath, fileText: before });
    if (after === before) {
        continue;
    }
    different += 1;
    console.log(write ? `formatted ${filePath}` : `not formatted: ${filePath}`);
    if (write) {
        writeFileSync(filePath, after);
    }
}
process.exitCode = different > 0 && !write ? 1 : 0;
