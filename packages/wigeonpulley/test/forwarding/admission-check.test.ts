/** Admission while the first configuration is still being read. */
import { expect, test } from "vitest";
import {
    ActiveConfiguration,
    AdmissionCheck,
    ClockReading,
    EventLogger,
    MemorySink,
    VirtualTimerService,
} from "wigeonpulley";
import { createRequestMetadata } from "../fixtures/forwarding-fixture.js";
import { createRouteInput, createRoutingConfiguration } from "../fixtures/routing-fixture.js";

const DEADLINE_MS = 4_000;
/** An eighth of the deadline. */
const LIMIT_MS = 500;

/** Age above which no key is admitted. */
const MAX_AGE_FOR_KEYS_MS = 3_000;

const createAdmission = (refreshMs = 0) => {
    const timers = VirtualTimerService.create();
    const activeConfiguration = ActiveConfiguration.create(timers, EventLogger.create(MemorySink.create()));
    const admission = AdmissionCheck.create({
        timers,
        activeConfiguration,
        getAgeLimits: () => ({ maxAgeForKeysMs: MAX_AGE_FOR_KEYS_MS, maxAgeForUnknownMs: 2_000 }),
        refreshConfiguration: async () => {
            const sentAt = ClockReading.create(timers);
            await timers.sleep(refreshMs);
            activeConfiguration.confirm(sentAt);
        },
    });
    const route = createRouteInput({});
    const load = (): void => {
        activeConfiguration.apply(createRoutingConfiguration({ routes: [route] }));
        activeConfiguration.confirm(ClockReading.create(timers));
    };
    const admit = (deadlineMs: number | undefined) =>
        admission.admit(
            { host: route.host, path: route.pathPrefix },
            createRequestMetadata({ deadlineMs, key: "key-1" }),
        );
    return { timers, load, admit };
};

test("a request that arrives before the first configuration is admitted when it has been read", async () => {
    const { timers, load, admit } = createAdmission();
    const admitted = admit(DEADLINE_MS);
    timers.schedule(LIMIT_MS - 10, load);
    expect((await timers.runUntilSettled(admitted, LIMIT_MS)).isOk()).toBe(true);
});

test.each([
    ["an eighth of its deadline", DEADLINE_MS, LIMIT_MS],
    ["a second", 60_000, 1_000],
    ["no time without a deadline", undefined, 1],
])("without a configuration a request waits for at most %s", async (title, deadlineMs, limitMs) => {
    const { timers, admit } = createAdmission();
    const admitted = await timers.runUntilSettled(admit(deadlineMs), limitMs);
    expect(admitted.isErr() && admitted.error.name).toBe("ConfigurationUnavailable");
    expect(admitted.isErr() && admitted.error.retryAfterMs).toBeGreaterThan(0);
});

// Guards against SHORT and CONFIG: a request would be held as long as a long record takes over a full link.
test.each([[900, true], [5_000, false]])(
    "a request whose configuration is too old waits a second for a read: admitted after one of %i ms: %s",
    async (refreshMs, isAdmitted) => {
        const { timers, load, admit } = createAdmission(refreshMs);
        load();
        await timers.advance(MAX_AGE_FOR_KEYS_MS + 1);
        const admitted = await timers.runUntilSettled(admit(DEADLINE_MS), 1_000);
        expect(admitted.isErr() ? admitted.error.name : "admitted").toBe(
            isAdmitted ? "admitted" : "ConfigurationStale",
        );
    },
);
