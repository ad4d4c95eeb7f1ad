/** Computes each VM's part of what a cold instance tolerates, so that VMs with different member lists keep it together. */

/** What a cold instance tolerates from all VMs together. */
export interface ColdLimits {
    /** Requests a second. */
    readonly perS: number;
    /** Factor by which the rate may be exceeded in one second, and requests that may come in addition. */
    readonly overrun: number;
    readonly slack: number;
}

/** A division among VMs. */
export interface ColdShare {
    /** VMs that send to the instance. */
    readonly sharingVms: number;
    /** Shortest time between two requests of one sharing VM, in milliseconds; infinite if none may be sent. */
    readonly spacingMs: number;
}

/**
 * Requests sent in this time count as arriving within one second, in milliseconds: the second itself, and 100 ms by which
 * links and event loops delay one request more than the next. Longer delays are covered by the reserve for other views.
 */
const WINDOW_MS = 1_100;
/** Makes the spacing exceed an exact part of the window, in milliseconds. */
const SPACING_MARGIN_MS = 1;
/** Share of the allowance that the sharing VMs use: two groups of VMs that don't know each other use all of it. */
const USED_SHARE = 0.5;
/** VMs that may be missing in a member list, at least, and as a share of those in it. */
const MIN_MISSING_VMS = 3;
const MISSING_SHARE = 0.5;
const MS_PER_S = 1_000;

/**
 * Divides what an instance tolerates among `vmCount` known VMs. The sharing VMs send one request per window, or a few if
 * there are few VMs, so that the sum depends on the number of VMs that consider themselves sharing and not on their rates.
 */
export const computeColdShare = ({ perS, overrun, slack }: ColdLimits, vmCount: number): ColdShare => {
    const allowed = Math.floor(perS * overrun + slack);
    const sharingVms = Math.min(vmCount, Math.max(1, Math.floor(allowed * USED_SHARE)));
    if (allowed < 1) {
        return { sharingVms, spacingMs: Number.POSITIVE_INFINITY };
    }
    const missingVms = Math.max(MIN_MISSING_VMS, Math.ceil(vmCount * MISSING_SHARE));
    const requestsPerWindow = Math.max(1, Math.floor(allowed / (vmCount + missingVms)));
    return {
        sharingVms,
        spacingMs: Math.max(
            (WINDOW_MS + SPACING_MARGIN_MS) / requestsPerWindow,
            sharingVms / perS * MS_PER_S,
        ),
    };
};
