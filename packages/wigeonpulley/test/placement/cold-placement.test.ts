/** How requests are placed while instances are cold. */
import { expect, test } from "vitest";
import {
    AnyVersionPolicy,
    Evacuations,
    EventLogger,
    InstanceDirectory,
    MemorySink,
    NoPeerLoads,
    type PlacementRequest,
    PlacementService,
    SeededRandom,
    VirtualTimerService,
} from "wigeonpulley";
import { createColdInstances } from "../fixtures/cold-instances.js";
import { createRateLimits } from "../fixtures/rate-limits.js";
import { createInstance } from "../fixtures/raw-endpoint.js";

const COLD = createInstance({ id: "i-cold", bornMs: 1 });
const WARM = createInstance({ id: "i-warm", port: 2, slots: 4 });
/** Spacing of the requests of a VM without others, in milliseconds, and the time after which it sends any. */
const SPACING_MS = 367;
const SETTLED_MS = 10_000;
const WAIT_MS = 600;

const createRequest = (now: number): PlacementRequest => ({
    requestId: "r-1",
    service: "stock",
    route: "r-stock",
    rank: 0,
    isEngine: false,
    promptTokens: 0,
    promptBlocks: [],
    expectedEvents: 1,
    remainingMs: 5_000,
    gapTargetMs: undefined,
    arrivedAt: now,
    earlierAttemptsMs: 0,
    waitUntil: now + WAIT_MS,
    targetLatencyMs: 2_000,
    workspace: undefined,
    workspaceWeight: 1,
    workTokens: 1,
    allowedRegions: undefined,
    isCanary: false,
    excludedInstances: new Set<string>(),
});

const createPlacement = async () => {
    const timers = VirtualTimerService.create(1_000_000_000);
    const logger = EventLogger.create(MemorySink.create());
    const directory = InstanceDirectory.create(timers, logger);
    const coldInstances = createColdInstances(timers, logger, directory);
    const service = PlacementService.create({
        timers,
        random: SeededRandom.create(1),
        logger,
        directory,
        peers: NoPeerLoads.create(),
        rateLimits: createRateLimits(timers, logger),
        coldInstances,
        evacuations: Evacuations.create(logger),
        versions: AnyVersionPolicy.create(),
        dataCentre: "south-1",
        region: "south",
        regions: { "south-1": "south" },
    });
    coldInstances.applyServices([{ name: "stock", coldStartMs: 60_000, coldPerS: 11 }]);
    directory.applySnapshot([{ id: WARM.id, instance: WARM }]);
    await timers.advance(SETTLED_MS);
    const acquire = () =>
        service.acquire(createRequest(timers.now()), { subscribe: () => () => undefined }).then(result =>
            result.map(placement => ({ placement, placedAt: timers.now() }))
        );
    return { timers, directory, acquire };
};

test("requests go to a warm instance at once while the part of the cold one is used up", async () => {
    const { timers, directory, acquire } = await createPlacement();
    directory.applyChanges([{ id: COLD.id, instance: COLD }]);
    const startedAt = timers.now();
    const placed = await Promise.all([1, 2, 3, 4].map(acquire));
    expect(placed.map(result => result.unwrap().placement.instance.id)).toEqual(Array(4).fill(WARM.id));
    expect(timers.now()).toBe(startedAt);
});

test("a cold instance is used like a warm one when its part allows a request", async () => {
    const { timers, directory, acquire } = await createPlacement();
    directory.applyChanges([{ id: COLD.id, instance: COLD }]);
    await timers.advance(SPACING_MS);
    const placed = await Promise.all([1, 2, 3, 4].map(acquire));
    expect(placed.map(result => result.unwrap().placement.instance.id)).toContain(COLD.id);
});

test("requests without another instance wait for the part of the cold one, and are refused as for a full one", async () => {
    const { timers, directory, acquire } = await createPlacement();
    directory.applySnapshot([{ id: COLD.id, instance: COLD }]);
    const startedAt = timers.now();
    const waiting = Promise.all([1, 2, 3].map(acquire));
    const outcomes = await timers.runUntilSettled(waiting, 5_000);
    const placedAfterMs = outcomes.flatMap(outcome =>
        outcome.isOk() ? [outcome.value.placedAt - startedAt] : []
    );
    expect(placedAfterMs).toHaveLength(1);
    expect(placedAfterMs[0]).toBeGreaterThanOrEqual(SPACING_MS);
    expect(placedAfterMs[0]).toBeLessThan(SPACING_MS + 60);
    expect(outcomes.flatMap(outcome => outcome.isErr() ? [outcome.error.name] : []))
        .toEqual(["Overloaded", "Overloaded"]);
});

// Guards against a loop that computes without waiting while nothing can be placed.
test("the queue is checked at most every 50 ms while requests wait for a cold instance", async () => {
    const { timers, directory, acquire } = await createPlacement();
    directory.applySnapshot([{ id: COLD.id, instance: COLD }]);
    let scheduled = 0;
    const schedule = timers.schedule.bind(timers);
    timers.schedule = (delayMs, callback) => {
        scheduled += 1;
        return schedule(delayMs, callback);
    };
    const waiting = acquire();
    await timers.advance(300);
    // One timer limits the wait.
    expect(scheduled).toBeLessThanOrEqual(1 + 300 / 50 + 1);
    await timers.runUntilSettled(waiting, 5_000);
});
