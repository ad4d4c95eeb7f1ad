/** Maps a scheduler's refusal to the error that the caller gets. */
import { SchedulerError } from "../errors/index.js";
import { RefusalReason } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { SlotRefusal } from "./group-scheduler.js";

/** What the caller requested. */
export interface RefusalContext {
    readonly tier: string;
    readonly target: string;
    /** Time left until the deadline, in milliseconds. */
    readonly remainingMs: number;
}

/** Creates the error that a caller gets for a refusal. */
export const createRefusalError = (refusal: SlotRefusal, context: RefusalContext): SchedulerError => {
    const options = { retryAfterMs: refusal.retryAfterMs };
    switch (refusal.reason) {
        case RefusalReason.DEADLINE_UNATTAINABLE:
            return SchedulerError.create("DeadlineUnattainable", {
                estimateMs: refusal.estimateMs,
                deadlineMs: Math.round(context.remainingMs),
            }, options);
        case RefusalReason.NO_ENDPOINT:
            return SchedulerError.create("NoEndpoint", { target: context.target }, options);
        default:
            return SchedulerError.create("Overloaded", { tier: context.tier }, options);
    }
};
