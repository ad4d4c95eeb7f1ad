import { fileURLToPath } from "node:url";
import { defineConfig } from "vitest/config";

/** Resolves a path of the repository for the module aliases. */
const resolvePath = (path: string): string => fileURLToPath(new URL(path, import.meta.url));

/** Time after which a test counts as hanging. Generous, because no test may fail only because the machine is busy. */
const HANG_TIMEOUT_MS = 600_000;

export default defineConfig({
    resolve: {
        alias: {
            "@wigeonpulley/platform": resolvePath("platform/src/index.ts"),
            "@wigeonpulley/stand-ins": resolvePath("packages/stand-ins/src/index.ts"),
            wigeonpulley: resolvePath("packages/wigeonpulley/src/index.ts"),
        },
    },
    test: {
        include: ["packages/*/test/**/*.test.ts", "platform/test/**/*.test.ts"],
        globalSetup: ["platform/test/fixtures/build-bundle.ts"],
        testTimeout: HANG_TIMEOUT_MS,
        hookTimeout: HANG_TIMEOUT_MS,
        maxWorkers: 3,
        minWorkers: 1,
    },
});
