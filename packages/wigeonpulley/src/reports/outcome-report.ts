/** Where callers lose: what became of requests, by route and by second, with the times that explain it. */
import { build, type Histogram } from "hdr-histogram-js";
import { type EndedRequest, REQUEST_RESULTS, type RequestResult } from "./request-log-line.js";

/** One route's requests. */
export interface RouteOutcomes {
    readonly route: string;
    readonly rank: number;
    readonly asked: number;
    readonly counts: Readonly<Record<RequestResult, number>>;
    /** Sends beyond the first. */
    readonly repeats: number;
    /** Median and 95th percentile of the wait for a place, in milliseconds. */
    readonly waitedMs: readonly [number, number];
    /** The same of the time to the first byte of an answer. */
    readonly firstMs: readonly [number, number];
    /** The same of the difference between the expected and the seen time to the first byte, whichever was longer. */
    readonly predictionErrorMs: readonly [number, number];
}

/** What became of the requests that ended in one second. */
export interface SecondOutcomes {
    /** Seconds since the first request's end. */
    readonly second: number;
    readonly counts: Readonly<Record<RequestResult, number>>;
}

const MS_PER_S = 1_000;
const MEDIAN = 50;
const HIGH_PERCENTILE = 95;

interface RouteTally {
    rank: number;
    readonly counts: Record<RequestResult, number>;
    repeats: number;
    readonly waited: Histogram;
    readonly first: Histogram;
    readonly predictionError: Histogram;
}

/** Report on the requests that were added. */
export class OutcomeReport {
    private readonly routes = new Map<string, RouteTally>();
    private readonly seconds = new Map<number, Record<RequestResult, number>>();

    private constructor() {}

    /** Creates a report on nothing. */
    static create(): OutcomeReport {
        return new OutcomeReport();
    }

    /** Adds a request. */
    add(record: EndedRequest): void {
        const tally = this.findRoute(record);
        tally.rank = Math.max(tally.rank, record.rank);
        tally.counts[record.result] += 1;
        tally.repeats += Math.max(0, record.sends - 1);
        tally.waited.recordValue(Math.max(0, record.waitedMs));
        if (record.firstMs !== undefined) {
            tally.first.recordValue(record.firstMs);
        }
        if (record.predictionErrorMs !== undefined) {
            tally.predictionError.recordValue(Math.abs(record.predictionErrorMs));
        }
        const second = Math.floor(record.endedAt / MS_PER_S);
        const counts = this.seconds.get(second) ?? createCounts();
        this.seconds.set(second, counts);
        counts[record.result] += 1;
    }

    /** One row for each route, the one with the most losses first. */
    listByRoute(): readonly RouteOutcomes[] {
        return [...this.routes].map(([route, { rank, counts, repeats, waited, first, predictionError }]) => ({
            route,
            rank,
            asked: sumCounts(counts),
            counts,
            repeats,
            waitedMs: readPercentiles(waited),
            firstMs: readPercentiles(first),
            predictionErrorMs: readPercentiles(predictionError),
        })).toSorted((left, right) => countLost(right.counts) - countLost(left.counts));
    }

    /** One entry for each second between the first and the last end of a request. */
    listBySecond(): readonly SecondOutcomes[] {
        const known = [...this.seconds.keys()];
        if (known.length === 0) {
            return [];
        }
        const first = Math.min(...known);
        return Array.from({ length: Math.max(...known) - first + 1 }, (unused, second) => ({
            second,
            counts: this.seconds.get(first + second) ?? createCounts(),
        }));
    }

    private findRoute({ route }: EndedRequest): RouteTally {
        const known = this.routes.get(route);
        if (known !== undefined) {
            return known;
        }
        const tally: RouteTally = {
            rank: -1,
            counts: createCounts(),
            repeats: 0,
            waited: build(),
            first: build(),
            predictionError: build(),
        };
        this.routes.set(route, tally);
        return tally;
    }
}

const createCounts = (): Record<RequestResult, number> =>
    Object.fromEntries(REQUEST_RESULTS.map(result => [result, 0])) as Record<RequestResult, number>;

const sumCounts = (counts: Readonly<Record<RequestResult, number>>): number =>
    Object.values(counts).reduce((sum, count) => sum + count, 0);

const countLost = (counts: Readonly<Record<RequestResult, number>>): number =>
    sumCounts(counts) - counts["on-time"];

const readPercentiles = (histogram: Histogram): readonly [number, number] => [
    histogram.getValueAtPercentile(MEDIAN),
    histogram.getValueAtPercentile(HIGH_PERCENTILE),
];
