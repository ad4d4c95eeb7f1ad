import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import {
    EventLogger,
    hashIncarnation,
    type Instance,
    InstanceRateLimits,
    MemorySink,
    type NamedLimits,
    VirtualTimerService,
} from "wigeonpulley";
import { computeAllowedRequests } from "../fixtures/limited-engines.js";
import { readPropertyParameters } from "../fixtures/properties.js";
import { createInstance } from "../fixtures/raw-endpoint.js";

const INSTANCE = createInstance({ id: "i-1" });
const WINDOW_MS = 4_000;
const STEP_MS = 20;

const createNamedLimits = (limitPerS: number | undefined): NamedLimits => ({
    limitPerS,
    rejectionsPerS: undefined,
});

const createVms = (count: number, timers = VirtualTimerService.create()) => {
    const logger = EventLogger.create(MemorySink.create());
    const names = Array.from({ length: count }, (unused, index) => `vm-${index + 1}`);
    const vms = names.map(self => InstanceRateLimits.create({ self, timers, logger, listVms: () => names }));
    return { timers, vms };
};

const createVm = () => {
    const { timers, vms: [limits] } = createVms(1);
    if (limits === undefined) {
        throw new RangeError("there is a VM");
    }
    return { timers, limits };
};

/** Sends as many requests as the limits of all VMs allow; returns their times. */
const sendAll = async (
    { timers, vms }: ReturnType<typeof createVms>,
    instance: Instance,
    durationMs: number,
): Promise<readonly number[]> => {
    const times: number[] = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
        for (const limits of vms) {
            if (limits.canSend(instance)) {
                limits.recordDispatch(instance);
                times.push(timers.now());
            }
        }
        await timers.advance(STEP_MS);
    }
    return times;
};

propertyTest.prop(
    [fc.integer({ min: 1, max: 200 }), fc.double({ min: 0.1, max: 30, noNaN: true })],
    readPropertyParameters(15),
)("however many VMs there are, they keep the limit together", async (vmCount, limitPerS) => {
    const system = createVms(vmCount);
    system.vms.forEach(limits => limits.recordResponse(INSTANCE, createNamedLimits(limitPerS), 0));
    // All buckets are full when the requests begin.
    system.vms.forEach(limits => limits.canSend(INSTANCE));
    await system.timers.advance(60_000);
    const times = await sendAll(system, INSTANCE, 3 * WINDOW_MS);
    const busiest = Math.max(
        ...times.map(start => times.filter(at => at >= start && at < start + WINDOW_MS).length),
    );
    expect(busiest).toBeLessThanOrEqual(computeAllowedRequests(limitPerS, WINDOW_MS));
    expect(times.length).toBeGreaterThan(0);
});

test("an instance without a limit may always be sent to", () => {
    const { limits } = createVm();
    limits.recordResponse(INSTANCE, createNamedLimits(undefined), 0);
    expect(limits.canSend(INSTANCE)).toBe(true);
});

// Responses on two connections overtake each other.
test("a response without a limit ends it only if its request was sent after the limit was last named", async () => {
    const { timers, limits } = createVm();
    await timers.advance(1_000);
    limits.recordResponse(INSTANCE, createNamedLimits(1), 900);
    limits.recordResponse(INSTANCE, createNamedLimits(undefined), 950);
    expect(limits.canSend(INSTANCE)).toBe(false);
    limits.recordResponse(INSTANCE, createNamedLimits(undefined), 1_000);
    expect(limits.canSend(INSTANCE)).toBe(true);
});

test("the next incarnation of an instance is not bound by the limit of the previous one", () => {
    const { limits } = createVm();
    limits.recordResponse(INSTANCE, createNamedLimits(1), 0);
    expect(limits.canSend({ ...INSTANCE, bornMs: 5 })).toBe(true);
});

test("a limit of no requests at all leaves a few, so that its end is noticed", async () => {
    const system = createVms(1);
    system.vms.forEach(limits => limits.recordResponse(INSTANCE, createNamedLimits(0), 0));
    expect(await sendAll(system, INSTANCE, 60_000)).toHaveLength(5);
});

test("a VM keeps a limit that another one reports, and forgets it when the instance is gone", async () => {
    const { timers, vms: [left, right] } = createVms(2);
    left?.recordResponse(INSTANCE, createNamedLimits(1), 0);
    right?.applyReports(left?.listReports() ?? [], undefined);
    expect(right?.canSend(INSTANCE)).toBe(false);
    await timers.advance(60_000);
    right?.retain([]);
    expect(right?.listReports()).toEqual([]);
});

// A report that was on its way for seconds must not end a limit that was named meanwhile.
test("the end of a limit in a report counts from the time of asking, and not at all if the report came unasked", async () => {
    const { timers, limits } = createVm();
    await timers.advance(1_000);
    limits.recordResponse(INSTANCE, createNamedLimits(1), 900);
    const report = { instance: hashIncarnation(INSTANCE), limitPerS: undefined, ageMs: 0 };
    await timers.advance(500);
    limits.applyReports([report], undefined);
    limits.applyReports([report], 990);
    expect(limits.canSend(INSTANCE)).toBe(false);
    limits.applyReports([report], 1_400);
    expect(limits.canSend(INSTANCE)).toBe(true);
});
