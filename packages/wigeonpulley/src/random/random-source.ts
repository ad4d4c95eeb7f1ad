/** Random numbers and identifiers, from the operating system or from a seeded generator. */
import { randomBytes, randomInt } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const IDENTIFIER_BYTES = 9;
const FRACTION_RANGE = 2 ** 31;

/** Source of random numbers and identifiers. */
export abstract class RandomSource {
    /** Returns a uniformly distributed integer from 0 to `bound` - 1. */
    abstract pickInteger(bound: number): number;

    /** Returns a unique identifier of 12 characters in base64url. */
    abstract createIdentifier(): string;

    /** Returns a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
    pickFraction(): number {
        return this.pickInteger(FRACTION_RANGE) / FRACTION_RANGE;
    }
}

/** Random numbers of the operating system. */
export class SystemRandom extends RandomSource {
    private constructor() {
        super();
    }

    /** Creates the source. */
    static create(): SystemRandom {
        return new SystemRandom();
    }

    override pickInteger(bound: number): number {
        return randomInt(bound);
    }

    override createIdentifier(): string {
        return randomBytes(IDENTIFIER_BYTES).toString("base64url");
    }
}

/** Reproducible random numbers for tests and benchmarks (xoroshiro128+). */
export class SeededRandom extends RandomSource {
    private constructor(private readonly generator: RandomGenerator) {
        super();
    }

    /** Creates a source that returns the same sequence for the same seed. */
    static create(seed: number): SeededRandom {
        return new SeededRandom(xoroshiro128plus(seed));
    }

    override pickInteger(bound: number): number {
        return uniformInt(this.generator, 0, bound - 1);
    }

    override createIdentifier(): string {
        const bytes = Array.from({ length: IDENTIFIER_BYTES }, () => this.pickInteger(256));
        return Buffer.from(bytes).toString("base64url");
    }
}
