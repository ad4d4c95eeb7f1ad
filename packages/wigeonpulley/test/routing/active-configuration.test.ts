import { expect, test } from "vitest";
import { ActiveConfiguration, ClockReading, EventLogger, MemorySink } from "wigeonpulley";
import { ManualClocks } from "../fixtures/manual-clocks.js";
import { createRoutingConfiguration } from "../fixtures/routing-fixture.js";

const createKeeper = (): { readonly keeper: ActiveConfiguration; readonly clocks: ManualClocks; } => {
    const clocks = ManualClocks.create();
    return { keeper: ActiveConfiguration.create(clocks, EventLogger.create(MemorySink.create())), clocks };
};

test("versions only go up", () => {
    const { keeper } = createKeeper();
    [3, 2, 3, 7, 5].forEach(version => keeper.apply(createRoutingConfiguration({ version })));
    expect(keeper.routeTable?.configuration.version).toBe(7);
});

test("the age counts from the sending of the read that confirmed it", () => {
    const { keeper, clocks } = createKeeper();
    expect(keeper.getAgeMs()).toBe(Number.POSITIVE_INFINITY);
    const sentAt = ClockReading.create(clocks);
    clocks.advance(700);
    keeper.confirm(sentAt);
    expect(keeper.getAgeMs()).toBe(700);
});

test("an answer to an older read does not make the configuration younger or older", () => {
    const { keeper, clocks } = createKeeper();
    const early = ClockReading.create(clocks);
    clocks.advance(1_000);
    keeper.confirm(ClockReading.create(clocks));
    keeper.confirm(early);
    expect(keeper.getAgeMs()).toBe(0);
});

test("a suspension that stops the monotonic clock still ages the configuration", () => {
    const { keeper, clocks } = createKeeper();
    keeper.confirm(ClockReading.create(clocks));
    clocks.wallMs += 6_000;
    expect(keeper.getAgeMs()).toBeGreaterThanOrEqual(6_000);
});

test("setting the time of day back does not make the configuration younger", () => {
    const { keeper, clocks } = createKeeper();
    keeper.confirm(ClockReading.create(clocks));
    clocks.advance(4_000);
    clocks.wallMs -= 3_900;
    expect(keeper.getAgeMs()).toBeGreaterThanOrEqual(4_000);
});

test("a suspension and a time of day that is set back don't hide each other", () => {
    const { keeper, clocks } = createKeeper();
    const before = ClockReading.create(clocks);
    keeper.confirm(before);
    clocks.wallMs += 4_250 - 3_860;
    expect(keeper.getAgeMs()).toBe(Number.POSITIVE_INFINITY);
    keeper.confirm(before);
    expect(keeper.getAgeMs()).toBe(Number.POSITIVE_INFINITY);
    clocks.advance(10);
    keeper.confirm(ClockReading.create(clocks));
    expect(keeper.getAgeMs()).toBe(0);
});
