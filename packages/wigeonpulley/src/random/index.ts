/** Random numbers behind an interface, so that tests are reproducible. Imports no other domain. */
export { RandomSource, SeededRandom, SystemRandom } from "./random-source.js";
