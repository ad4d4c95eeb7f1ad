/**
 * Decides whether a canary is worse than the baseline that serves beside it, by a log-likelihood ratio test on each
 * route and on all routes together. Only the newest responses count, because a version may become bad late. A response is
 * bad when it is a failure, or slower than nearly all of the baseline's recent responses on the same route.
 */
import type { TimerService } from "../time/index.js";

/** Counts of a version's newest good and bad responses on one route. */
export interface RouteSamples {
    readonly route: string;
    readonly good: number;
    readonly bad: number;
}

/** Baseline responses stored for comparison on each route. */
const BASELINE_SAMPLES = 64;
/** Number of baseline responses below which no response counts as slow. */
const MIN_BASELINE_SAMPLES = 8;
/** A response is slow if it takes longer than this quantile and than this multiple of the median of the baseline. */
const SLOW_QUANTILE = 0.9;
const SLOW_MEDIAN_FACTOR = 2.2;
/** A response that is slower by less than this isn't slow: a new connection to another region costs two round trips. */
const MIN_SLOWDOWN_MS = 40;
/** Share of bad responses expected of a good version, in addition to the baseline's share. */
const EXPECTED_BAD_SHARE = 0.02;
/** Amount by which a bad version's share of bad responses exceeds that of a good version. */
const BAD_SHARE_INCREASE = 0.25;
const MAX_BAD_SHARE = 0.95;
/** Log-likelihood ratio from which a version is bad; about one window in 55 of a good version would be misjudged. */
const BAD_LOG_RATIO = 4;
/** Log-likelihood ratio of all routes together up to which a version counts as good: about four good responses. */
const GOOD_LOG_RATIO = -1;
/** Time for which a response counts, and the length of the slices in which responses are counted. */
const WINDOW_MS = 5_000;
const SLICE_MS = 500;

interface BaselineResponses {
    readonly durationsMs: number[];
    nextIndex: number;
    bad: number;
    count: number;
}

interface Slice {
    readonly index: number;
    good: number;
    bad: number;
}

/** Analysis of one canary version on one VM. */
export class CanaryAnalysis {
    private readonly baseline = new Map<string, BaselineResponses>();
    private readonly slices = new Map<string, Slice[]>();

    private constructor(private readonly timers: TimerService) {}

    /** Creates an analysis without samples. */
    static create(timers: TimerService): CanaryAnalysis {
        return new CanaryAnalysis(timers);
    }

    /** Records a response of the baseline; `elapsedMs` is undefined for a failure. */
    recordBaseline(route: string, elapsedMs: number | undefined): void {
        const responses = this.baseline.get(route) ?? { durationsMs: [], nextIndex: 0, bad: 0, count: 0 };
        responses.count += 1;
        responses.bad += this.isBadResponse(route, elapsedMs) ? 1 : 0;
        this.baseline.set(route, responses);
        if (elapsedMs === undefined) {
            return;
        }
        responses.durationsMs[responses.nextIndex] = elapsedMs;
        responses.nextIndex = (responses.nextIndex + 1) % BASELINE_SAMPLES;
    }

    /** Records a response of the canary; `elapsedMs` is undefined for a failure. */
    recordCanary(route: string, elapsedMs: number | undefined): void {
        const slice = this.getOrCreateSlice(route);
        if (this.isBadResponse(route, elapsedMs)) {
            slice.bad += 1;
        }
        else {
            slice.good += 1;
        }
    }

    /** Returns this VM's counts of the canary's newest responses, by route. */
    listSamples(): readonly RouteSamples[] {
        return [...this.slices.keys()].map(route => ({
            route,
            good: this.listSlices(route).reduce((sum, { good }) => sum + good, 0),
            bad: this.listSlices(route).reduce((sum, { bad }) => sum + bad, 0),
        }));
    }

    /** True when the samples of this VM and of others prove the canary bad. */
    isBad(others: readonly RouteSamples[]): boolean {
        return this.computeLogRatios(others).some(ratio => ratio >= BAD_LOG_RATIO);
    }

    /** True when the samples make a bad canary more likely than a good one, without having to prove it. */
    isLeaningBad(others: readonly RouteSamples[]): boolean {
        return this.computeLogRatios(others).some(ratio => ratio > 0);
    }

    /** True when there are samples, but they don't suffice to show that the canary is good. False without samples. */
    isInconclusive(others: readonly RouteSamples[]): boolean {
        const [total = 0, ...ofRoutes] = this.computeLogRatios(others);
        return (total !== 0 && total > GOOD_LOG_RATIO) || ofRoutes.some(ratio => ratio > 0);
    }

    /** Returns the log-likelihood ratios of bad to good: of all routes together first, then of each route. */
    private computeLogRatios(others: readonly RouteSamples[]): readonly number[] {
        const sums = new Map<string, { good: number; bad: number; }>();
        for (const { route, good, bad } of [...this.listSamples(), ...others]) {
            const sum = sums.get(route) ?? { good: 0, bad: 0 };
            sums.set(route, { good: sum.good + good, bad: sum.bad + bad });
        }
        const total = [...sums.values()].reduce(
            (all, { good, bad }) => ({ good: all.good + good, bad: all.bad + bad }),
            { good: 0, bad: 0 },
        );
        const ofRoutes = [...sums].map(([route, counts]) =>
            computeLogRatio(counts, this.computeBaselineBadShare([route]))
        );
        return [computeLogRatio(total, this.computeBaselineBadShare([...sums.keys()])), ...ofRoutes];
    }

    private computeBaselineBadShare(routes: readonly string[]): number {
        const known = routes.flatMap(route => this.baseline.get(route) ?? []);
        const count = known.reduce((sum, responses) => sum + responses.count, 0);
        const bad = known.reduce((sum, responses) => sum + responses.bad, 0);
        return count === 0 ? 0 : bad / count;
    }

    private isBadResponse(route: string, elapsedMs: number | undefined): boolean {
        return elapsedMs === undefined || elapsedMs > this.computeSlowThresholdMs(route);
    }

    private listSlices(route: string): readonly Slice[] {
        const oldestIndex = (this.timers.now() - WINDOW_MS) / SLICE_MS;
        return (this.slices.get(route) ?? []).filter(({ index }) => index > oldestIndex);
    }

    private getOrCreateSlice(route: string): Slice {
        const index = Math.floor(this.timers.now() / SLICE_MS);
        const slices = this.listSlices(route);
        const last = slices.at(-1);
        if (last?.index === index) {
            return last;
        }
        const slice = { index, good: 0, bad: 0 };
        this.slices.set(route, [...slices, slice]);
        return slice;
    }

    private computeSlowThresholdMs(route: string): number {
        const durationsMs = this.baseline.get(route)?.durationsMs.toSorted((left, right) => left - right)
            ?? [];
        if (durationsMs.length < MIN_BASELINE_SAMPLES) {
            return Number.POSITIVE_INFINITY;
        }
        const high = durationsMs[Math.floor(durationsMs.length * SLOW_QUANTILE)] ?? 0;
        const median = durationsMs[Math.floor(durationsMs.length / 2)] ?? 0;
        return Math.max(high, median * SLOW_MEDIAN_FACTOR, median + MIN_SLOWDOWN_MS);
    }
}

const computeLogRatio = (
    { good, bad }: { readonly good: number; readonly bad: number; },
    baselineBadShare: number,
): number => {
    const goodVersionShare = Math.min(
        MAX_BAD_SHARE - BAD_SHARE_INCREASE,
        EXPECTED_BAD_SHARE + baselineBadShare,
    );
    const badVersionShare = goodVersionShare + BAD_SHARE_INCREASE;
    return bad * Math.log(badVersionShare / goodVersionShare)
        + good * Math.log((1 - badVersionShare) / (1 - goodVersionShare));
};
