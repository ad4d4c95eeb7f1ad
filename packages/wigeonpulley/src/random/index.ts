/** Randomness as an interface, so that tests repeat themselves. Imports no other domain. */
export { RandomSource, SeededRandom, SystemRandom } from "./random-source.js";
