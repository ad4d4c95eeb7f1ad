/** What the forwarder asks before it admits or repeats a request; shared over all VMs by their implementations. */
import type { Quota } from "../routing/index.js";

/** What a decision on a quota rests on. */
export interface QuotaState {
    /** Units in this VM's bucket. */
    readonly level: number;
    /** This VM's rate, in units a second. */
    readonly ratePerS: number;
    /** Units known as used in the window by all VMs, and the most that may be used. */
    readonly knownUnits: number;
    readonly boundUnits: number;
}

/** Quotas of workspaces. */
export abstract class QuotaLimiter {
    /** Takes units of a workspace's quota; false when it is used up. */
    abstract tryConsume(workspace: string, quota: Quota, units: number): boolean;

    /** Gives units back that were not used. */
    abstract refund(workspace: string, units: number): void;

    /** What the last decision on a workspace rested on. */
    abstract getState(workspace: string): QuotaState;

    /** Time until the quota allows a request again, in milliseconds. */
    abstract estimateWaitMs(workspace: string, quota: Quota, units: number): number;
}

/** Budget for sending requests to a second endpoint. */
export abstract class RetryBudget {
    /** Notes a request of a caller for a service. */
    abstract recordRequest(service: string): void;

    /** Takes one repetition; false when the budget is used up. */
    abstract tryRetry(service: string): boolean;
}
