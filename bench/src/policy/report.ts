/** Compares the policies in several scenarios with several seeds. */
import { roundTo, type Row, type Table } from "../table.js";
import { measurePolicy, type PolicyName, policyNames, type PolicyResult, type Scenario } from "./measure.js";
import { tierWorkloads } from "./workload.js";

const QUICK_SECONDS = 12;
const FULL_SECONDS = 40;
const MILLISECONDS_PER_SECOND = 1_000;
const PERCENT = 100;

const createScenarios = (isQuick: boolean): readonly Scenario[] => {
    const durationMs = (isQuick ? QUICK_SECONDS : FULL_SECONDS) * MILLISECONDS_PER_SECOND;
    const all: readonly Scenario[] = [
        { name: "load 0.7", loadFactor: 0.7, durationMs },
        { name: "load 1.5", loadFactor: 1.5, durationMs },
        { name: "load 3", loadFactor: 3, durationMs },
        { name: "load 0.9, slow engine", loadFactor: 0.9, durationMs, slowEngine: "engine-0" },
        { name: "load 0.9, VM killed", loadFactor: 0.9, durationMs, killedVm: 0 },
    ];
    return isQuick ? all.slice(0, 2) : all;
};

const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

const sumByTier = (
    results: readonly PolicyResult[],
    getCounts: (result: PolicyResult) => readonly number[],
): readonly number[] =>
    tierWorkloads.map((unused, tier) => sum(results.map(result => getCounts(result)[tier] ?? 0)));

/** Formats the share of offered requests with a good response, in percent: the mean, and the range over the seeds. */
const describeGoodput = (results: readonly PolicyResult[]): string => {
    const shares = results.map(({ good, offered }) => PERCENT * sum(good) / sum(offered));
    return shares.length === 1
        ? `${roundTo(shares[0] ?? 0)}`
        : `${roundTo(sum(shares) / shares.length)} (${roundTo(Math.min(...shares))}–${
            roundTo(Math.max(...shares))
        })`;
};

const createRow = (scenario: Scenario, policy: PolicyName, results: readonly PolicyResult[]): Row => {
    const offered = sumByTier(results, result => result.offered);
    const good = sumByTier(results, result => result.good);
    const byTier = Object.fromEntries(tierWorkloads.map(({ name }, tier) => [
        `${name} %`,
        roundTo(PERCENT * (good[tier] ?? 0) / Math.max(1, offered[tier] ?? 0)),
    ]));
    return {
        scenario: scenario.name,
        policy,
        "good %": describeGoodput(results),
        ...byTier,
        shed: sumByTier(results, result => result.shed).join("/"),
        "late/late first/slow pace": ["late", "late first token", "slow pace"]
            .map(reason => sum(results.map(result => result.failuresByReason.get(reason) ?? 0)))
            .join("/"),
        "unfair sheds": sum(results.map(result => result.unfairSheds)),
        "wasted prefill k": Math.round(sum(results.map(result => result.wastedPrefillTokens)) / 1_000),
        "cross-region MB": roundTo(sum(results.map(result => result.crossRegionBytes)) / 1_000_000),
        "processor s": roundTo(sum(results.map(result => result.processorMs)) / MILLISECONDS_PER_SECOND),
    };
};

/** Creates a row with the ratios of goodput to the best baseline's and of wasted prefill to that of least outstanding. */
const createRatio = (scenario: Scenario, byPolicy: ReadonlyMap<PolicyName, readonly PolicyResult[]>): Row => {
    const countGood = (policy: PolicyName): number =>
        sum((byPolicy.get(policy) ?? []).map(result => sum(result.good)));
    const countWastedTokens = (policy: PolicyName): number =>
        sum((byPolicy.get(policy) ?? []).map(result => result.wastedPrefillTokens));
    const best = Math.max(...policyNames.slice(1).map(countGood));
    return {
        scenario: scenario.name,
        "goodput to best baseline": roundTo(countGood("wigeonpulley") / Math.max(1, best)),
        "wasted prefill to least outstanding": roundTo(
            countWastedTokens("wigeonpulley") / Math.max(1, countWastedTokens("least outstanding")),
        ),
    };
};

/** Measures all policies in all scenarios. */
export const measurePolicies = async (isQuick: boolean): Promise<readonly Table[]> => {
    const seeds = isQuick ? [1] : [1, 2, 3];
    const rows: Row[] = [];
    const ratios: Row[] = [];
    for (const scenario of createScenarios(isQuick)) {
        const byPolicy = new Map<PolicyName, readonly PolicyResult[]>();
        for (const policy of policyNames) {
            const results: PolicyResult[] = [];
            for (const seed of seeds) {
                results.push(await measurePolicy({ policy, scenario, seed }));
            }
            byPolicy.set(policy, results);
            rows.push(createRow(scenario, policy, results));
        }
        ratios.push(createRatio(scenario, byPolicy));
    }
    return [
        { title: "Policies (good: whole, by the deadline, at the target pace; shed by tier)", rows },
        { title: "Ratios to the baselines of this run", rows: ratios },
    ];
};
