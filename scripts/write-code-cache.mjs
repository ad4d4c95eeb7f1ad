// Evaluates the modules of a bundle and writes the code that V8 compiled for them: node write-code-cache.mjs BUNDLE CACHE
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, resolve } from "node:path";
import { Script } from "node:vm";

const [bundlePath, cachePath] = process.argv.slice(2).map(path => resolve(path));
const script = new Script(readFileSync(bundlePath, "latin1"), { filename: bundlePath });
const daemonModule = { exports: {} };
script.runInThisContext()(
    daemonModule.exports,
    createRequire(bundlePath),
    daemonModule,
    bundlePath,
    dirname(bundlePath),
);
writeFileSync(cachePath, script.createCachedData());
