/** Limits on admitting and retrying requests. The implementations share them between all VMs. */
import type { Quota } from "../routing/index.js";

/** State of a quota at this VM. It is written to the log under these names. */
export interface QuotaState {
    /** Units in this VM's token bucket. */
    readonly level: number;
    /** Refill rate of this VM's bucket, in units per second. */
    readonly ratePerS: number;
    /** Known usage of all VMs in the window. */
    readonly knownUnits: number;
    /** Units that all VMs together may use in the window. */
    readonly boundUnits: number;
}

/** Quotas of workspaces. */
export abstract class QuotaLimiter {
    /** Consumes units of a workspace's quota; false when not enough are left. */
    abstract tryConsume(workspace: string, quota: Quota, units: number): boolean;

    /** Adds the consumed units of a request that did not run back to the quota. */
    abstract refund(workspace: string, units: number): void;

    /** Returns the state that the last decision on a workspace was based on. */
    abstract getState(workspace: string): QuotaState;

    /** Time until the quota is expected to admit the units, in milliseconds. */
    abstract estimateWaitMs(workspace: string, quota: Quota, units: number): number;
}

/** Budget of each service for sending requests again to another instance. */
export abstract class RetryBudget {
    /** Records a first attempt, which adds to the budget. */
    abstract recordRequest(service: string): void;

    /** True when a retry would be allowed now. */
    abstract canRetry(service: string): boolean;

    /** Consumes one retry; false when the budget is exhausted. */
    abstract tryRetry(service: string): boolean;
}
