/** The decision to queue or to refuse at once, and the loads above capacity that it is for. */
import { fc, test as propertyTest } from "@fast-check/vitest";
import { describe, expect, test } from "vitest";
import {
    AnyVersionPolicy,
    computeForecastRetryDelayMs,
    Evacuations,
    type EventDetails,
    EventLogger,
    forecastAdmission,
    type ForecastInput,
    InstanceDirectory,
    MemorySink,
    NoPeerLoads,
    type Placement,
    PlacementService,
    SeededRandom,
    SlotTurnover,
    VirtualTimerService,
} from "wigeonpulley";
import { createColdInstances } from "../fixtures/cold-instances.js";
import { UNIT_PROPERTY } from "../fixtures/properties.js";
import { createRateLimits } from "../fixtures/rate-limits.js";
import { createInstance } from "../fixtures/raw-endpoint.js";
import {
    computeShare,
    type SharedLoad,
    type SharedOutcome,
    type SharedProfile,
    simulateSharedLoad,
} from "../fixtures/shared-load.js";

/** 100 requests ahead at 50 slots a second: a wait of 2 s for a request that must start within 0.6 s. */
const HOPELESS: ForecastInput = {
    now: 1_000,
    latestOnTimeStartAt: 1_600,
    waitUntil: 2_120,
    aheadOnTime: 100,
    aheadLate: 100,
    overtakingOnTime: 0,
    overtakingLate: 0,
    freedPerS: 50,
    isIdle: false,
    isWorseRankWaiting: false,
};

describe("forecast", () => {
    test("a request that can't start in time is refused, with the expected wait and the time until there is room", () => {
        expect(forecastAdmission(HOPELESS)).toEqual({ waitMs: 2_020, roomInMs: 1_420, freedPerS: 50 });
    });

    test.each([
        ["it can start on time", { aheadOnTime: 20 }],
        ["it would be late, but can start within its wait", { aheadOnTime: 100, aheadLate: 40 }],
        ["the rate of freed slots is not known", { freedPerS: undefined }],
        ["under half of the slots are in use and nothing waits", { isIdle: true }],
        ["a request of a worse rank waits", { isWorseRankWaiting: true }],
    ])("a request is queued if %s", (name, fields) => {
        expect(forecastAdmission({ ...HOPELESS, ...fields })).toBeUndefined();
    });

    test("a late request is refused when those on time take the slots that are freed", () => {
        const late = { ...HOPELESS, latestOnTimeStartAt: 500, aheadLate: 20 };
        expect(forecastAdmission(late)).toBeUndefined();
        expect(forecastAdmission({ ...late, overtakingLate: 0.9 })?.waitMs).toBeCloseTo(4_200, 0);
    });
});

describe("turnover", () => {
    const createTurnover = (): SlotTurnover => {
        const turnover = SlotTurnover.create();
        turnover.recordCapacity(2, 20, 0);
        Array.from({ length: 10 }).forEach(() => turnover.recordSlotTime(500, 0));
        return turnover;
    };

    test("slots are freed at the rate of requests in flight by their slot time", () => {
        expect(createTurnover().estimateFreedPerS(20, 0)).toBeCloseTo(40, 6);
    });

    test("the rate is unknown with few observations and after a change of the instances", () => {
        expect(SlotTurnover.create().estimateFreedPerS(20, 0)).toBeUndefined();
        const turnover = createTurnover();
        turnover.recordCapacity(1, 10, 100);
        expect(turnover.estimateFreedPerS(20, 1_000)).toBeUndefined();
        Array.from({ length: 10 }).forEach(() => turnover.recordSlotTime(500, 2_600));
        expect(turnover.estimateFreedPerS(20, 2_600)).toBeDefined();
    });

    test("requests overtake only once some have waited for a while", () => {
        const turnover = createTurnover();
        turnover.recordWaiting(true, 0);
        Array.from({ length: 6 }).forEach((unused, index) =>
            turnover.recordStart(index < 3 ? 0 : 1, 7, true, 1_000)
        );
        const isBetter = (rank: number): boolean => rank === 0;
        expect(turnover.computeOvertakingShare(isBetter, 900)).toBe(0);
        expect(turnover.computeOvertakingShare(isBetter, 1_000)).toBeCloseTo(0.5, 6);
        turnover.recordWaiting(false, 1_100);
        expect(turnover.computeOvertakingShare(isBetter, 1_200)).toBe(0);
    });
});

propertyTest.prop([fc.nat(30_000), fc.nat(30_000), fc.nat(1_000)], UNIT_PROPERTY)(
    "a caller is told no more than a third of its time, and less when it was refused before",
    (remainingMs, roomInMs, seed) => {
        const [first, returned] = [false, true].map(hasReturned =>
            computeForecastRetryDelayMs(SeededRandom.create(seed), remainingMs, roomInMs, hasReturned)
        );
        expect(first).toBeLessThanOrEqual(remainingMs / 3);
        expect(returned).toBeLessThanOrEqual(first ?? 0);
    },
);

const TARGET_MS = 800;

const createService = () => {
    const timers = VirtualTimerService.create();
    const sink = MemorySink.create();
    const logger = EventLogger.create(sink);
    const directory = InstanceDirectory.create(timers, logger);
    directory.applySnapshot([{ id: "i-1", instance: createInstance({ id: "i-1", slots: 4 }) }]);
    const service = PlacementService.create({
        timers,
        random: SeededRandom.create(1),
        logger,
        directory,
        peers: NoPeerLoads.create(),
        rateLimits: createRateLimits(timers, logger),
        coldInstances: createColdInstances(timers, logger, directory),
        evacuations: Evacuations.create(logger),
        versions: AnyVersionPolicy.create(),
        dataCentre: "south-1",
        region: "south",
        regions: { "south-1": "south" },
    });
    const outcomes: string[] = [];
    const acquire = async (
        name: string,
        fields: Partial<Parameters<PlacementService["acquire"]>[0]> = {},
    ): Promise<Placement | undefined> => {
        const now = timers.now();
        const placed = await service.acquire({
            requestId: name,
            service: "stock",
            route: "r-stock",
            workspace: "w",
            workspaceWeight: 1,
            workTokens: 1,
            allowedRegions: undefined,
            rank: 0,
            isEngine: false,
            promptTokens: 0,
            promptBlocks: [],
            expectedEvents: 1,
            remainingMs: 15_000,
            gapTargetMs: undefined,
            arrivedAt: now,
            earlierAttemptsMs: 0,
            waitUntil: now + TARGET_MS * 1.4,
            targetLatencyMs: TARGET_MS,
            isCanary: false,
            excludedInstances: new Set(),
            ...fields,
        }, { subscribe: () => () => undefined });
        outcomes.push(`${name} ${placed.isOk() ? "placed" : "refused"} ${timers.now()}`);
        return placed.unwrapOr(undefined);
    };
    /** Serves requests one after the other, so that slot times of 100 ms are known. */
    const warmUp = async (): Promise<void> => {
        for (let count = 0; count < 20; count += 1) {
            const placement = await acquire("warm-up");
            await timers.advance(100);
            placement?.release("success", "");
        }
        outcomes.length = 0;
    };
    const listNames = (result: string): readonly string[] =>
        outcomes.filter(line => line.includes(` ${result} `)).map(line => line.split(" ")[0] ?? "");
    return { timers, sink, directory, acquire, warmUp, listNames };
};

const sendMany = async (
    { timers, acquire }: ReturnType<typeof createService>,
    count: number,
): Promise<void> => {
    Array.from({ length: count }).forEach((unused, index) => void acquire(`r-${index}`));
    await timers.flushPromises();
};

describe("placement", () => {
    test("requests that can't start in time are refused at their arrival, and the log states the forecast", async () => {
        const service = createService();
        await service.warmUp();
        await sendMany(service, 200);
        const refused = service.listNames("refused");
        expect(refused.length).toBeGreaterThan(100);
        expect(refused.length).toBeLessThan(180);
        const event = service.sink.events.find(({ name }) => name === "RequestNotPlaced");
        expect(event?.details).toMatchObject({ waitedMs: 0, freedPerS: 50 });
        expect((event?.details as EventDetails<"RequestNotPlaced">).forecastMs).toBeGreaterThan(TARGET_MS);
    });

    test("after a start, and when an instance has just been added, requests are queued", async () => {
        const fresh = createService();
        await sendMany(fresh, 200);
        expect(fresh.listNames("refused")).toEqual([]);
        const changed = createService();
        await changed.warmUp();
        await sendMany(changed, 20);
        const instance = createInstance({ id: "i-2", slots: 4, port: 2 });
        changed.directory.applyChanges([{ id: "i-2", instance }]);
        await sendMany(changed, 200);
        expect(changed.listNames("refused")).toEqual([]);
    });

    test("a request that came back goes ahead of new ones", async () => {
        const { timers, acquire, listNames } = createService();
        const placements = await Promise.all([..."abcde"].map(name => acquire(name)));
        const patient = { targetLatencyMs: 20_000, waitUntil: 20_000 };
        void acquire("new", patient);
        void acquire("returned", { ...patient, earlierAttemptsMs: 3_000 });
        await timers.advance(10);
        placements[0]?.release("success", "");
        await timers.advance(10);
        expect(listNames("placed")).toContain("returned");
        expect(listNames("placed")).not.toContain("new");
    });
});

/** Requests that 10 instances with 10 slots can take in a second. */
const CAPACITY_PER_S = 100;

const createProfile = (fields: Partial<SharedProfile>): SharedProfile => ({
    workspace: "w",
    weight: 1_000,
    rank: 1,
    targetMs: TARGET_MS,
    deadlineMs: 15_000,
    workTokens: 500,
    slotHoldMs: 1_000,
    refused: "follows",
    computeRatePerS: () => CAPACITY_PER_S,
    ...fields,
});

const createLoad = (profiles: readonly SharedProfile[], fields: Partial<SharedLoad> = {}): SharedLoad => ({
    vms: 6,
    instances: 10,
    slots: 10,
    durationMs: 30_000,
    seed: 7,
    reportAgeMs: [100, 400],
    profiles,
    ...fields,
});

const computeJump = (now: number): number => CAPACITY_PER_S * (now > 5_000 && now < 20_000 ? 1.6 : 0.7);

const WAVE_PERIOD_MS = 15_000;
const WAVE_SWING = 0.55;
const WAVE_MEAN = 1.15;

/** A wave that reaches three data centres one after the other. */
const createWave = (): SharedLoad =>
    createLoad(
        [0, 1, 2].map(dataCentre =>
            createProfile({
                dataCentre,
                computeRatePerS: now =>
                    CAPACITY_PER_S / 3 * WAVE_MEAN
                    * (1 + WAVE_SWING * Math.sin(2 * Math.PI * (now / WAVE_PERIOD_MS + dataCentre / 3))),
            })
        ),
        { dataCentres: 3 },
    );

const createHot = (): SharedLoad =>
    createLoad(Array.from({ length: 16 }, (unused, index) =>
        createProfile({
            workspace: `w-${index}`,
            computeRatePerS: now => CAPACITY_PER_S * 0.06 * (index === 0 && now > 5_000 ? 7 : 1),
        })));

/** Share of the attempts that were refused after they had waited. */
const computeRefusedAfterWait = ({ results, refusals }: SharedOutcome): number =>
    refusals.filter(({ waitedMs }) => waitedMs > 100).length
    / results.reduce((sum, { attempts }) => sum + attempts, 0);

// Guards against requests that are held for most of their time and then refused. The comment of each load gives the shares
// without the forecast.
describe("loads above capacity", () => {
    test.each([
        // 0.722 on time, 0.152 refused after a wait
        ["a wave", createWave(), 0.75, 0.11],
        // 0.551 on time, 0.356 refused after a wait
        ["a sudden jump", createLoad([createProfile({ computeRatePerS: computeJump })]), 0.58, 0.15],
        // 0.724 on time, 0.322 refused after a wait
        ["a hot workspace", createHot(), 0.7, 0.1],
        // 0.355 on time, 0.755 refused after a wait
        [
            "callers that repeat at once",
            createLoad([createProfile({ refused: "repeats", computeRatePerS: computeJump })]),
            0.43,
            0.08,
        ],
    ])("%s: few requests are refused after a wait", async (name, load, minOnTime, maxRefusedAfterWait) => {
        const outcome = await simulateSharedLoad(load);
        expect(computeShare(outcome.results, "on-time")).toBeGreaterThan(minOnTime);
        expect(computeRefusedAfterWait(outcome)).toBeLessThan(maxRefusedAfterWait);
        expect(outcome.idleShare).toBeLessThan(0.01);
        outcome.refusals.forEach(({ retryAfterMs, remainingMs }) =>
            expect(retryAfterMs).toBeLessThanOrEqual(remainingMs / 3)
        );
    });

    test("callers that ignore Retry-After get fewer answers on time than those that follow it", async () => {
        const computeHalf = (now: number): number => computeJump(now) / 2;
        const { results } = await simulateSharedLoad(createLoad([
            createProfile({ computeRatePerS: computeHalf }),
            createProfile({ workspace: "r", refused: "repeats", computeRatePerS: computeHalf }),
        ]));
        const [following, repeating] = ["w", "r"].map(workspace =>
            results.filter(result => result.workspace === workspace)
        );
        expect(computeShare(following ?? [], "on-time")).toBeGreaterThan(
            computeShare(repeating ?? [], "on-time") + 0.05,
        );
    });

    test("nothing is refused below capacity", async () => {
        const { refusals } = await simulateSharedLoad(
            createLoad([createProfile({ computeRatePerS: () => CAPACITY_PER_S * 0.8 })]),
        );
        expect(refusals).toHaveLength(0);
    });

    test("no request is refused at its arrival while one of a worse rank waits", async () => {
        const { refusals } = await simulateSharedLoad(createLoad(
            [0, 1].map(rank =>
                createProfile({ rank, computeRatePerS: now => computeJump(now) * (rank === 0 ? 0.8 : 0.3) })
            ),
            { vms: 1, reportAgeMs: [0, 0] },
        ));
        const atArrival = refusals.filter(({ rank, waitedMs }) => rank === 0 && waitedMs === 0);
        expect(atArrival.length).toBeGreaterThan(0);
        expect(atArrival.filter(({ worseWaiting }) => worseWaiting > 0)).toEqual([]);
    });
});
