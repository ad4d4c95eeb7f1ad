/**
 * Limits how many requests of a service are retried at another endpoint, with counts over a sliding window. All VMs
 * together may retry a fraction of the service's requests plus a fixed number; each VM uses that fraction of its own
 * requests and an equal part of the number, so no call between VMs is needed. A VM that has just started may have replaced
 * one that used its part, so it gets only what that one left until a whole window has passed.
 */
import { RetryBudget } from "../forwarding/index.js";
import type { TimerService } from "../time/index.js";

/** Options of the budget. */
export interface SharedRetryBudgetOptions {
    readonly timers: TimerService;
    /** Returns the limits over all VMs: retries per request, additional retries, and the window. */
    readonly getLimits: () => { readonly ratio: number; readonly extra: number; readonly windowMs: number; };
    /** Returns the number of VMs that may use the budget at the same time. */
    readonly countVms: () => number;
}

/** Slices of a window; requests and retries are counted per slice. */
const SLICES_PER_WINDOW = 10;
/**
 * Number of newest slices whose requests count: half of the window. The limit compares the retries of any window with the
 * requests of that window or of the one that starts half a window earlier, and the newest half always lies in one of
 * them.
 */
const REQUEST_SLICES = SLICES_PER_WINDOW / 2;
/** Fraction of the budget that is used; the rest covers usage that VMs don't know of each other. */
const USED_FRACTION = 0.8;

interface Slice {
    readonly index: number;
    requests: number;
    retries: number;
}

/** Sliding window counts of one service. */
class ServiceCounts {
    private slices: Slice[] = [];

    private constructor() {}

    static create(): ServiceCounts {
        return new ServiceCounts();
    }

    getOrCreateSlice(index: number): Slice {
        this.slices = this.slices.filter(slice => slice.index > index - SLICES_PER_WINDOW);
        const last = this.slices.at(-1);
        if (last?.index === index) {
            return last;
        }
        const slice = { index, requests: 0, retries: 0 };
        this.slices.push(slice);
        return slice;
    }

    /** Returns the retries of the window that ends with the given slice and the requests of its newer half. */
    computeTotalsUntil(index: number): { readonly requests: number; readonly retries: number; } {
        return this.slices.reduce(
            (sum, slice) => ({
                requests: sum.requests + (slice.index > index - REQUEST_SLICES ? slice.requests : 0),
                retries: sum.retries + slice.retries,
            }),
            { requests: 0, retries: 0 },
        );
    }
}

/** Retry budget of one VM. */
export class SharedRetryBudget extends RetryBudget {
    private readonly counts = new Map<string, ServiceCounts>();
    private readonly startedAt: number;

    private constructor(private readonly options: SharedRetryBudgetOptions) {
        super();
        this.startedAt = options.timers.now();
    }

    /** Creates an unused budget. */
    static create(options: SharedRetryBudgetOptions): SharedRetryBudget {
        return new SharedRetryBudget(options);
    }

    override recordRequest(service: string): void {
        this.getOrCreateSlice(service).requests += 1;
    }

    override canRetry(service: string): boolean {
        const { index } = this.getOrCreateSlice(service);
        const { requests, retries } = this.getOrCreateCounts(service).computeTotalsUntil(index);
        const allowed = USED_FRACTION * this.options.getLimits().ratio * requests + this.computeExtraPart();
        return retries + 1 <= allowed;
    }

    override tryRetry(service: string): boolean {
        if (!this.canRetry(service)) {
            return false;
        }
        this.getOrCreateSlice(service).retries += 1;
        return true;
    }

    private computeExtraPart(): number {
        const { timers, getLimits, countVms } = this.options;
        const { extra, windowMs } = getLimits();
        const usedFraction = timers.now() - this.startedAt < windowMs ? 1 - USED_FRACTION : USED_FRACTION;
        return usedFraction * extra / Math.max(1, countVms());
    }

    private getOrCreateCounts(service: string): ServiceCounts {
        const counts = this.counts.get(service) ?? ServiceCounts.create();
        this.counts.set(service, counts);
        return counts;
    }

    private getOrCreateSlice(service: string): Slice {
        const { timers, getLimits } = this.options;
        return this.getOrCreateCounts(service).getOrCreateSlice(
            Math.floor(timers.now() / (getLimits().windowMs / SLICES_PER_WINDOW)),
        );
    }
}
