// Bundles the platform's daemon under target/: a small launcher, the daemon in one file, and the cache of its compiled code.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

/**
 * Replaces the indexes of some libraries by the few of their modules that the daemon uses, and the assertions of all by
 * cheaper ones (scripts/slim).
 */
const slimPlugin = {
    name: "slim",
    setup: pluginBuild =>
        pluginBuild.onResolve(
            { filter: /^(undici|prom-client|hdr-histogram-js|(node:)?assert)$/ },
            ({ path }) => ({
                path: fileURLToPath(new URL(`slim/${path.replace("node:", "")}.cjs`, import.meta.url)),
            }),
        ),
};

const options = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    charset: "ascii",
    legalComments: "none",
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: "warning",
};

await build({ ...options, entryPoints: ["platform/src/launcher.ts"], outfile: "target/wigeonpulley.cjs" });
await build({
    ...options,
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/daemon.cjs",
    alias: {
        wigeonpulley: "./packages/wigeonpulley/src/index.ts",
        // The other build of this library loads its modules by names that esbuild doesn't see.
        "jsonc-parser": "./node_modules/jsonc-parser/lib/esm/main.js",
    },
    plugins: [slimPlugin],
    define: { "import.meta.url": "undefined" },
    banner: { js: "(function(exports,require,module,__filename,__dirname){" },
    footer: { js: "})" },
});

await build({
    ...options,
    entryPoints: ["platform/warm-up/index.ts"],
    outfile: "target/warm-up.cjs",
});

// V8 accepts a cache only with the options with which it was written.
const [, nodeOptions = ""] = /^run = "node (.*)target\//m.exec(readFileSync("deploy/system.toml", "utf8"))
    ?? [];
execFileSync(process.execPath, [
    ...nodeOptions.split(" ").filter(option => option !== ""),
    "scripts/write-code-cache.mjs",
    "target/daemon.cjs",
    "target/warm-up.cjs",
    "target/daemon.cache",
], { stdio: "inherit" });
