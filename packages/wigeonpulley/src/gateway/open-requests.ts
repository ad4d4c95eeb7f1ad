/** Counts the open requests of one VM, bounds them, and tells when the last one has ended. */

/** Bounds of the open requests. */
export interface OpenRequestLimits {
    readonly openRequests: number;
    /** Part that only durable tiers may use. */
    readonly reservedForDurable: number;
}

/** A request that counts as open until it is left. */
export interface OpenRequest {
    /** Ends the request; calling it again has no effect. */
    readonly leave: () => void;
}

/** Open requests of one VM. */
export class OpenRequests {
    private open = 0;
    private readonly idleListeners: (() => void)[] = [];

    private constructor(private readonly limits: OpenRequestLimits) {}

    /** Creates a counter at zero. */
    static create(limits: OpenRequestLimits): OpenRequests {
        return new OpenRequests(limits);
    }

    /** Number of open requests. */
    get count(): number {
        return this.open;
    }

    /** Counts a request; undefined when there is no room. */
    tryEnter(isDurable: boolean): OpenRequest | undefined {
        const room = this.limits.openRequests - (isDurable ? 0 : this.limits.reservedForDurable);
        if (this.open >= room) {
            return undefined;
        }
        this.open += 1;
        let hasLeft = false;
        return {
            leave: () => {
                if (!hasLeft) {
                    hasLeft = true;
                    this.open -= 1;
                    this.notifyIfIdle();
                }
            },
        };
    }

    /** Resolves as soon as no request is open. */
    waitIdle(): Promise<void> {
        return new Promise(resolve => {
            this.idleListeners.push(resolve);
            this.notifyIfIdle();
        });
    }

    private notifyIfIdle(): void {
        if (this.open === 0) {
            this.idleListeners.splice(0).forEach(listener => listener());
        }
    }
}
