/**
 * Tells callers who come back from new ones. A caller who was refused sends its request again with what is left of its
 * deadline, as a new request on another VM; nothing else says that it was here before. Deadlines of new requests of one
 * route lie close together, so a markedly shorter one means that the caller has spent the difference.
 */
import type { TimerService } from "../time/index.js";

/** Part of a route's longest deadline down to which a request counts as new: deadlines were seen to vary by 15%. */
const NEW_SHARE = 0.85;
/** Part of a route's requests that may seem to come back; beyond it, its callers simply have different deadlines. */
const MOST_RETURNING = 0.65;
/** Time constant of what is remembered, in milliseconds; longer than a burst of callers. */
const MEMORY_MS = 20_000;
/** Requests, decayed, before which a route tells nothing. */
const LEAST_REQUESTS = 10;

interface Memory {
    longestMs: number;
    fresh: number;
    returning: number;
    at: number;
}

/** Deadlines of the requests of each route. */
export class CallerRetryDetector {
    private readonly memories = new Map<string, Memory>();

    private constructor(private readonly timers: TimerService) {}

    /** Creates a memory of nothing. */
    static create(timers: TimerService): CallerRetryDetector {
        return new CallerRetryDetector(timers);
    }

    /** Time that the caller of a request had spent before at the least, in milliseconds; notes its deadline. */
    estimateEarlierAttemptsMs(route: string, deadlineMs: number | undefined): number {
        if (deadlineMs === undefined) {
            return 0;
        }
        const memory = this.find(route);
        memory.longestMs = Math.max(memory.longestMs, deadlineMs);
        const spentMs = Math.max(0, memory.longestMs * NEW_SHARE - deadlineMs);
        if (spentMs > 0) {
            memory.returning += 1;
        }
        else {
            memory.fresh += 1;
        }
        const seen = memory.fresh + memory.returning;
        return seen < LEAST_REQUESTS || memory.returning > MOST_RETURNING * seen ? 0 : spentMs;
    }

    private find(route: string): Memory {
        const now = this.timers.now();
        const memory = this.memories.get(route) ?? { longestMs: 0, fresh: 0, returning: 0, at: now };
        this.memories.set(route, memory);
        const factor = Math.exp(-(now - memory.at) / MEMORY_MS);
        memory.longestMs *= Math.sqrt(factor);
        memory.fresh *= factor;
        memory.returning *= factor;
        memory.at = now;
        return memory;
    }
}
