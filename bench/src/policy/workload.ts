/** Engines and generated requests of the policy benchmark, modelled on two deployments. */
import type { EngineOptions } from "@wigeonpulley/stand-ins";
import { type Configuration, configurationSchema, hashKey, SeededRandom } from "wigeonpulley";
import type { VmLocation } from "../system.js";

/** Request to send. */
export interface Arrival {
    /** Time since the start of the run, in milliseconds. */
    readonly atMs: number;
    readonly vm: number;
    readonly tier: number;
    readonly prompt: string;
    readonly answerTokens: number;
}

/** Requests of one tier. */
interface TierWorkload {
    readonly name: string;
    readonly deadlineMs: number;
    readonly durable: boolean;
    /** Share of all requests. */
    readonly share: number;
    readonly minTokens: number;
    readonly maxTokens: number;
    /** Number of different prompt prefixes that the requests of the tier share. */
    readonly prefixCount: number;
    readonly prefixTokens: number;
}

/** Long quotes, short answers, stock checks and bulk summaries, from 10 to 1,000 tokens. */
export const tierWorkloads: readonly TierWorkload[] = [
    {
        name: "quotes",
        deadlineMs: 60_000,
        durable: true,
        share: 0.1,
        minTokens: 100,
        maxTokens: 1_000,
        prefixCount: 6,
        prefixTokens: 3_000,
    },
    {
        name: "answers",
        deadlineMs: 8_000,
        durable: false,
        share: 0.4,
        minTokens: 10,
        maxTokens: 60,
        prefixCount: 12,
        prefixTokens: 1_000,
    },
    {
        name: "checks",
        deadlineMs: 10_000,
        durable: false,
        share: 0.3,
        minTokens: 10,
        maxTokens: 100,
        prefixCount: 4,
        prefixTokens: 500,
    },
    {
        name: "summaries",
        deadlineMs: 60_000,
        durable: false,
        share: 0.2,
        minTokens: 100,
        maxTokens: 1_000,
        prefixCount: 8,
        prefixTokens: 2_000,
    },
];

const MODEL = "assessor-7b";
const VM_COUNT = 6;
const CHARACTERS_PER_TOKEN = 4;
const MILLISECONDS_PER_SECOND = 1_000;
const INTER_TOKEN_TARGET_MS = 69;

const dataCentres = [
    { region: "south", dataCentre: "south-1" },
    { region: "south", dataCentre: "south-2" },
    { region: "north", dataCentre: "north-1" },
] as const;

/** Duration of an empty step of each engine, in milliseconds. The engines differ by a factor of three. */
const baseStepsMs = [15, 20, 25, 30, 35, 40, 45, 20] as const;
const STEP_MS_PER_STREAM = 2;

/** Returns the locations of six VMs in three data centres. */
export const createPolicyVmLocations = (): readonly VmLocation[] =>
    Array.from({ length: VM_COUNT }, (unused, index) => ({
        name: `vm-${index}`,
        ...(dataCentres[index % dataCentres.length] ?? dataCentres[0]),
    }));

/** Creates a configuration with eight engines for one model. */
export const createPolicyConfiguration = (): Configuration =>
    configurationSchema.parse({
        tiers: tierWorkloads.map(({ name, deadlineMs, durable }) => ({ name, deadlineMs, durable })),
        models: [{ name: MODEL, versions: ["v1"] }],
        endpoints: baseStepsMs.map((unused, index) => ({
            name: `engine-${index}`,
            kind: "engine",
            url: "http://127.0.0.1:1",
            ...(dataCentres[index % dataCentres.length] ?? dataCentres[0]),
            serves: MODEL,
            concurrency: { initial: 8, maximum: 64 },
        })),
        callers: [{ name: "caller", workspace: "floor", keyHash: hashKey("key") }],
        selectors: tierWorkloads.map(({ name }) => ({
            name,
            request: { kind: name },
            tier: name,
            target: { serves: MODEL },
        })),
    });

/** Returns the speed and cache size of one engine. */
export const createEngineOptions = (endpoint: string): Partial<EngineOptions> => ({
    baseStepMs: baseStepsMs[Number(endpoint.split("-")[1])] ?? baseStepsMs[0],
    stepMsPerStream: STEP_MS_PER_STREAM,
    prefillMsPerToken: 0.05,
    cacheBlocks: 60,
});

/** Computes the tokens per second of all engines with the largest batches that meet the inter-token latency target. */
const computeTokensPerSecond = (): number =>
    baseStepsMs.reduce(
        (sum, baseMs) =>
            sum
            + (INTER_TOKEN_TARGET_MS - baseMs) / STEP_MS_PER_STREAM * MILLISECONDS_PER_SECOND
                / INTER_TOKEN_TARGET_MS,
        0,
    );

const chooseLogUniform = (random: SeededRandom, min: number, max: number): number =>
    Math.round(min * (max / min) ** random.pickFraction());

const chooseTier = (random: SeededRandom): number => {
    let remaining = random.pickFraction();
    const index = tierWorkloads.findIndex(({ share }) => {
        remaining -= share;
        return remaining < 0;
    });
    return index === -1 ? 0 : index;
};

const meanTokens = tierWorkloads.reduce(
    (sum, { share, minTokens, maxTokens }) =>
        sum + share * (maxTokens - minTokens) / Math.log(maxTokens / minTokens),
    0,
);

/** Generates arrivals as a Poisson process; `loadFactor` is the offered load as a multiple of the engines' capacity. */
export const createArrivals = (seed: number, loadFactor: number, durationMs: number): readonly Arrival[] => {
    const random = SeededRandom.create(seed);
    const requestsPerMs = loadFactor * computeTokensPerSecond() / meanTokens / MILLISECONDS_PER_SECOND;
    const arrivals: Arrival[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += -Math.log(1 - random.pickFraction()) / requestsPerMs) {
        const tier = chooseTier(random);
        const workload = tierWorkloads[tier];
        if (workload === undefined) {
            continue;
        }
        const topic = `${workload.name} ${random.pickInteger(workload.prefixCount)} `;
        const prefix = topic.repeat(Math.ceil(workload.prefixTokens * CHARACTERS_PER_TOKEN / topic.length));
        arrivals.push({
            atMs,
            vm: random.pickInteger(VM_COUNT),
            tier,
            prompt: prefix + String(random.pickInteger(1_000_000)),
            answerTokens: chooseLogUniform(random, workload.minTokens, workload.maxTokens),
        });
    }
    return arrivals;
};

/** Name of the model. */
export const POLICY_MODEL = MODEL;
