// Bundles the platform's daemon into one file under target/, which starts faster than its modules one by one.
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
