import { expect, test } from "vitest";
import { AgeStamp, ConfigurationKeeper, EventLogger, MemorySink } from "wigeonpulley";
import { createRoutingConfiguration } from "../fixtures/routing-fixture.js";
import { TwoClocks } from "../fixtures/two-clocks.js";

const createKeeper = (): { readonly keeper: ConfigurationKeeper; readonly clocks: TwoClocks; } => {
    const clocks = TwoClocks.create();
    return { keeper: ConfigurationKeeper.create(clocks, EventLogger.create(MemorySink.create())), clocks };
};

test("versions only go up", () => {
    const { keeper } = createKeeper();
    [3, 2, 3, 7, 5].forEach(version => keeper.apply(createRoutingConfiguration({ version })));
    expect(keeper.current?.configuration.version).toBe(7);
});

test("the age counts from the sending of the read that confirmed it", () => {
    const { keeper, clocks } = createKeeper();
    expect(keeper.readAgeMs()).toBe(Number.POSITIVE_INFINITY);
    const sentAt = AgeStamp.create(clocks);
    clocks.move(700);
    keeper.confirm(sentAt);
    expect(keeper.readAgeMs()).toBe(700);
});

test("an answer to an older read does not make the configuration younger or older", () => {
    const { keeper, clocks } = createKeeper();
    const early = AgeStamp.create(clocks);
    clocks.move(1_000);
    keeper.confirm(AgeStamp.create(clocks));
    keeper.confirm(early);
    expect(keeper.readAgeMs()).toBe(0);
});

test("a suspension that stops the monotonic clock still ages the configuration", () => {
    const { keeper, clocks } = createKeeper();
    keeper.confirm(AgeStamp.create(clocks));
    clocks.wallMs += 6_000;
    expect(keeper.readAgeMs()).toBeGreaterThanOrEqual(6_000);
});

test("setting the time of day back does not make the configuration younger", () => {
    const { keeper, clocks } = createKeeper();
    keeper.confirm(AgeStamp.create(clocks));
    clocks.move(4_000);
    clocks.wallMs -= 3_900;
    expect(keeper.readAgeMs()).toBeGreaterThanOrEqual(4_000);
});

test("a suspension and a time of day that is set back don't hide each other", () => {
    const { keeper, clocks } = createKeeper();
    const before = AgeStamp.create(clocks);
    keeper.confirm(before);
    clocks.wallMs += 4_250 - 3_860;
    expect(keeper.readAgeMs()).toBe(Number.POSITIVE_INFINITY);
    keeper.confirm(before);
    expect(keeper.readAgeMs()).toBe(Number.POSITIVE_INFINITY);
    clocks.move(10);
    keeper.confirm(AgeStamp.create(clocks));
    expect(keeper.readAgeMs()).toBe(0);
});
