/** The adaptive limit of one endpoint. */
import { create } from "@bufbuild/protobuf";
import { expect, test } from "vitest";
import { EndpointState, type Observation, ObservationSchema } from "wigeonpulley";
import { createTestTicket } from "../fixtures/group-scheduler-fixture.js";
import { createEngineEndpoint, createTestConfiguration } from "../fixtures/test-configuration.js";

const createState = (initial: number): EndpointState => {
    const concurrency = { initial, maximum: 64 };
    const [endpoint] =
        createTestConfiguration({ endpoints: [createEngineEndpoint("engine-1", { concurrency })] }).endpoints;
    if (endpoint === undefined) {
        throw new RangeError("no endpoint");
    }
    return EndpointState.create(endpoint);
};

const createObservation = (slowSamples: number): Observation =>
    create(ObservationSchema, { endpoint: "engine-1", interTokenMeanMs: 40, samples: 100, slowSamples });

/** Occupies every slot that a lower tier may take. */
const fillForLowerTiers = (state: EndpointState): void => {
    while (state.countFreeSlots(state.countReservedSlots()) > 0) {
        state.occupy(createTestTicket(`ticket-${state.countRunning()}`), "vm-1", 0);
    }
};

test("the limit grows past the reserved slots while the target is met", () => {
    const state = createState(10);
    for (let round = 0; round < 20; round += 1) {
        fillForLowerTiers(state);
        state.observe(createObservation(0), round * 1_000);
    }
    expect(state.getLimit()).toBeGreaterThan(14);
});

test("the limit shrinks while more than 2 in 100 inter-token latencies miss the target, but never below one", () => {
    const state = createState(10);
    state.observe(createObservation(2), 0);
    expect(state.getLimit()).toBe(10);
    state.observe(createObservation(3), 1_000);
    expect(state.getLimit()).toBe(9);
    for (let round = 2; round < 100; round += 1) {
        state.observe(createObservation(100), round * 1_000);
    }
    expect(state.getLimit()).toBe(1);
});

test("the limit follows the samples of all gateways together", () => {
    const state = createState(10);
    state.observe(createObservation(0), 0);
    state.observe(createObservation(4), 400);
    state.observe(createObservation(0), 800);
    state.observe(createObservation(0), 1_000);
    expect(state.getLimit()).toBe(10);
});

test("the limit does not grow while slots stay free", () => {
    const state = createState(10);
    state.observe(createObservation(0), 0);
    expect(state.getLimit()).toBe(10);
});
