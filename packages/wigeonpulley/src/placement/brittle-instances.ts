/**
 * Keeps brittle instances from failing. Such an instance names how many requests it may turn away in a second. Each VM has
 * a part of its slots, and after a rejection leaves it alone for so long that all VMs together cause half of those.
 */
import { hashIncarnation, type Instance } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import type { TimerService } from "../time/index.js";

/** Dependencies of the brittle instances. */
export interface BrittleInstancesOptions {
    readonly timers: TimerService;
    readonly logger: EventLogger;
    /** Returns the number of VMs that may send requests, including this one. */
    readonly countVms: () => number;
}

interface BrittleInstance {
    /** Requests that it may turn away in a second. */
    rejectionsPerS: number;
    /** Monotonic time at which it named this last, in milliseconds. */
    observedAt: number;
    /** Monotonic time until which this VM sends it nothing, in milliseconds. */
    backoffUntil: number;
}

/** Share of the rejections in a second that all VMs together may cause. */
const USED_REJECTIONS_SHARE = 0.5;
/** Rejections a second that count for an instance that names fewer: without any request its end would never show. */
const MIN_REJECTIONS_PER_S = 1;
const MS_PER_S = 1_000;

/** The brittle instances that one VM knows. */
export class BrittleInstances {
    /** By the hash of the incarnation. */
    private readonly known = new Map<number, BrittleInstance>();

    private constructor(private readonly options: BrittleInstancesOptions) {}

    /** Creates an empty set. */
    static create(options: BrittleInstancesOptions): BrittleInstances {
        return new BrittleInstances(options);
    }

    /**
     * Records how many requests a second an instance may turn away, as its response says; undefined when it says nothing.
     * That ends the state only if the request was sent after the instance last named it, since responses overtake each other.
     */
    recordResponse(instance: Instance, rejectionsPerS: number | undefined, sentAt: number): void {
        const key = hashIncarnation(instance);
        const before = this.known.get(key);
        if (rejectionsPerS !== undefined) {
            const { backoffUntil = Number.NEGATIVE_INFINITY } = before ?? {};
            this.known.set(key, { rejectionsPerS, observedAt: this.options.timers.now(), backoffUntil });
        }
        else if (before !== undefined && sentAt >= before.observedAt) {
            this.known.delete(key);
        }
        else {
            return;
        }
        if (before?.rejectionsPerS !== rejectionsPerS) {
            this.options.logger.write("InstanceBrittle", {
                instance: instance.id,
                rejectionsPerS: rejectionsPerS ?? -1,
                before: before?.rejectionsPerS ?? -1,
            });
        }
    }

    /** Records that an instance turned a request away. */
    recordRejection(instance: Instance): void {
        const brittle = this.find(instance);
        if (brittle !== undefined) {
            const allowedPerS = USED_REJECTIONS_SHARE
                * Math.max(MIN_REJECTIONS_PER_S, brittle.rejectionsPerS);
            brittle.backoffUntil = this.options.timers.now()
                + this.options.countVms() / allowedPerS * MS_PER_S;
        }
    }

    /** True while the instance names how many requests it may turn away. */
    isBrittle(instance: Instance): boolean {
        return this.find(instance) !== undefined;
    }

    /** True when this VM, with `inFlight` requests at the instance, may send another one. */
    canSend(instance: Instance, inFlight: number): boolean {
        const brittle = this.find(instance);
        return brittle === undefined
            || (this.options.timers.now() >= brittle.backoffUntil
                && inFlight < Math.ceil(instance.slots / this.options.countVms()));
    }

    /** Forgets instances that are gone. */
    retain(instances: readonly Instance[]): void {
        const keys = new Set(this.known.size === 0 ? [] : instances.map(hashIncarnation));
        [...this.known.keys()].filter(key => !keys.has(key)).forEach(key => this.known.delete(key));
    }

    private find(instance: Instance): BrittleInstance | undefined {
        return this.known.size === 0 ? undefined : this.known.get(hashIncarnation(instance));
    }
}
