/**
 * Tells whether a new version is worse than the one beside it: a likelihood ratio on each route and on all together, over
 * the newest answers, because a version may turn bad late. An answer is bad when it is a failure, or slower than nearly
 * all of the old version's answers of the same route in the same moments.
 */
import type { TimerService } from "../time/index.js";

/** Newest answers of a version on one route that speak for and against it. */
export interface RouteSamples {
    readonly route: string;
    readonly good: number;
    readonly bad: number;
}

/** Answers of the old version that are kept for comparison, for each route. */
const KEPT_ANSWERS = 64;
/** Answers of the old version before which nothing is called slow. */
const LEAST_ANSWERS = 8;
/** An answer is slow beyond this percentile of the old version's and beyond this many of its medians. */
const SLOW_PERCENTILE = 0.9;
const SLOW_MEDIANS = 2.2;
/** An answer is never slow by less than this, in milliseconds: a new connection to another region costs two round trips. */
const LEAST_SLOWER_MS = 40;
/** Least share of bad answers that a sound version is expected to have, beside what the old one has. */
const USUAL_BAD_SHARE = 0.02;
/** By how much more often the answers of a bad version are bad. */
const BAD_SHARE_STEP = 0.25;
const HIGHEST_SHARE = 0.95;
/** Log-likelihood ratio from which a version is bad: about one window in 55 of a sound version would be taken for bad. */
const VERDICT_RATIO = 4;
/** Log-likelihood ratio of all routes together up to which a version counts as sound: about four good answers. */
const SOUND_RATIO = -1;
/** Time for which an answer counts, in milliseconds, and the parts in which answers are counted. */
const WINDOW_MS = 5_000;
const SLICE_MS = 500;

interface OldAnswers {
    readonly times: number[];
    next: number;
    bad: number;
    count: number;
}

interface Slice {
    readonly number: number;
    good: number;
    bad: number;
}

/** Evidence of one VM on one version. */
export class CanaryAnalysis {
    private readonly old = new Map<string, OldAnswers>();
    private readonly slices = new Map<string, Slice[]>();

    private constructor(private readonly timers: TimerService) {}

    /** Creates empty evidence. */
    static create(timers: TimerService): CanaryAnalysis {
        return new CanaryAnalysis(timers);
    }

    /** Notes an answer of the old version; the time is undefined for a failure. */
    recordBaseline(route: string, elapsedMs: number | undefined): void {
        const answers = this.old.get(route) ?? { times: [], next: 0, bad: 0, count: 0 };
        answers.count += 1;
        answers.bad += this.isBadAnswer(route, elapsedMs) ? 1 : 0;
        this.old.set(route, answers);
        if (elapsedMs === undefined) {
            return;
        }
        answers.times[answers.next] = elapsedMs;
        answers.next = (answers.next + 1) % KEPT_ANSWERS;
    }

    /** Notes an answer of the new version; the time is undefined for a failure. */
    recordCanary(route: string, elapsedMs: number | undefined): void {
        const slice = this.findSlice(route);
        if (this.isBadAnswer(route, elapsedMs)) {
            slice.bad += 1;
        }
        else {
            slice.good += 1;
        }
    }

    /** This VM's counts of the new version. */
    listSamples(): readonly RouteSamples[] {
        return [...this.slices.keys()].map(route => ({
            route,
            good: this.listSlices(route).reduce((sum, { good }) => sum + good, 0),
            bad: this.listSlices(route).reduce((sum, { bad }) => sum + bad, 0),
        }));
    }

    /** True when this VM's counts and those of others prove the new version bad. */
    isBad(others: readonly RouteSamples[]): boolean {
        return this.computeRatios(others).some(ratio => ratio >= VERDICT_RATIO);
    }

    /** True when the counts speak rather against the new version. */
    isLeaningBad(others: readonly RouteSamples[]): boolean {
        return this.computeRatios(others).some(ratio => ratio > 0);
    }

    /** True when the counts do not speak for the new version, without proving it bad; no answers at all are no doubt. */
    isInconclusive(others: readonly RouteSamples[]): boolean {
        const [total = 0, ...ofRoutes] = this.computeRatios(others);
        return (total !== 0 && total > SOUND_RATIO) || ofRoutes.some(ratio => ratio > 0);
    }

    /** Log-likelihood ratios of bad against sound: for all routes together, and for each. */
    private computeRatios(others: readonly RouteSamples[]): readonly number[] {
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
            computeRatio(counts, this.readOldBadShare([route]))
        );
        return [computeRatio(total, this.readOldBadShare([...sums.keys()])), ...ofRoutes];
    }

    private readOldBadShare(routes: readonly string[]): number {
        const known = routes.flatMap(route => this.old.get(route) ?? []);
        const count = known.reduce((sum, answers) => sum + answers.count, 0);
        const bad = known.reduce((sum, answers) => sum + answers.bad, 0);
        return count === 0 ? 0 : bad / count;
    }

    private isBadAnswer(route: string, elapsedMs: number | undefined): boolean {
        return elapsedMs === undefined || elapsedMs > this.computeSlowMs(route);
    }

    private listSlices(route: string): readonly Slice[] {
        const oldest = (this.timers.now() - WINDOW_MS) / SLICE_MS;
        return (this.slices.get(route) ?? []).filter(({ number }) => number > oldest);
    }

    private findSlice(route: string): Slice {
        const number = Math.floor(this.timers.now() / SLICE_MS);
        const slices = this.listSlices(route);
        const last = slices.at(-1);
        if (last?.number === number) {
            return last;
        }
        const slice = { number, good: 0, bad: 0 };
        this.slices.set(route, [...slices, slice]);
        return slice;
    }

    private computeSlowMs(route: string): number {
        const times = this.old.get(route)?.times.toSorted((left, right) => left - right) ?? [];
        if (times.length < LEAST_ANSWERS) {
            return Number.POSITIVE_INFINITY;
        }
        const high = times[Math.floor(times.length * SLOW_PERCENTILE)] ?? 0;
        const median = times[Math.floor(times.length / 2)] ?? 0;
        return Math.max(high, median * SLOW_MEDIANS, median + LEAST_SLOWER_MS);
    }
}

const computeRatio = (
    { good, bad }: { readonly good: number; readonly bad: number; },
    oldShare: number,
): number => {
    const sound = Math.min(HIGHEST_SHARE - BAD_SHARE_STEP, USUAL_BAD_SHARE + oldShare);
    const broken = sound + BAD_SHARE_STEP;
    return bad * Math.log(broken / sound) + good * Math.log((1 - broken) / (1 - sound));
};
