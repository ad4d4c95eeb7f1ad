/** A VM that was suspended acts on orders only after it has read them again. */
import { expect, test } from "vitest";
import {
    EventLogger,
    MemorySink,
    RolloutService,
    RolloutStateStore,
    SeededRandom,
    VirtualTimerService,
} from "wigeonpulley";
import { FaultInjectingStore, StoredTopic } from "../fixtures/fault-injecting-store.js";
import { JsonStatusCodec } from "../fixtures/json-status-codec.js";

const DURATION_MS = 12_000;
const createOrder = (version: string) => ({ service: "stock", version, durationMs: DURATION_MS });

const createSystem = () => {
    const timers = VirtualTimerService.create();
    const topic = StoredTopic.create();
    const codec = JsonStatusCodec.create();
    const store = FaultInjectingStore.create({
        topic,
        simulationClock: timers,
        timers,
        getCondition: () => ({ requestDelayMs: 4, responseDelayMs: 4, mode: "well" }),
    });
    const createService = (catchUpWithOrders: () => Promise<boolean>): RolloutService =>
        RolloutService.create({
            timers,
            random: SeededRandom.create(1),
            logger: EventLogger.create(MemorySink.create()),
            stateStore: RolloutStateStore.create(store, codec),
            catchUpWithOrders,
            getWriterIndex: () => 0,
            countVms: () => 3,
            getExposure: () => ({ share: 0.1, slack: 50 }),
        });
    const listStates = (): readonly string[] =>
        topic.records.map(record => {
            const status = codec.decodeStatus(record);
            return `${status?.version ?? ""} ${status?.state ?? ""}`;
        });
    return { timers, createService, listStates, states: RolloutStateStore.create(store, codec) };
};

// Guards against EXPOSURE: a VM that had been frozen completed a version that the others had rolled back.
test("a VM that missed a later order writes no state of the order before", async () => {
    const { timers, createService, listStates, states } = createSystem();
    let orders = ["v2"];
    const service = createService(() => {
        orders.forEach(version => service.applyOrder(createOrder(version)));
        return Promise.resolve(true);
    });
    service.applyOrder(createOrder("v2"));
    await timers.advance(2_000);
    expect(listStates()).toEqual(["v2 active"]);
    // The others roll v2 back and begin with v3; this VM reads nothing of it.
    for (const [version, state] of [["v2", "rolled-back"], ["v3", "active"]] as const) {
        void states.write({ service: "stock", version, state }, () => Promise.resolve(true));
        await timers.advance(100);
    }
    orders = ["v3"];
    await timers.advance(DURATION_MS);
    service.stop();
    expect(listStates().slice(0, 3)).toEqual(["v2 active", "v2 rolled-back", "v3 active"]);
    expect(listStates().filter(state => state.startsWith("v2"))).toHaveLength(2);
});

test("a VM that can't read the orders writes no state", async () => {
    const { timers, createService, listStates } = createSystem();
    const service = createService(() => Promise.resolve(false));
    service.applyOrder(createOrder("v2"));
    await timers.advance(DURATION_MS);
    service.stop();
    expect(listStates()).toEqual([]);
});
