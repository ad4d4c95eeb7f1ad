/** Finds a caller by its key. */
import * as Option from "fp-ts/lib/Option.js";
import { createHash, timingSafeEqual } from "node:crypto";
import type { Caller } from "../configuration.js";

/** Returns the SHA-256 of a key in hexadecimal, as stored in configurations. */
export const hashKey = (key: string): string => createHash("sha256").update(key).digest("hex");

/** Finds the caller with the given key. Callers are looked up by hash; the final comparison takes constant time. */
export const findCaller = (
    callersByHash: ReadonlyMap<string, Caller>,
    key: string,
): Option.Option<Caller> => {
    const digest = hashKey(key);
    const caller = callersByHash.get(digest);
    return caller !== undefined && timingSafeEqual(Buffer.from(caller.keyHash), Buffer.from(digest))
        ? Option.some(caller)
        : Option.none;
};
