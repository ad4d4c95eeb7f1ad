/** Randomness: identifiers and choices, from the system or from a seed. */
import { randomBytes, randomInt } from "node:crypto";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

const IDENTIFIER_BYTES = 9;
const FRACTION_RANGE = 2 ** 31;

/** Source of random numbers and identifiers. */
export abstract class RandomSource {
    /** Uniform integer from 0 to `bound` - 1. */
    abstract pickInteger(bound: number): number;

    /** Unique identifier of 12 characters of base64url. */
    abstract createIdentifier(): string;

    /** Uniform number of at least 0 and less than 1. */
    pickFraction(): number {
        return this.pickInteger(FRACTION_RANGE) / FRACTION_RANGE;
    }
}

/** Randomness of the operating system. */
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

/** Repeatable randomness for tests and benchmarks. */
export class SeededRandom extends RandomSource {
    private constructor(private readonly generator: RandomGenerator) {
        super();
    }

    /** Creates a source that repeats itself for the same seed. */
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
