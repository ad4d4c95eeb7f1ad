/**
 * Decides whether a request that finds no slot is queued or refused at once: it is refused if it can't be expected to start
 * in time. When the forecast is uncertain, the request is queued.
 */

/** What the forecast is based on. */
export interface ForecastInput {
    readonly now: number;
    /** Latest monotonic time at which the request can start and be on time, in milliseconds. */
    readonly latestOnTimeStartAt: number;
    /** Monotonic time until which the request may wait, in milliseconds. */
    readonly waitUntil: number;
    /** Waiting requests of all VMs that are dispatched before it, if it is on time, and if it is late. */
    readonly aheadOnTime: number;
    readonly aheadLate: number;
    /** Share of the freed slots that goes to requests that arrive later and are dispatched earlier, in both cases. */
    readonly overtakingOnTime: number;
    readonly overtakingLate: number;
    /** Slots that all VMs free in a second; undefined when this isn't known. */
    readonly freedPerS: number | undefined;
    /** True when under half of the slots are in use and no other request waits. */
    readonly isIdle: boolean;
    /** True when a request waits that is dispatched after any of this one's rank. */
    readonly isWorseRankWaiting: boolean;
}

/** Why a request is refused. */
export interface AdmissionRefusal {
    /** Expected wait for a slot, in milliseconds. */
    readonly waitMs: number;
    /** Expected time until a request like this one would start in time, in milliseconds. */
    readonly roomInMs: number;
    readonly freedPerS: number;
}

/**
 * Part of the expected wait that must exceed the limit before a request is refused that could be on time. Slots are freed
 * irregularly and reports of others are outdated: at 1, 40 VMs refused requests that would have started on time.
 */
const CERTAIN_SHARE = 0.8;
/** Share of the freed slots that is expected to be left, because callers that go ahead now may stop. */
const MIN_REMAINING_SHARE = 0.05;
const MS_PER_S = 1_000;

/** Returns why a request is refused at its arrival; undefined when it is queued. */
export const forecastAdmission = (input: ForecastInput): AdmissionRefusal | undefined => {
    const { now, freedPerS, latestOnTimeStartAt, waitUntil } = input;
    if (freedPerS === undefined || input.isIdle || input.isWorseRankWaiting) {
        return undefined;
    }
    const estimateWaitMs = (ahead: number, overtaking: number): number =>
        (ahead + 1) * MS_PER_S / (freedPerS * Math.max(MIN_REMAINING_SHARE, 1 - overtaking));
    const onTimeWaitMs = estimateWaitMs(input.aheadOnTime, input.overtakingOnTime);
    const lateWaitMs = estimateWaitMs(input.aheadLate, input.overtakingLate);
    const canStartOnTime = latestOnTimeStartAt >= now
        && now + onTimeWaitMs * CERTAIN_SHARE <= latestOnTimeStartAt;
    const canStartLate = now + lateWaitMs <= waitUntil;
    if (canStartOnTime || canStartLate) {
        return undefined;
    }
    const [waitMs, limitAt] = latestOnTimeStartAt >= now
        ? [onTimeWaitMs, latestOnTimeStartAt]
        : [lateWaitMs, waitUntil];
    return { waitMs, roomInMs: Math.max(0, waitMs - (limitAt - now)), freedPerS };
};
