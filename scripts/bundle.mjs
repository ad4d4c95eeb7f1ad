// Bundles the platform's daemon into one file under target/, because one file loads faster than separate modules.
import { build } from "esbuild";

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/wigeonpulley.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    alias: { wigeonpulley: "./packages/wigeonpulley/src/index.ts" },
    minify: false,
    sourcemap: false,
    logLevel: "warning",
    define: { "import.meta.url": "undefined" },
});
