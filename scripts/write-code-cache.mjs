// Evaluates the modules of a bundle, lets it work for a moment, and writes the code that V8 compiled for it:
// node write-code-cache.mjs BUNDLE WARM_UP CACHE
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, resolve } from "node:path";
import { Script } from "node:vm";

const WARM_UP_LIMIT_MS = 20_000;

const [bundlePath, warmUpPath, cachePath] = process.argv.slice(2).map(path => resolve(path));
const script = new Script(readFileSync(bundlePath, "latin1"), { filename: bundlePath });
const require = createRequire(bundlePath);
const daemonModule = { exports: {} };
script.runInThisContext()(
    daemonModule.exports,
    require,
    daemonModule,
    bundlePath,
    dirname(bundlePath),
);
const loaded = script.createCachedData();
try {
    await Promise.race([
        require(warmUpPath).warmUp(daemonModule.exports),
        new Promise((unused, reject) =>
            setTimeout(() => reject(new Error("it takes too long")), WARM_UP_LIMIT_MS)
        ),
    ]);
    writeFileSync(cachePath, script.createCachedData());
}
catch (cause) {
    // The daemon also starts with the code of its loading alone.
    console.error(`The code cache has no code of requests: ${cause}`);
    writeFileSync(cachePath, loaded);
}
process.exit(0);
