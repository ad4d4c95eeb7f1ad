/**
 * Detects retries by callers. A refused caller sends its request to another VM as a new one, with the rest of its
 * deadline as the only trace of the earlier attempt. Deadlines of first attempts on a route are close together, so a much
 * shorter one means that the difference was spent on earlier attempts.
 */
import type { TimerService } from "../time/index.js";

/** Share of a route's longest deadline above which a request is a first attempt; their deadlines vary by 15%. */
const FIRST_ATTEMPT_DEADLINE_SHARE = 0.85;
/** Share of apparent retries above which the callers of a route simply have different deadlines. */
const MAX_RETRY_SHARE = 0.65;
/** Longer than a burst of callers. */
const DECAY_TIME_CONSTANT_MS = 20_000;
/** Decayed number of requests below which no estimate is made for a route. */
const MIN_REQUESTS = 10;

/** Exponentially decayed statistics of one route. */
interface RouteStatistics {
    longestDeadlineMs: number;
    firstAttempts: number;
    retries: number;
    updatedAt: number;
}

/** Detects retries on each route. */
export class CallerRetryDetector {
    private readonly statisticsByRoute = new Map<string, RouteStatistics>();

    private constructor(private readonly timers: TimerService) {}

    /** Creates a detector that has seen no requests. */
    static create(timers: TimerService): CallerRetryDetector {
        return new CallerRetryDetector(timers);
    }

    /**
     * Records the deadline and returns a lower bound of the time that the caller spent on earlier attempts, in
     * milliseconds. Returns 0 while the route has too few requests, or when its callers have different deadlines.
     */
    estimateEarlierAttemptsMs(route: string, deadlineMs: number | undefined): number {
        if (deadlineMs === undefined) {
            return 0;
        }
        const statistics = this.updateStatistics(route);
        statistics.longestDeadlineMs = Math.max(statistics.longestDeadlineMs, deadlineMs);
        const earlierAttemptsMs = Math.max(
            0,
            statistics.longestDeadlineMs * FIRST_ATTEMPT_DEADLINE_SHARE - deadlineMs,
        );
        if (earlierAttemptsMs > 0) {
            statistics.retries += 1;
        }
        else {
            statistics.firstAttempts += 1;
        }
        const requests = statistics.firstAttempts + statistics.retries;
        return requests < MIN_REQUESTS || statistics.retries > MAX_RETRY_SHARE * requests
            ? 0
            : earlierAttemptsMs;
    }

    /** Returns the statistics of a route, decayed to the current time. */
    private updateStatistics(route: string): RouteStatistics {
        const now = this.timers.now();
        const statistics = this.statisticsByRoute.get(route) ?? {
            longestDeadlineMs: 0,
            firstAttempts: 0,
            retries: 0,
            updatedAt: now,
        };
        this.statisticsByRoute.set(route, statistics);
        const factor = Math.exp(-(now - statistics.updatedAt) / DECAY_TIME_CONSTANT_MS);
        statistics.longestDeadlineMs *= Math.sqrt(factor);
        statistics.firstAttempts *= factor;
        statistics.retries *= factor;
        statistics.updatedAt = now;
        return statistics;
    }
}
