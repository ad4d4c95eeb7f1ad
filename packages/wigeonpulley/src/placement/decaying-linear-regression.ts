/** Linear regression by weighted least squares with a forgetting factor. */

/** Factor on the weights of all earlier observations with each new one; about the last hundred count. */
const FORGETTING_FACTOR = 0.99;
/** Weight of each prior point, in observations. */
const PRIOR_WEIGHT = 3;

/** Fits a line to observations; older ones count less with each new one. */
export class DecayingLinearRegression {
    private weight = 0;
    private sumX = 0;
    private sumY = 0;
    private sumXX = 0;
    private sumXY = 0;

    private constructor() {}

    /** Creates a regression that starts with the prior points. */
    static create(prior: readonly (readonly [x: number, y: number])[]): DecayingLinearRegression {
        const regression = new DecayingLinearRegression();
        prior.forEach(([x, y]) => regression.add(x, y, PRIOR_WEIGHT));
        return regression;
    }

    /** Records that `y` was observed at `x`. */
    observe(x: number, y: number): void {
        this.weight *= FORGETTING_FACTOR;
        this.sumX *= FORGETTING_FACTOR;
        this.sumY *= FORGETTING_FACTOR;
        this.sumXX *= FORGETTING_FACTOR;
        this.sumXY *= FORGETTING_FACTOR;
        this.add(x, y, 1);
    }

    /** Slope of the line; never negative, because no cost falls as its cause grows. */
    computeSlope(): number {
        const determinant = this.sumXX * this.weight - this.sumX ** 2;
        return determinant <= 0
            ? 0
            : Math.max(0, (this.sumXY * this.weight - this.sumX * this.sumY) / determinant);
    }

    /** Expected y at `x`, at least 0. */
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
