/**
 * Bounds how many requests a canary gets before the deadline, over all VMs together: a share of the service's requests
 * plus a fixed number. Each VM uses that share of its own requests and an equal part of the number, so the sum stays
 * within the bound without any call between VMs.
 */

/** Exposure that operators allow. */
export interface ExposureLimits {
    /** Share of the service's requests, over all VMs. */
    readonly share: number;
    /** Number of requests in addition to the share, over all VMs. */
    readonly slack: number;
    readonly vmCount: number;
}

/** Fraction of the bound that is used; the rest covers retries and VMs that were not counted. */
const USED_FRACTION = 0.8;

/** Counts of one VM since the order. */
export class ExposureCap {
    private requests = 0;
    private exposed = 0;

    private constructor(private readonly getLimits: () => ExposureLimits) {}

    /** Creates a cap without recorded requests. */
    static create(getLimits: () => ExposureLimits): ExposureCap {
        return new ExposureCap(getLimits);
    }

    /** Records a request sent to an instance of the service; `isExposed` tells whether it went to the canary. */
    recordDispatch(isExposed: boolean): void {
        this.requests += 1;
        this.exposed += isExposed ? 1 : 0;
    }

    /** True while one more request may go to the canary. */
    hasCapacity(): boolean {
        const { share, slack, vmCount } = this.getLimits();
        return this.exposed + 1 <= USED_FRACTION * (share * this.requests + slack / Math.max(1, vmCount));
    }
}
