/** Compares the policies over several scenarios and seeds. */
import { roundTo, type Row, type Table } from "../table.js";
import { measurePolicy, type Outcome, type PolicyName, policyNames, type Scenario } from "./measure.js";
import { tierLoads } from "./workload.js";

const QUICK_SECONDS = 12;
const FULL_SECONDS = 40;
const MILLISECONDS_PER_SECOND = 1_000;
const PERCENT = 100;

const createScenarios = (isQuick: boolean): readonly Scenario[] => {
    const durationMs = (isQuick ? QUICK_SECONDS : FULL_SECONDS) * MILLISECONDS_PER_SECOND;
    const all: readonly Scenario[] = [
        { name: "load 0.7", factor: 0.7, durationMs },
        { name: "load 1.5", factor: 1.5, durationMs },
        { name: "load 3", factor: 3, durationMs },
        { name: "load 0.9, slow engine", factor: 0.9, durationMs, slowEngine: "engine-0" },
        { name: "load 0.9, VM killed", factor: 0.9, durationMs, killedVm: 0 },
    ];
    return isQuick ? all.slice(0, 2) : all;
};

const sum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

const addLists = (
    outcomes: readonly Outcome[],
    read: (outcome: Outcome) => readonly number[],
): readonly number[] =>
    tierLoads.map((unused, tier) => sum(outcomes.map(outcome => read(outcome)[tier] ?? 0)));

/** Share of offered requests answered well, in percent, with the spread over seeds. */
const describeGoodput = (outcomes: readonly Outcome[]): string => {
    const shares = outcomes.map(({ good, offered }) => PERCENT * sum(good) / sum(offered));
    return shares.length === 1
        ? `${roundTo(shares[0] ?? 0)}`
        : `${roundTo(sum(shares) / shares.length)} (${roundTo(Math.min(...shares))}–${
            roundTo(Math.max(...shares))
        })`;
};

const createRow = (scenario: Scenario, policy: PolicyName, outcomes: readonly Outcome[]): Row => {
    const offered = addLists(outcomes, outcome => outcome.offered);
    const good = addLists(outcomes, outcome => outcome.good);
    const byTier = Object.fromEntries(tierLoads.map(({ name }, tier) => [
        `${name} %`,
        roundTo(PERCENT * (good[tier] ?? 0) / Math.max(1, offered[tier] ?? 0)),
    ]));
    return {
        scenario: scenario.name,
        policy,
        "good %": describeGoodput(outcomes),
        ...byTier,
        shed: addLists(outcomes, outcome => outcome.shed).join("/"),
        "late/late first/slow pace": ["late", "late first token", "slow pace"]
            .map(fault => sum(outcomes.map(outcome => outcome.faults.get(fault) ?? 0)))
            .join("/"),
        "unfair sheds": sum(outcomes.map(outcome => outcome.unfairSheds)),
        "wasted prefill k": Math.round(sum(outcomes.map(outcome => outcome.wastedPrefill)) / 1_000),
        "cross-region MB": roundTo(sum(outcomes.map(outcome => outcome.crossBytes)) / 1_000_000),
        "processor s": roundTo(sum(outcomes.map(outcome => outcome.processorMs)) / MILLISECONDS_PER_SECOND),
    };
};

/** Ratio of our total goodput to the best baseline's, and of our wasted prefill to least outstanding's. */
const createRatio = (scenario: Scenario, byPolicy: ReadonlyMap<PolicyName, readonly Outcome[]>): Row => {
    const countGood = (policy: PolicyName): number =>
        sum((byPolicy.get(policy) ?? []).map(outcome => sum(outcome.good)));
    const countWaste = (policy: PolicyName): number =>
        sum((byPolicy.get(policy) ?? []).map(outcome => outcome.wastedPrefill));
    const best = Math.max(...policyNames.slice(1).map(countGood));
    return {
        scenario: scenario.name,
        "goodput to best baseline": roundTo(countGood("wigeonpulley") / Math.max(1, best)),
        "wasted prefill to least outstanding": roundTo(
            countWaste("wigeonpulley") / Math.max(1, countWaste("least outstanding")),
        ),
    };
};

/** Measures all scenarios. */
export const measurePolicies = async (isQuick: boolean): Promise<readonly Table[]> => {
    const seeds = isQuick ? [1] : [1, 2, 3];
    const rows: Row[] = [];
    const ratios: Row[] = [];
    for (const scenario of createScenarios(isQuick)) {
        const byPolicy = new Map<PolicyName, readonly Outcome[]>();
        for (const policy of policyNames) {
            const outcomes: Outcome[] = [];
            for (const seed of seeds) {
                outcomes.push(await measurePolicy({ policy, scenario, seed }));
            }
            byPolicy.set(policy, outcomes);
            rows.push(createRow(scenario, policy, outcomes));
        }
        ratios.push(createRatio(scenario, byPolicy));
    }
    return [
        { title: "Policies (good: whole, by the deadline, at the target pace; shed by tier)", rows },
        { title: "Ratios to the baselines of this run", rows: ratios },
    ];
};
