/**
 * Pace of one instance by the number of requests that it had in flight. Older observations count less, so that a change of the
 * instance shows within a few half-lives. The logarithm of the time per event or response is kept: throughputs are
 * compared as ratios, and single long responses count less.
 */

/** Observations at one level. */
export interface PaceCell {
    /** Number of observations, decayed. */
    readonly weight: number;
    /** Mean logarithm of the time in milliseconds, and the sum of the squared deviations from it. */
    readonly mean: number;
    readonly squares: number;
}

/** Weight below which a decayed cell is dropped. */
const MIN_KEPT_WEIGHT = 0.05;

/** Combines the observations of two cells. */
export const combineCells = (left: PaceCell, right: PaceCell): PaceCell => {
    const weight = left.weight + right.weight;
    const distance = right.mean - left.mean;
    return {
        weight,
        mean: left.mean + distance * right.weight / weight,
        squares: left.squares + right.squares + distance ** 2 * left.weight * right.weight / weight,
    };
};

/** Decayed observations by level. */
export class PaceTable {
    private readonly cells = new Map<number, PaceCell>();
    private decayedAt = 0;

    private constructor(private readonly halfLifeMs: number) {}

    /** Creates a table without observations. */
    static create(halfLifeMs: number): PaceTable {
        return new PaceTable(halfLifeMs);
    }

    /** Records that a unit of work took `elapsedMs` with `level` requests in flight. */
    observe(level: number, elapsedMs: number, now: number): void {
        this.decay(now);
        const cell = { weight: 1, mean: Math.log(elapsedMs), squares: 0 };
        const known = this.cells.get(level);
        this.cells.set(level, known === undefined ? cell : combineCells(known, cell));
    }

    /** Returns the observations by level as they count now. */
    list(now: number): ReadonlyMap<number, PaceCell> {
        this.decay(now);
        return this.cells;
    }

    private decay(now: number): void {
        const factor = 0.5 ** ((now - this.decayedAt) / this.halfLifeMs);
        this.decayedAt = now;
        for (const [level, { weight, mean, squares }] of this.cells) {
            if (weight * factor < MIN_KEPT_WEIGHT) {
                this.cells.delete(level);
            }
            else {
                this.cells.set(level, { weight: weight * factor, mean, squares: squares * factor });
            }
        }
    }
}
