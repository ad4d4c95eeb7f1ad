/** Engines and requests of the policy benchmark, drawn from both deployments of the brief. */
import type { EngineOptions } from "@wigeonpulley/stand-ins";
import { type Configuration, configurationSchema, hashKey, SeededRandom } from "wigeonpulley";
import type { VmPlace } from "../system.js";

/** One request to send. */
export interface Arrival {
    /** Time after the start, in milliseconds. */
    readonly at: number;
    readonly vm: number;
    readonly tier: number;
    readonly prompt: string;
    readonly answerTokens: number;
}

/** One tier of the workload. */
interface TierLoad {
    readonly name: string;
    readonly deadlineMs: number;
    readonly durable: boolean;
    /** Part of all requests. */
    readonly share: number;
    readonly minTokens: number;
    readonly maxTokens: number;
    /** Shared prompts that requests of the tier begin with. */
    readonly prefixes: number;
    readonly prefixTokens: number;
}

/** Large quotes and reports, small answers, stock checks, and bulk summaries; lengths differ a hundredfold. */
export const tierLoads: readonly TierLoad[] = [
    {
        name: "quotes",
        deadlineMs: 60_000,
        durable: true,
        share: 0.1,
        minTokens: 100,
        maxTokens: 1_000,
        prefixes: 6,
        prefixTokens: 3_000,
    },
    {
        name: "answers",
        deadlineMs: 8_000,
        durable: false,
        share: 0.4,
        minTokens: 10,
        maxTokens: 60,
        prefixes: 12,
        prefixTokens: 1_000,
    },
    {
        name: "checks",
        deadlineMs: 10_000,
        durable: false,
        share: 0.3,
        minTokens: 10,
        maxTokens: 100,
        prefixes: 4,
        prefixTokens: 500,
    },
    {
        name: "summaries",
        deadlineMs: 60_000,
        durable: false,
        share: 0.2,
        minTokens: 100,
        maxTokens: 1_000,
        prefixes: 8,
        prefixTokens: 2_000,
    },
];

const MODEL = "assessor-7b";
const VM_COUNT = 6;
const CHARACTERS_PER_TOKEN = 4;
const MILLISECONDS_PER_SECOND = 1_000;
const STEP_TARGET_MS = 69;

const dataCentres = [
    { region: "south", dataCentre: "south-1" },
    { region: "south", dataCentre: "south-2" },
    { region: "north", dataCentre: "north-1" },
] as const;

/** Time of an empty step of each engine, in milliseconds; unlike by a factor of three. */
const baseSteps = [15, 20, 25, 30, 35, 40, 45, 20] as const;
const STEP_MS_PER_STREAM = 2;

/** Six VMs in three data centres. */
export const createPolicyPlaces = (): readonly VmPlace[] =>
    Array.from({ length: VM_COUNT }, (unused, index) => ({
        name: `vm-${index}`,
        ...(dataCentres[index % dataCentres.length] ?? dataCentres[0]),
    }));

/** Eight engines for one model. */
export const createPolicyConfiguration = (): Configuration =>
    configurationSchema.parse({
        tiers: tierLoads.map(({ name, deadlineMs, durable }) => ({ name, deadlineMs, durable })),
        models: [{ name: MODEL, versions: ["v1"] }],
        endpoints: baseSteps.map((unused, index) => ({
            name: `engine-${index}`,
            kind: "engine",
            url: "http://127.0.0.1:1",
            ...(dataCentres[index % dataCentres.length] ?? dataCentres[0]),
            serves: MODEL,
            concurrency: { initial: 8, maximum: 64 },
        })),
        callers: [{ name: "caller", workspace: "floor", keyHash: hashKey("key") }],
        selectors: tierLoads.map(({ name }) => ({
            name,
            request: { kind: name },
            tier: name,
            target: { serves: MODEL },
        })),
    });

/** Behaviour of one engine. */
export const createEngineOptions = (endpoint: string): Partial<EngineOptions> => ({
    baseStepMs: baseSteps[Number(endpoint.split("-")[1])] ?? baseSteps[0],
    stepMsPerStream: STEP_MS_PER_STREAM,
    prefillMsPerToken: 0.05,
    cacheBlocks: 60,
});

/** Tokens a second that all engines generate with every stream at the target pace. */
const countCapacity = (): number =>
    baseSteps.reduce(
        (sum, baseMs) =>
            sum + (STEP_TARGET_MS - baseMs) / STEP_MS_PER_STREAM * MILLISECONDS_PER_SECOND / STEP_TARGET_MS,
        0,
    );

const drawLogUniform = (random: SeededRandom, low: number, high: number): number =>
    Math.round(low * (high / low) ** random.pickFraction());

const pickTier = (random: SeededRandom): number => {
    let rest = random.pickFraction();
    const index = tierLoads.findIndex(({ share }) => {
        rest -= share;
        return rest < 0;
    });
    return index === -1 ? 0 : index;
};

const meanTokens = tierLoads.reduce(
    (sum, { share, minTokens, maxTokens }) =>
        sum + share * (maxTokens - minTokens) / Math.log(maxTokens / minTokens),
    0,
);

/** Requests that arrive at random at a factor of the capacity. */
export const createArrivals = (seed: number, factor: number, durationMs: number): readonly Arrival[] => {
    const random = SeededRandom.create(seed);
    const perMillisecond = factor * countCapacity() / meanTokens / MILLISECONDS_PER_SECOND;
    const arrivals: Arrival[] = [];
    for (let at = 0; at < durationMs; at += -Math.log(1 - random.pickFraction()) / perMillisecond) {
        const tier = pickTier(random);
        const load = tierLoads[tier];
        if (load === undefined) {
            continue;
        }
        const topic = `${load.name} ${random.pickInteger(load.prefixes)} `;
        const prefix = topic.repeat(Math.ceil(load.prefixTokens * CHARACTERS_PER_TOKEN / topic.length));
        arrivals.push({
            at,
            vm: random.pickInteger(VM_COUNT),
            tier,
            prompt: prefix + String(random.pickInteger(1_000_000)),
            answerTokens: drawLogUniform(random, load.minTokens, load.maxTokens),
        });
    }
    return arrivals;
};

/** Name of the model. */
export const POLICY_MODEL = MODEL;
