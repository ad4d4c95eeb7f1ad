import { expect, test } from "vitest";
import { ActiveConfiguration, ClockReading, EventLogger, MemorySink } from "wigeonpulley";
import { ManualClocks } from "../fixtures/manual-clocks.js";
import { createRoutingConfiguration } from "../fixtures/routing-fixture.js";

const createActiveConfiguration = (): {
    readonly activeConfiguration: ActiveConfiguration;
    readonly clocks: ManualClocks;
} => {
    const clocks = ManualClocks.create();
    return {
        activeConfiguration: ActiveConfiguration.create(clocks, EventLogger.create(MemorySink.create())),
        clocks,
    };
};

test("a version is never replaced by a lower one", () => {
    const { activeConfiguration } = createActiveConfiguration();
    [3, 2, 3, 7, 5].forEach(version => activeConfiguration.apply(createRoutingConfiguration({ version })));
    expect(activeConfiguration.routeTable?.configuration.version).toBe(7);
});

test("the age counts from when the confirming read was sent", () => {
    const { activeConfiguration, clocks } = createActiveConfiguration();
    expect(activeConfiguration.getAgeMs()).toBe(Number.POSITIVE_INFINITY);
    const sentAt = ClockReading.create(clocks);
    clocks.advance(700);
    activeConfiguration.confirm(sentAt);
    expect(activeConfiguration.getAgeMs()).toBe(700);
});

test("the response to an earlier read does not change the age", () => {
    const { activeConfiguration, clocks } = createActiveConfiguration();
    const earlierReading = ClockReading.create(clocks);
    clocks.advance(1_000);
    activeConfiguration.confirm(ClockReading.create(clocks));
    activeConfiguration.confirm(earlierReading);
    expect(activeConfiguration.getAgeMs()).toBe(0);
});

test("the configuration ages during a suspension that stops the monotonic clock", () => {
    const { activeConfiguration, clocks } = createActiveConfiguration();
    activeConfiguration.confirm(ClockReading.create(clocks));
    clocks.wallMs += 6_000;
    expect(activeConfiguration.getAgeMs()).toBeGreaterThanOrEqual(6_000);
});

test("setting the wall clock back does not reduce the age", () => {
    const { activeConfiguration, clocks } = createActiveConfiguration();
    activeConfiguration.confirm(ClockReading.create(clocks));
    clocks.advance(4_000);
    clocks.wallMs -= 3_900;
    expect(activeConfiguration.getAgeMs()).toBeGreaterThanOrEqual(4_000);
});

test("a suspension and a wall clock that is set back do not hide each other", () => {
    const { activeConfiguration, clocks } = createActiveConfiguration();
    const earlierReading = ClockReading.create(clocks);
    activeConfiguration.confirm(earlierReading);
    clocks.wallMs += 4_250 - 3_860;
    expect(activeConfiguration.getAgeMs()).toBe(Number.POSITIVE_INFINITY);
    activeConfiguration.confirm(earlierReading);
    expect(activeConfiguration.getAgeMs()).toBe(Number.POSITIVE_INFINITY);
    clocks.advance(10);
    activeConfiguration.confirm(ClockReading.create(clocks));
    expect(activeConfiguration.getAgeMs()).toBe(0);
});
