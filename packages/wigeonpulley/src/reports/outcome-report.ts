/** Summarises the results of ended requests by route and by second, with percentiles of the times that explain them. */
import { build, type Histogram } from "hdr-histogram-js";
import { type EndedRequest, REQUEST_RESULTS, type RequestResult } from "./request-log-line.js";

/** Results of one route's requests. */
export interface RouteOutcomes {
    readonly route: string;
    /** Priority rank of the route; -1 if it was never determined. */
    readonly rank: number;
    readonly total: number;
    readonly counts: Readonly<Record<RequestResult, number>>;
    /** Attempts after the first. */
    readonly retries: number;
    /** Median and 95th percentile of the wait for a slot. */
    readonly waitedMs: readonly [number, number];
    /** Median and 95th percentile of the time to the first event. */
    readonly firstEventMs: readonly [number, number];
    /**
     * Median and 95th percentile of the absolute difference between the predicted and the actual time to the first
     * event.
     */
    readonly predictionErrorMs: readonly [number, number];
}

/** Results of the requests that ended in one second. */
export interface SecondOutcomes {
    /** Seconds since the second in which the first request ended. */
    readonly second: number;
    readonly counts: Readonly<Record<RequestResult, number>>;
}

const MS_PER_SECOND = 1_000;
const MEDIAN_PERCENTILE = 50;
const HIGH_PERCENTILE = 95;

interface RouteTally {
    rank: number;
    readonly counts: Record<RequestResult, number>;
    retries: number;
    readonly waitedMs: Histogram;
    readonly firstEventMs: Histogram;
    readonly predictionErrorMs: Histogram;
}

/** Report on the requests that were added to it. */
export class OutcomeReport {
    private readonly routes = new Map<string, RouteTally>();
    private readonly seconds = new Map<number, Record<RequestResult, number>>();

    private constructor() {}

    /** Creates an empty report. */
    static create(): OutcomeReport {
        return new OutcomeReport();
    }

    /** Adds a request to its route and to the second in which it ended. */
    add(request: EndedRequest): void {
        const tally = this.getOrCreateTally(request);
        tally.rank = Math.max(tally.rank, request.rank);
        tally.counts[request.result] += 1;
        tally.retries += Math.max(0, request.attempts - 1);
        tally.waitedMs.recordValue(Math.max(0, request.waitedMs));
        if (request.firstEventMs !== undefined) {
            tally.firstEventMs.recordValue(request.firstEventMs);
        }
        if (request.predictionErrorMs !== undefined) {
            tally.predictionErrorMs.recordValue(Math.abs(request.predictionErrorMs));
        }
        const second = Math.floor(request.endedAt / MS_PER_SECOND);
        const counts = this.seconds.get(second) ?? createCounts();
        this.seconds.set(second, counts);
        counts[request.result] += 1;
    }

    /** Returns one row per route, starting with the route that has the most requests not on time. */
    listByRoute(): readonly RouteOutcomes[] {
        return [...this.routes].map((
            [route, { rank, counts, retries, waitedMs, firstEventMs, predictionErrorMs }],
        ) => ({
            route,
            rank,
            total: sumCounts(counts),
            counts,
            retries,
            waitedMs: getPercentiles(waitedMs),
            firstEventMs: getPercentiles(firstEventMs),
            predictionErrorMs: getPercentiles(predictionErrorMs),
        })).toSorted((left, right) => countNotOnTime(right.counts) - countNotOnTime(left.counts));
    }

    /** Returns one entry for each second between the first and the last end of a request. */
    listBySecond(): readonly SecondOutcomes[] {
        const known = [...this.seconds.keys()];
        if (known.length === 0) {
            return [];
        }
        const firstSecond = Math.min(...known);
        return Array.from({ length: Math.max(...known) - firstSecond + 1 }, (unused, second) => ({
            second,
            counts: this.seconds.get(firstSecond + second) ?? createCounts(),
        }));
    }

    private getOrCreateTally({ route }: EndedRequest): RouteTally {
        const known = this.routes.get(route);
        if (known !== undefined) {
            return known;
        }
        const tally: RouteTally = {
            rank: -1,
            counts: createCounts(),
            retries: 0,
            waitedMs: build(),
            firstEventMs: build(),
            predictionErrorMs: build(),
        };
        this.routes.set(route, tally);
        return tally;
    }
}

const createCounts = (): Record<RequestResult, number> =>
    Object.fromEntries(REQUEST_RESULTS.map(result => [result, 0])) as Record<RequestResult, number>;

const sumCounts = (counts: Readonly<Record<RequestResult, number>>): number =>
    Object.values(counts).reduce((sum, count) => sum + count, 0);

const countNotOnTime = (counts: Readonly<Record<RequestResult, number>>): number =>
    sumCounts(counts) - counts["on-time"];

const getPercentiles = (histogram: Histogram): readonly [number, number] => [
    histogram.getValueAtPercentile(MEDIAN_PERCENTILE),
    histogram.getValueAtPercentile(HIGH_PERCENTILE),
];
