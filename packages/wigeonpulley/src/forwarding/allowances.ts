/** What the forwarder asks before it admits or repeats a request; shared over all VMs by their implementations. */
import type { Quota } from "../routing/index.js";

/** Quotas of workspaces. */
export abstract class QuotaAllowance {
    /** Takes units of a workspace's quota; false when it is used up. */
    abstract tryTake(workspace: string, quota: Quota, units: number): boolean;

    /** Gives units back that were not used. */
    abstract giveBack(workspace: string, units: number): void;

    /** What the last decision on a workspace rested on: its bucket in units, and this VM's rate in units a second. */
    abstract explain(workspace: string): { readonly level: number; readonly ratePerS: number; };

    /** Time until the quota allows a request again, in milliseconds. */
    abstract estimateWaitMs(workspace: string, quota: Quota, units: number): number;
}

/** Budget for sending requests to a second endpoint. */
export abstract class RepeatAllowance {
    /** Notes a request of a caller for a service. */
    abstract noteRequest(service: string): void;

    /** Takes one repetition; false when the budget is used up. */
    abstract tryRepeat(service: string): boolean;
}
