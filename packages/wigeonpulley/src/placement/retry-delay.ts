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

/** Most of the remaining time that a caller waits; it ignores a longer delay. */
const MAX_SHARE = 1 / 3;
/** Share of that limit by which room is awaited; the rest spreads the callers. */
const MAX_ROOM_SHARE = 0.5;
/** Part of the spread that applies to callers that were refused before. */
const RETURNED_SPREAD = 0.4;

/**
 * Retry delay in milliseconds for a caller that is refused by a forecast: not before room is expected, spread over the rest
 * of the time that callers wait. Shorter for a caller that was refused before.
 */
export const computeForecastRetryDelayMs = (
    random: RandomSource,
    remainingMs: number,
    roomInMs: number,
    hasReturned: boolean,
): number => {
    const limitMs = Math.max(0, remainingMs) * MAX_SHARE;
    const earliestMs = Math.min(limitMs * MAX_ROOM_SHARE, Math.max(MIN_DELAY_MS, roomInMs));
    const spreadMs = (limitMs - earliestMs) * (hasReturned ? RETURNED_SPREAD : 1);
    return earliestMs + spreadMs * random.pickFraction();
};
