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

const isWriting = process.argv.includes("--write");
let differentCount = 0;
for (const filePath of listFiles()) {
    let original;
    try {
        original = readFileSync(filePath, "utf8");
    }
    catch {
        continue; // Listed by git but deleted in the working tree.
    }
    const formatted = formatter.formatText({ filePath, fileText: original });
    if (formatted === original) {
        continue;
    }
    differentCount += 1;
    console.log(isWriting ? `formatted ${filePath}` : `not formatted: ${filePath}`);
    if (isWriting) {
        writeFileSync(filePath, formatted);
    }
}
process.exitCode = differentCount > 0 && !isWriting ? 1 : 0;
