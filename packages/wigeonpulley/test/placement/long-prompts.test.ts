import { expect, test } from "vitest";
import {
    AnyVersionPolicy,
    createFirstEventRegression,
    DecayingLinearRegression,
    Evacuations,
    EventLogger,
    InstanceDirectory,
    InstanceLatencyModel,
    MemorySink,
    NoPeerLoads,
    type Placement,
    PlacementService,
    SeededRandom,
    VirtualTimerService,
} from "wigeonpulley";
import { createColdInstances } from "../fixtures/cold-instances.js";
import { createRateLimits } from "../fixtures/rate-limits.js";
import { createInstance } from "../fixtures/raw-endpoint.js";

/**
 * Long prompts next to open streams, on engines of which one is four times as slow: prefilling a long prompt there
 * would delay the events of its streams beyond the target.
 */
const GAP_TARGET_MS = 300;
const FAST_GAP_MS = 20;
const SLOW_GAP_MS = 80;
/** Prefill time of a token, in event gaps. */
const GAPS_PER_TOKEN = 8e-4;
const WARM_UP_ROUNDS = 40;

const createRequest = (promptTokens: number, now: number) => ({
    requestId: "a-1",
    service: "stock",
    route: "r-stock",
    rank: 0,
    isEngine: true,
    promptTokens,
    promptBlocks: [],
    expectedEvents: 50,
    remainingMs: 15_000,
    gapTargetMs: GAP_TARGET_MS,
    arrivedAt: now,
    earlierAttemptsMs: 0,
    waitUntil: now + 1_000,
    targetLatencyMs: 800,
    workspace: undefined,
    workspaceWeight: 1,
    workTokens: 1,
    allowedRegions: undefined,
    isCanary: false,
    excludedInstances: new Set<string>(),
});

const createEngines = (ids: readonly string[]) => {
    const timers = VirtualTimerService.create();
    const logger = EventLogger.create(MemorySink.create());
    const directory = InstanceDirectory.create(timers, logger);
    directory.applySnapshot(
        ids.map((id, index) => ({ id, instance: createInstance({ id, slots: 4, port: index + 1 }) })),
    );
    const service = PlacementService.create({
        timers,
        random: SeededRandom.create(1),
        logger,
        directory,
        evacuations: Evacuations.create(logger),
        peers: NoPeerLoads.create(),
        rateLimits: createRateLimits(timers, logger),
        coldInstances: createColdInstances(timers, logger, directory),
        versions: AnyVersionPolicy.create(),
        dataCentre: "south-1",
        region: "south",
        regions: { "south-1": "south" },
    });
    const acquire = async (promptTokens: number): Promise<Placement> => {
        const placed = service.acquire(createRequest(promptTokens, timers.now()), {
            subscribe: () => () => undefined,
        });
        return (await timers.runUntilSettled(placed, 2_000)).unwrap();
    };
    /** Serves one stream per engine at a time, so that placement learns the engines' latencies. */
    const warmUp = async (): Promise<void> => {
        for (let count = 0; count < WARM_UP_ROUNDS; count += 1) {
            const tokens = count % 4 * 2_000;
            const placements = await Promise.all(ids.map(() => acquire(tokens)));
            for (const placement of placements) {
                const gapMs = placement.instance.id === "slow" ? SLOW_GAP_MS : FAST_GAP_MS;
                await timers.advance(gapMs * (3 + tokens * GAPS_PER_TOKEN));
                placement.recordFirstEvent();
                await timers.advance(gapMs * 10);
                placement.recordEvents(11);
                placement.release("success", "");
            }
        }
    };
    return { timers, acquire, warmUp };
};

test("a long prompt waits for a faster engine while the slow one has open streams; a short one does not", async () => {
    const { acquire, warmUp } = createEngines(["slow", "fast"]);
    await warmUp();
    const streams = await Promise.all(Array.from({ length: 9 }, () => acquire(50)));
    streams.forEach(stream => stream.recordFirstEvent());
    const fast = streams.filter(({ instance }) => instance.id === "fast");
    expect(fast.length).toBeGreaterThan(4);
    const waiting = acquire(6_600);
    const short = acquire(300);
    expect((await short).instance.id).toBe("slow");
    fast[0]?.release("success", "");
    expect((await waiting).instance.id).toBe("fast");
});

test("a long prompt is served even when all engines are slow", async () => {
    const { acquire, warmUp } = createEngines(["slow"]);
    await warmUp();
    const stream = await acquire(50);
    stream.recordFirstEvent();
    expect((await acquire(6_600)).instance.id).toBe("slow");
});

test("the latency of a hardly used engine is predicted from its event gap and the service's other engines", () => {
    const regression = createFirstEventRegression();
    const knownEngine = InstanceLatencyModel.create(regression, () => undefined);
    knownEngine.observeEvents(20, 20 * FAST_GAP_MS);
    for (let count = 0; count < 200; count += 1) {
        const tokens = count % 5 * 1_500;
        knownEngine.observeFirstEvent(tokens, FAST_GAP_MS * (3 + tokens * GAPS_PER_TOKEN));
    }
    const reportedEngine = InstanceLatencyModel.create(regression, () => SLOW_GAP_MS);
    expect(reportedEngine.estimatePrefillMs(6_600)).toBeCloseTo(SLOW_GAP_MS * 6_600 * GAPS_PER_TOKEN, -1);
    expect(reportedEngine.estimateFirstEventMs(0)).toBeCloseTo(SLOW_GAP_MS * 3, -1);
});

test("the regression follows recent observations and never has a negative slope", () => {
    const regression = DecayingLinearRegression.create([[0, 100], [1_000, 50]]);
    expect(regression.computeSlope()).toBe(0);
    for (let count = 0; count < 500; count += 1) {
        regression.observe(count % 10 * 100, 5 + count % 10 * 2);
    }
    expect(regression.computeSlope()).toBeCloseTo(0.02, 3);
    expect(regression.estimate(500)).toBeCloseTo(15, 1);
});
