/** Guards against limits that are learned too late, wrongly or without need, compared with an oracle and without the part. */
import { describe, expect, test } from "vitest";
import {
    type InstanceBehaviour,
    type SimulatedInstance,
    simulateSlowingLoad,
    type SlowingLoad,
} from "../fixtures/slowing-instances.js";

type Case = Omit<SlowingLoad, "mode" | "seed">;

const createSlowing = (paceMs: number, slots: number, knee: number): SimulatedInstance => ({
    slots,
    getBehaviour: () => ({ paceMs, knee }),
});
const createRamp = (perSecond: number) => (now: number): number => now < 10_000 ? perSecond / 2 : perSecond;
const repeat = (count: number, instance: SimulatedInstance): readonly SimulatedInstance[] =>
    Array.from({ length: count }, () => instance);

const ENGINES = { vms: 4, isEngine: true, durationMs: 60_000, targetMs: 4_000 };
const PLAIN = { vms: 4, isEngine: false, durationMs: 60_000, targetMs: 2_000 };
const SEEDS = [1, 2, 3];

const sumOnTime = async (load: Case, mode: SlowingLoad["mode"], seeds = SEEDS): Promise<number> => {
    let onTime = 0;
    for (const seed of seeds) {
        onTime += (await simulateSlowingLoad({ ...load, seed, mode })).onTime;
    }
    return onTime;
};

describe("instances that slow down before their slots are full", () => {
    const cases: readonly (readonly [name: string, load: Case, ofOracle: number, ofNone: number])[] = [
        [
            "half of the engines from 3 of 6 slots",
            {
                ...ENGINES,
                instances: [...repeat(2, createSlowing(25, 6, 3)), ...repeat(2, createSlowing(25, 6, 6))],
                getRequestsPerSecond: createRamp(14),
            },
            0.95,
            1.1,
        ],
        [
            "all engines from 3 of 6 slots",
            {
                ...ENGINES,
                instances: repeat(4, createSlowing(25, 6, 3)),
                getRequestsPerSecond: createRamp(9),
            },
            0.75,
            2,
        ],
        [
            "engines from different points",
            {
                ...ENGINES,
                instances: [
                    createSlowing(25, 6, 2),
                    createSlowing(25, 8, 4),
                    createSlowing(25, 10, 5),
                    createSlowing(25, 6, 6),
                ],
                getRequestsPerSecond: createRamp(14),
            },
            0.9,
            1.5,
        ],
        [
            "plain instances from 3 of 6",
            {
                ...PLAIN,
                instances: [...repeat(3, createSlowing(400, 6, 3)), createSlowing(400, 6, 6)],
                getRequestsPerSecond: createRamp(30),
            },
            0.85,
            1.2,
        ],
    ];

    test.each(cases)(
        "%s cost a bounded share of what an oracle serves",
        async (name, load, ofOracle, ofNone) => {
            const [oracle, off, learned] = [
                await sumOnTime(load, "oracle"),
                await sumOnTime(load, "off"),
                await sumOnTime(load, "learned"),
            ];
            console.info(`${name}: on time ${learned}, by the oracle ${oracle}, without the part ${off}`);
            expect(learned).toBeGreaterThan(oracle * ofOracle);
            expect(learned).toBeGreaterThan(off * ofNone);
        },
    );

    test("an engine that slows from 30 s on is limited, and no longer some time after it recovered", async () => {
        const behave = (now: number): InstanceBehaviour => ({
            paceMs: 25,
            knee: now > 30_000 && now < 60_000 ? 3 : 6,
        });
        const { steps } = await simulateSlowingLoad({
            ...ENGINES,
            seed: 1,
            mode: "learned",
            durationMs: 140_000,
            instances: [{ slots: 6, getBehaviour: behave }, { slots: 6, getBehaviour: behave }],
            getRequestsPerSecond: now => now < 10_000 ? 3 : 6.5,
        });
        console.info(steps.map(({ at, instance, to }) => `${at / 1_000} s ${instance} ${to}`).join(", "));
        expect(steps.filter(({ at }) => at < 30_000)).toEqual([]);
        expect(steps.some(({ at, to }) => at < 50_000 && to <= 4)).toBe(true);
        ["i-0", "i-1"].forEach(instance =>
            expect(steps.findLast(step => step.instance === instance)?.to ?? 6).toBeGreaterThanOrEqual(5)
        );
    });
});

describe("where no instance slows early, the decisions are the same as without the part", () => {
    const cases: readonly (readonly [name: string, load: Case])[] = [
        ["engines with long prompts, long and failing requests", {
            ...ENGINES,
            instances: repeat(3, createSlowing(25, 6, 6)),
            getRequestsPerSecond: createRamp(10),
            longPromptShare: 0.1,
            longRequestShare: 0.03,
            failureShare: 0.05,
        }],
        ["engines of different sizes whose pace falls by a tenth with each request", {
            ...ENGINES,
            instances: [6, 8, 10].map(slots => ({
                slots,
                getBehaviour: () => ({ paceMs: 25, knee: slots, shareOfOthers: 0.1 }),
            })),
            getRequestsPerSecond: createRamp(14),
        }],
        ["engines of different speed under overload", {
            ...ENGINES,
            instances: [createSlowing(15, 6, 6), createSlowing(25, 6, 6), createSlowing(40, 6, 6)],
            getRequestsPerSecond: createRamp(22),
        }],
        ["plain instances whose pace stays the same, with some long requests", {
            ...PLAIN,
            instances: repeat(3, {
                slots: 6,
                getBehaviour: () => ({ paceMs: 400, knee: 6, shareOfOthers: 0 }),
            }),
            getRequestsPerSecond: createRamp(36),
            longRequestShare: 0.02,
        }],
        ["plain instances with some long requests", {
            ...PLAIN,
            instances: repeat(3, createSlowing(400, 6, 6)),
            getRequestsPerSecond: createRamp(36),
            longRequestShare: 0.02,
        }],
    ];

    test.each(cases)("%s", async (name, load) => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const off = await simulateSlowingLoad({ ...load, seed, mode: "off" });
            const learned = await simulateSlowingLoad({ ...load, seed, mode: "learned" });
            expect(off.decisions.length, name).toBeGreaterThan(100);
            expect(learned.decisions, `${name}, seed ${seed}`).toEqual(off.decisions);
        }
    });

    test("an instance that becomes slower altogether costs no response", async () => {
        const load: Case = {
            ...ENGINES,
            targetMs: 8_000,
            instances: [
                { slots: 6, getBehaviour: now => ({ paceMs: now > 25_000 ? 60 : 25, knee: 6 }) },
                ...repeat(2, createSlowing(25, 6, 6)),
            ],
            getRequestsPerSecond: createRamp(8),
        };
        expect(await sumOnTime(load, "learned")).toBe(await sumOnTime(load, "off"));
    });
});

test("a plain instance that names twice the slots that it has costs no response", async () => {
    const lying: SimulatedInstance = { ...createSlowing(400, 6, 6), namedSlots: 12 };
    const load: Case = {
        ...PLAIN,
        instances: [lying, lying, createSlowing(400, 6, 6)],
        getRequestsPerSecond: createRamp(34),
    };
    expect(await sumOnTime(load, "learned")).toBeGreaterThanOrEqual(await sumOnTime(load, "off") * 0.99);
});
