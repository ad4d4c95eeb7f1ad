/** Computes each VM's part of what a cold instance tolerates, so that VMs with different member lists keep it together. */

/** What a cold instance tolerates from all VMs together. */
export interface ColdLimits {
    /** Requests a second. */
    readonly perS: number;
    /** Factor by which the rate may be exceeded in one second, and requests that may come in addition. */
    readonly overrun: number;
    readonly slack: number;
}

/**
 * Requests sent in this time count as arriving within one second, in milliseconds: the second itself, and 100 ms by which
 * links and event loops delay one request more than the next. Longer delays are covered by the unused share.
 */
const WINDOW_MS = 1_100;
/** Makes the spacing exceed an exact part of the window, in milliseconds. */
const SPACING_MARGIN_MS = 1;
/** Share of the allowance that is dealt out: two groups of VMs that don't know each other then use at most all of it. */
const USED_SHARE = 0.5;
/** VMs among which it is dealt out, at least: a VM that knows few others is more likely to lack some than to have few. */
const MIN_PARTS = 4;
const MS_PER_S = 1_000;

/**
 * Returns the shortest time between two requests of a VM, in milliseconds; infinite if it may send none. `vmCount` is the
 * number of VMs that it knows, and `rank` the number of those that come before it. The requests of a window are dealt out to
 * the VMs one by one in their order. A spacing bounds a VM's requests in a window by a whole number, so that the sum depends
 * on who sends and not on when. All VMs together send at most `perS` for long.
 */
export const computeColdSpacingMs = (
    { perS, overrun, slack }: ColdLimits,
    vmCount: number,
    rank: number,
): number => {
    const allowed = Math.floor(perS * overrun + slack);
    const used = Math.min(allowed, Math.max(1, Math.floor(allowed * USED_SHARE)));
    const parts = Math.max(MIN_PARTS, vmCount);
    const own = Math.floor(used / parts) + (rank < used % parts ? 1 : 0);
    return own === 0
        ? Number.POSITIVE_INFINITY
        : Math.max((WINDOW_MS + SPACING_MARGIN_MS) / own, used / (own * perS) * MS_PER_S);
};
