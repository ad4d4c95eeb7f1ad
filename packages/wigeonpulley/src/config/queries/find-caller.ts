/** Finds a caller by its key. */
import * as Option from "fp-ts/lib/Option.js";
import { createHash, timingSafeEqual } from "node:crypto";
import type { Caller } from "../configuration.js";

/** SHA-256 of a key in hexadecimal, as configurations store it. */
export const hashKey = (key: string): string => createHash("sha256").update(key).digest("hex");

/** Finds the caller whose key hash matches. Callers are looked up by digest; the final comparison takes constant time. */
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
