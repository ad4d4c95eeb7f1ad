/** Counts the open requests of one VM, bounds them, and tells when the last one has ended. */

/** Bounds of the open requests. */
export interface OpenRequestLimits {
    readonly openRequests: number;
    /** Part that only durable tiers may use. */
    readonly reservedForDurable: number;
}

/** A request that asks for room. */
export interface AdmissionRequest {
    /** Position of the tier; 0 is the most important. */
    readonly tier: number;
    readonly isDurable: boolean;
    /** Refuses the request to make room for one of a higher tier; called only before its dispatch. */
    readonly evict: () => void;
}

/** A request that counts as open until it is left. */
export interface OpenRequest {
    /** Ends the request; calling it again has no effect. */
    readonly finish: () => void;
    /** From now on the request can't be displaced. */
    readonly recordDispatch: () => void;
}

/** Open requests of one VM. */
export class OpenRequests {
    private readonly open = new Set<AdmissionRequest>();
    /** Requests that were not dispatched yet. */
    private readonly waiting = new Set<AdmissionRequest>();
    private readonly idleListeners: (() => void)[] = [];

    private constructor(private readonly limits: OpenRequestLimits) {}

    /** Creates a counter at zero. */
    static create(limits: OpenRequestLimits): OpenRequests {
        return new OpenRequests(limits);
    }

    /** Number of open requests. */
    get count(): number {
        return this.open.size;
    }

    /** Counts a request; a waiting one of the lowest tier below it makes room. Undefined when there is no room. */
    tryAdmit(request: AdmissionRequest): OpenRequest | undefined {
        const room = this.limits.openRequests - (request.isDurable ? 0 : this.limits.reservedForDurable);
        if (this.open.size >= room && !this.evictBelow(request.tier)) {
            return undefined;
        }
        this.open.add(request);
        this.waiting.add(request);
        return {
            finish: () => this.close(request),
            recordDispatch: () => this.waiting.delete(request),
        };
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
