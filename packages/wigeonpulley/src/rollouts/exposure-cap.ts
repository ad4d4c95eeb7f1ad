/**
 * Bounds what a new version may get before its deadline, over all VMs together: a share of the service's requests and a
 * number besides. Each VM uses the share of its own requests and an equal part of the number, so the sum stays within the
 * bound without any call between VMs.
 */

/** What the operators allow. */
export interface ExposureLimits {
    /** Share of the service's requests, and requests besides, over all VMs. */
    readonly share: number;
    readonly slack: number;
    readonly vmCount: number;
}

/** Part of the bound that is used; the rest covers repeated sends and VMs that were not counted. */
const USED_SHARE = 0.8;

/** Counts of one VM since the order. */
export class ExposureCap {
    private requests = 0;
    private exposed = 0;

    private constructor(private readonly readLimits: () => ExposureLimits) {}

    /** Creates a cap on nothing yet. */
    static create(readLimits: () => ExposureLimits): ExposureCap {
        return new ExposureCap(readLimits);
    }

    /** Notes a request sent to an instance of the service. */
    recordDispatch(isExposed: boolean): void {
        this.requests += 1;
        this.exposed += isExposed ? 1 : 0;
    }

    /** True while one more request may go to the new version. */
    hasCapacity(): boolean {
        const { share, slack, vmCount } = this.readLimits();
        return this.exposed + 1 <= USED_SHARE * (share * this.requests + slack / Math.max(1, vmCount));
    }
}
