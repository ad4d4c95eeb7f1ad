/** A straight line through recent observations: older ones count less and less. */

/** What one observation keeps of its weight with each newer one; about the last hundred count. */
const FORGETTING_FACTOR = 0.99;
/** Weight of the first guess, in observations. */
const PRIOR_WEIGHT = 3;

/** Least squares with forgetting. */
export class DecayingLinearRegression {
    private weight = 0;
    private sumX = 0;
    private sumY = 0;
    private sumXX = 0;
    private sumXY = 0;

    private constructor() {}

    /** Creates a line that begins with a guess, which is given as two points. */
    static create(prior: readonly (readonly [x: number, y: number])[]): DecayingLinearRegression {
        const regression = new DecayingLinearRegression();
        prior.forEach(([x, y]) => regression.add(x, y, PRIOR_WEIGHT));
        return regression;
    }

    /** Notes that `y` was seen at `x`. */
    observe(x: number, y: number): void {
        this.weight *= FORGETTING_FACTOR;
        this.sumX *= FORGETTING_FACTOR;
        this.sumY *= FORGETTING_FACTOR;
        this.sumXX *= FORGETTING_FACTOR;
        this.sumXY *= FORGETTING_FACTOR;
        this.add(x, y, 1);
    }

    /** Growth of y with x; never below zero, because no cost shrinks with its cause. */
    computeSlope(): number {
        const variance = this.sumXX * this.weight - this.sumX ** 2;
        return variance <= 0
            ? 0
            : Math.max(0, (this.sumXY * this.weight - this.sumX * this.sumY) / variance);
    }

    /** The expected y at `x`. */
    estimate(x: number): number {
        const meanX = this.sumX / this.weight;
        return Math.max(0, this.sumY / this.weight + (x - meanX) * this.computeSlope());
    }

    private add(x: number, y: number, weight: number): void {
        this.weight += weight;
        this.sumX += weight * x;
        this.sumY += weight * y;
        this.sumXX += weight * x * x;
        this.sumXY += weight * x * y;
    }
}
