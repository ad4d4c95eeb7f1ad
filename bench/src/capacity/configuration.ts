/** Measures size, check time, memory and caller lookups of a configuration by number of workspaces. */
import { configurationSchema, findCaller, hashKey } from "wigeonpulley";
import { roundTo, type Row, type Table } from "../table.js";
import { createSizedConfiguration } from "./configurations.js";

const BYTES_PER_MEGABYTE = 1_048_576;
const COPIES = 5;
const LOOKUPS = 5_000;

const collectGarbage = (): void => {
    (globalThis as { gc?: () => void; }).gc?.();
};

const measureSize = (workspaces: number): Row => {
    const text = JSON.stringify(createSizedConfiguration(600, workspaces));
    const parseStart = performance.now();
    for (let copy = 0; copy < COPIES; copy += 1) {
        configurationSchema.parse(JSON.parse(text));
    }
    const checkMs = (performance.now() - parseStart) / COPIES;
    collectGarbage();
    const heapBytesBefore = process.memoryUsage().heapUsed;
    const retained = Array.from({ length: COPIES }, () => configurationSchema.parse(JSON.parse(text)));
    collectGarbage();
    const bytes = (process.memoryUsage().heapUsed - heapBytesBefore) / COPIES;
    const callers = new Map(retained[0]?.callers.map(caller => [caller.keyHash, caller]));
    const lookupStart = performance.now();
    for (let index = 0; index < LOOKUPS; index += 1) {
        findCaller(callers, `key-${index % workspaces}`);
    }
    const lookupMicroseconds = (performance.now() - lookupStart) * 1_000 / LOOKUPS;
    return {
        workspaces,
        endpoints: 600,
        "JSON KB": Math.round(text.length / 1_024),
        "check ms": roundTo(checkMs),
        "memory MB": globalThis.gc === undefined
            ? "run with --expose-gc"
            : roundTo(bytes / BYTES_PER_MEGABYTE),
        "µs per caller lookup": roundTo(lookupMicroseconds),
        digest: hashKey(text).slice(0, 8),
    };
};

/** Measures all sizes. */
export const measureConfiguration = (): Table => ({
    title: "Configuration (in process)",
    rows: [10, 100, 1_000, 6_100].map(measureSize),
});
