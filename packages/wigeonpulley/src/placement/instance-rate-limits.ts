/** Rate limits that instances name in their responses. */
import { hashIncarnation, type Instance } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";

/** Dependencies of the limits. */
export interface InstanceRateLimitsOptions {
    readonly logger: EventLogger;
}

interface KnownLimit {
    /** Requests a second from all VMs together; undefined once the instance no longer names a limit. */
    limitPerS: number | undefined;
    /** Monotonic time at which the instance named it last, or first responded without one, in milliseconds. */
    observedAt: number;
}

/** Limits that one VM knows. */
export class InstanceRateLimits {
    /** By the hash of the incarnation. */
    private readonly limits = new Map<number, KnownLimit>();

    private constructor(private readonly options: InstanceRateLimitsOptions) {}

    /** Creates an empty set of limits. */
    static create(options: InstanceRateLimitsOptions): InstanceRateLimits {
        return new InstanceRateLimits(options);
    }

    /**
     * Records the limit in a response that was received at `now`; undefined when the response names none. That ends a
     * limit only if the request was sent after the limit was last named, since responses overtake each other.
     */
    recordResponse(instance: Instance, limitPerS: number | undefined, sentAt: number, now: number): void {
        const key = hashIncarnation(instance);
        const known = this.limits.get(key);
        if (limitPerS === undefined && (known === undefined || sentAt < known.observedAt)) {
            return;
        }
        if (limitPerS !== known?.limitPerS) {
            this.options.logger.write("InstanceLimitChanged", {
                instance: instance.id,
                limitPerS: limitPerS ?? -1,
                beforePerS: known?.limitPerS ?? -1,
            });
        }
        this.limits.set(key, { limitPerS, observedAt: now });
    }
}
