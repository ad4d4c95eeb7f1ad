/** When a refused caller should come back. */
import type { RandomSource } from "../random/index.js";

/** A part of the time that the caller has left, spread so that callers refused together don't come back together. */
const LEAST_SHARE = 0.12;
const SPREAD_SHARE = 0.2;
/** Shortest delay, in milliseconds. */
const SHORTEST_MS = 300;
/** Time left of a caller that is not known, in milliseconds. */
const USUAL_LEFT_MS = 4_000;

/** Delay to tell a caller that has `leftMs` left for its answer, in milliseconds. */
export const computeRetryDelayMs = (random: RandomSource, leftMs = USUAL_LEFT_MS): number =>
    Math.max(SHORTEST_MS, leftMs * (LEAST_SHARE + SPREAD_SHARE * random.pickFraction()));
