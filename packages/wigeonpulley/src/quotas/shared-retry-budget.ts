/**
 * Budget for sending requests to a second endpoint. All VMs together may repeat a share of a service's requests and a
 * fixed number besides; each VM uses the share of its own requests and an equal part of the number.
 */
import { RetryBudget } from "../forwarding/index.js";
import type { TimerService } from "../time/index.js";

/** Limits of the budget. */
export interface SharedRetryBudgetOptions {
    readonly timers: TimerService;
    /** Repeats for each request, repeats besides, and the window in milliseconds. */
    readonly getLimits: () => { readonly ratio: number; readonly extra: number; readonly windowMs: number; };
    /** VMs that may use the budget at the same time. */
    readonly countVms: () => number;
}

/** Parts of the budget's window in which repeats are counted. */
const SLICES = 10;
/**
 * The newest parts whose requests count: half of the window. The users' rule sets the repeats of a window against the
 * requests of that window or of the one that begins half a window earlier, and half a window always lies in one of them.
 */
const REQUEST_SLICES = SLICES / 2;
/** Part of the budget that is used; the rest covers what VMs do not know of each other. */
const USED_SHARE = 0.8;

interface Slice {
    readonly number: number;
    requests: number;
    repeats: number;
}

/** Counts of one service over the window. */
class ServiceCounts {
    private slices: Slice[] = [];

    private constructor() {}

    static create(): ServiceCounts {
        return new ServiceCounts();
    }

    findSlice(number: number): Slice {
        this.slices = this.slices.filter(slice => slice.number > number - SLICES);
        const last = this.slices.at(-1);
        if (last?.number === number) {
            return last;
        }
        const slice = { number, requests: 0, repeats: 0 };
        this.slices.push(slice);
        return slice;
    }

    /** Repeats of the window that ends with a part, and requests of its newer half. */
    sumUntil(number: number): { readonly requests: number; readonly repeats: number; } {
        return this.slices.reduce(
            (sum, slice) => ({
                requests: sum.requests + (slice.number > number - REQUEST_SLICES ? slice.requests : 0),
                repeats: sum.repeats + slice.repeats,
            }),
            { requests: 0, repeats: 0 },
        );
    }
}

/** Budget of one VM. */
export class SharedRetryBudget extends RetryBudget {
    private readonly counts = new Map<string, ServiceCounts>();

    private constructor(private readonly options: SharedRetryBudgetOptions) {
        super();
    }

    /** Creates an unused budget. */
    static create(options: SharedRetryBudgetOptions): SharedRetryBudget {
        return new SharedRetryBudget(options);
    }

    override recordRequest(service: string): void {
        this.findSlice(service).requests += 1;
    }

    override tryRetry(service: string): boolean {
        const slice = this.findSlice(service);
        const { requests, repeats } = this.findCounts(service).sumUntil(slice.number);
        const { ratio, extra } = this.options.getLimits();
        const allowed = USED_SHARE * (ratio * requests + extra / Math.max(1, this.options.countVms()));
        if (repeats + 1 > allowed) {
            return false;
        }
        slice.repeats += 1;
        return true;
    }

    private findCounts(service: string): ServiceCounts {
        const counts = this.counts.get(service) ?? ServiceCounts.create();
        this.counts.set(service, counts);
        return counts;
    }

    private findSlice(service: string): Slice {
        const { timers, getLimits } = this.options;
        return this.findCounts(service).findSlice(
            Math.floor(timers.now() / (getLimits().windowMs / SLICES)),
        );
    }
}
