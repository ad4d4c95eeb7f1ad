/**
 * Refreshes a topic before the age of what was read from it matters. A long poll confirms nothing until it ends, and then
 * only from its sending; a refresh confirms at once. The age may also be kept low by others' confirmations, in which case
 * nothing is read here.
 */
import type { RandomSource } from "../random/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";

/** Age from which a refresh is due, and a random part that is added so that VMs don't refresh together. */
export interface RefreshAge {
    readonly minMs: number;
    readonly spreadMs: number;
}

/** Dependencies of a keeper. */
export interface FreshnessKeeperOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    /** Age of what was read, in milliseconds. */
    readonly getAgeMs: () => number;
    /** Returns the age from which a refresh is due; that of a VM that reads for itself when absent. */
    readonly getRefreshAge?: () => RefreshAge;
    /** True when something waits for a confirmation, whatever the age. */
    readonly isConfirmationAwaited: () => boolean;
    /** Starts a read unless one is in progress or the store is known to be unavailable. */
    readonly refresh: () => void;
}

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 150;
/** Ages at which a VM that reads for itself refreshes. */
export const DEFAULT_REFRESH_AGE: RefreshAge = { minMs: 800, spreadMs: 500 };

/** Keeper of one topic. */
export class FreshnessKeeper {
    private cancelChecks: CancelTimer = () => undefined;

    private constructor(private readonly options: FreshnessKeeperOptions) {}

    /** Creates a keeper that does not check yet. */
    static create(options: FreshnessKeeperOptions): FreshnessKeeper {
        return new FreshnessKeeper(options);
    }

    /** Starts to check. */
    start(): void {
        this.cancelChecks = this.options.timers.scheduleRepeating(CHECK_INTERVAL_MS, () => this.check());
    }

    /** Stops to check. */
    stop(): void {
        this.cancelChecks();
    }

    private check(): void {
        const { random, getAgeMs, getRefreshAge, isConfirmationAwaited, refresh } = this.options;
        const { minMs, spreadMs } = getRefreshAge?.() ?? DEFAULT_REFRESH_AGE;
        const dueAgeMs = minMs + random.pickFraction() * spreadMs;
        if (getAgeMs() > dueAgeMs || isConfirmationAwaited()) {
            refresh();
        }
    }
}
