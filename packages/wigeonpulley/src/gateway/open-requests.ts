/**
 * Limits the open requests of one VM, and reports when none is left. A full VM evicts a waiting request of a lower tier
 * to admit one of a higher tier.
 */

/** Limits of the open requests. */
export interface OpenRequestLimits {
    readonly openRequests: number;
    /** Part of the limit that only durable tiers may use. */
    readonly reservedForDurable: number;
}

/** A request that asks to be admitted. */
export interface AdmissionRequest {
    /** Position of the tier; 0 is the most important. */
    readonly tier: number;
    readonly isDurable: boolean;
    /** Called when the request is evicted in favour of one of a higher tier; never after its dispatch. */
    readonly evict: () => void;
}

/** An admitted request, which counts as open until it is finished. */
export interface OpenRequest {
    /** Finishes the request; further calls have no effect. */
    readonly finish: () => void;
    /** Records the dispatch, after which the request can't be evicted. */
    readonly recordDispatch: () => void;
}

/** The open requests of one VM. */
export class OpenRequests {
    private readonly open = new Set<AdmissionRequest>();
    /** Open requests that are not dispatched yet. */
    private readonly waiting = new Set<AdmissionRequest>();
    private readonly idleListeners: (() => void)[] = [];

    private constructor(private readonly limits: OpenRequestLimits) {}

    /** Creates an empty set of open requests. */
    static create(limits: OpenRequestLimits): OpenRequests {
        return new OpenRequests(limits);
    }

    /** Number of open requests. */
    get count(): number {
        return this.open.size;
    }

    /**
     * Admits a request. On a full VM it first evicts a waiting request of the lowest tier, which must be lower than the
     * tier of the new request; returns undefined if there is none.
     */
    tryAdmit(request: AdmissionRequest): OpenRequest | undefined {
        if (this.open.size >= this.computeLimit(request) && !this.evictBelow(request.tier)) {
            return undefined;
        }
        this.open.add(request);
        this.waiting.add(request);
        return {
            finish: () => this.close(request),
            recordDispatch: () => this.waiting.delete(request),
        };
    }

    /** Number of open requests from which a request is admitted only in place of another one. */
    computeLimit({ isDurable }: Pick<AdmissionRequest, "isDurable">): number {
        return this.limits.openRequests - (isDurable ? 0 : this.limits.reservedForDurable);
    }

    /** Resolves as soon as no request is open. */
    waitUntilIdle(): Promise<void> {
        return new Promise(resolve => {
            this.idleListeners.push(resolve);
            this.notifyIfIdle();
        });
    }

    private evictBelow(tier: number): boolean {
        let lowest: AdmissionRequest | undefined;
        for (const candidate of this.waiting) {
            if (candidate.tier > (lowest?.tier ?? tier)) {
                lowest = candidate;
            }
        }
        if (lowest === undefined) {
            return false;
        }
        this.close(lowest);
        lowest.evict();
        return true;
    }

    private close(request: AdmissionRequest): void {
        this.waiting.delete(request);
        if (this.open.delete(request)) {
            this.notifyIfIdle();
        }
    }

    private notifyIfIdle(): void {
        if (this.open.size === 0) {
            this.idleListeners.splice(0).forEach(listener => listener());
        }
    }
}
