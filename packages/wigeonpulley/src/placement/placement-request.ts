/** What placement needs to know about a request. */
import type { PromptBlock } from "./instance-prefix-index.js";

/** A request for a slot on an instance. */
export interface PlacementRequest {
    readonly requestId: string;
    readonly service: string;
    readonly route: string;
    /** Workspace of the caller; undefined when its requests need no key. */
    readonly workspace: string | undefined;
    /** Weight of the workspace's share of a contended service: its quota in units a second, or 1 without one. */
    readonly workspaceWeight: number;
    /** Work that the request brings: its prompt tokens and the output tokens expected; 1 for a plain service. */
    readonly workTokens: number;
    /** Regions whose instances may take the request; undefined for all. */
    readonly allowedRegions: ReadonlySet<string> | undefined;
    /** Priority rank; 0 is the most important. */
    readonly rank: number;
    readonly isEngine: boolean;
    readonly promptTokens: number;
    readonly promptBlocks: readonly PromptBlock[];
    /** Events that an engine's response is expected to have. */
    readonly expectedEvents: number;
    /** Time left for the whole response, in milliseconds. */
    readonly remainingMs: number;
    /** Longest event gap that is on time, in milliseconds. */
    readonly gapTargetMs: number | undefined;
    /** Monotonic time of its arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Time that the caller has spent on earlier attempts, in milliseconds, as far as known. */
    readonly earlierAttemptsMs: number;
    /** Monotonic time until which it may wait for an instance, in milliseconds. */
    readonly waitUntil: number;
    /** Time from its arrival within which its response is on time, in milliseconds. */
    readonly targetLatencyMs: number;
    /** True when it should go to a canary version of the service, where possible. */
    readonly isCanary: boolean;
    /** Instances that must not take it. */
    readonly excludedInstances: ReadonlySet<string>;
}

/** Cancels the wait of a request. */
export interface WaitCancellation {
    /** Calls `listener` when the request must stop waiting; returns a function that unsubscribes. */
    readonly subscribe: (listener: () => void) => () => void;
}
