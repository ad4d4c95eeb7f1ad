/** What a request asks of placement. */
import type { PromptBlock } from "./instance-prefix-index.js";

/** What a request needs. */
export interface PlacementRequest {
    readonly requestId: string;
    readonly service: string;
    readonly route: string;
    /** 0 is the most important. */
    readonly rank: number;
    readonly isEngine: boolean;
    readonly promptTokens: number;
    readonly promptBlocks: readonly PromptBlock[];
    /** Events that the answer of an engine is expected to have. */
    readonly expectedEvents: number;
    /** Time left for the whole answer, in milliseconds. */
    readonly remainingMs: number;
    /** Longest pause between events that is on time, in milliseconds. */
    readonly gapTargetMs: number | undefined;
    /** Monotonic times in milliseconds: its arrival, and until when it may wait for an instance. */
    readonly arrivedAt: number;
    /** Time that the caller had spent on earlier tries, in milliseconds, as far as it shows. */
    readonly earlierAttemptsMs: number;
    readonly waitUntil: number;
    /** Time from its arrival in which its answer is on time, in milliseconds. */
    readonly targetLatencyMs: number;
    /** True when it tries a new version of the service, where it may. */
    readonly isCanary: boolean;
    /** Instances that it must not get. */
    readonly excludedInstances: ReadonlySet<string>;
}

/** Ends the wait of a request. */
export interface WaitCancellation {
    /** Calls back when the request must not wait any longer; returns how to unsubscribe. */
    readonly subscribe: (listener: () => void) => () => void;
}
