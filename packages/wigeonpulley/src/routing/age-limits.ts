/** Ages of a configuration up to which it may decide about a request. */

/** Bounds of the operators from which the limits follow, in milliseconds. */
export interface AgeBounds {
    /** Time within which a revoked key is refused. */
    readonly keyRevokeMs: number;
    /** Time within which a new configuration is in force. */
    readonly applyMs: number;
}

/** Ages in milliseconds, counted from the sending of the read that confirmed the configuration. */
export interface AgeLimits {
    /** Age above which no key is admitted. */
    readonly maxAgeForKeysMs: number;
    /** Age above which no route or key is refused as unknown. */
    readonly maxAgeForUnknownMs: number;
}

/** A key can't have been revoked before the read was sent; the rest of the bound is a margin for the clocks. */
const KEY_AGE_SHARE = 0.9;
const UNKNOWN_AGE_SHARE = 0.85;

/** Limits that keep the bounds. */
export const computeAgeLimits = ({ keyRevokeMs, applyMs }: AgeBounds): AgeLimits => ({
    maxAgeForKeysMs: keyRevokeMs * KEY_AGE_SHARE,
    maxAgeForUnknownMs: applyMs * UNKNOWN_AGE_SHARE,
});
