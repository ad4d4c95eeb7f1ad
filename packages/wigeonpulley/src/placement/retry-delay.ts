/** Computes when a refused caller should retry. */
import type { RandomSource } from "../random/index.js";

/** Shares of the caller's remaining time; the random one keeps callers refused together from retrying together. */
const MIN_SHARE = 0.12;
const RANDOM_SHARE = 0.2;
const MIN_DELAY_MS = 300;
/** Remaining time of a caller whose deadline is unknown, in milliseconds. */
const DEFAULT_REMAINING_MS = 4_000;

/** Retry delay for a caller with `remainingMs` left for its response, in milliseconds. */
export const computeRetryDelayMs = (random: RandomSource, remainingMs = DEFAULT_REMAINING_MS): number =>
    Math.max(MIN_DELAY_MS, remainingMs * (MIN_SHARE + RANDOM_SHARE * random.pickFraction()));
