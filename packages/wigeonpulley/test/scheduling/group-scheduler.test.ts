/** Decisions of one group scheduler. */
import { fc, test } from "@fast-check/vitest";
import { expect, test as plainTest } from "vitest";
import { Outcome, RefusalReason } from "wigeonpulley";
import {
    createSchedulerFixture,
    createTestTicket,
    releaseTicket,
    submitTicket,
} from "../fixtures/group-scheduler-fixture.js";
import { UNIT_PROPERTY } from "../fixtures/properties.js";

test.prop([fc.array(fc.nat({ max: 4 }), { minLength: 2, maxLength: 30 })], {
    ...UNIT_PROPERTY,
    numRuns: 100,
})(
    "waiting tickets are granted in strict order of tiers",
    async tiers => {
        const fixture = createSchedulerFixture(1);
        void submitTicket(fixture, createTestTicket("first", { durable: true }));
        tiers.forEach((tier, index) =>
            void submitTicket(fixture, createTestTicket(`${tier}-${index}`, { tier, durable: true }))
        );
        await fixture.timers.flushPromises();
        for (let round = 0; round < tiers.length; round += 1) {
            releaseTicket(fixture, fixture.granted.at(-1) ?? "", Outcome.COMPLETED);
            await fixture.timers.flushPromises();
        }
        const order = fixture.granted.slice(1).map(id => Number(id.split("-")[0]));
        expect(order).toEqual(tiers.toSorted((left, right) => left - right));
    },
);

plainTest(
    "after a refusal for load, lower tiers are refused for a while and higher ones are not",
    async () => {
        const fixture = createSchedulerFixture(1);
        void submitTicket(fixture, createTestTicket("running", { answerTokens: 600 }));
        void submitTicket(fixture, createTestTicket("too late", { tier: 1, remainingMs: 5_000 }));
        void submitTicket(fixture, createTestTicket("lower", { tier: 2, remainingMs: 60_000 }));
        void submitTicket(fixture, createTestTicket("higher", { tier: 0, remainingMs: 60_000 }));
        await fixture.timers.advance(10);
        expect(fixture.refused).toEqual(["too late", "lower"]);
        await fixture.timers.advance(2_000);
        void submitTicket(fixture, createTestTicket("lower later", { tier: 2, remainingMs: 60_000 }));
        await fixture.timers.advance(10);
        expect(fixture.refused).toEqual(["too late", "lower"]);
    },
);

plainTest("a durable ticket waits past its deadline instead of being refused", async () => {
    const fixture = createSchedulerFixture(1);
    void submitTicket(fixture, createTestTicket("running", { durable: true }));
    void submitTicket(fixture, createTestTicket("quote", { tier: 0, durable: true, remainingMs: 100 }));
    await fixture.timers.advance(60_000);
    expect(fixture.refused).toEqual([]);
    releaseTicket(fixture, "running", Outcome.COMPLETED);
    await fixture.timers.flushPromises();
    expect(fixture.granted).toEqual(["running", "quote"]);
});

plainTest("a refusal comes at once and says when to retry", async () => {
    const fixture = createSchedulerFixture(1);
    const running = await submitTicket(fixture, createTestTicket("running", { answerTokens: 500 }));
    const result = await submitTicket(fixture, createTestTicket("late", { remainingMs: 6_000 }));
    expect(fixture.timers.now()).toBe(0);
    expect(result.isErr() && result.error.reason).toBe(RefusalReason.OVERLOADED);
    expect(result.isErr() && result.error.retryAfterMs).toBe(Math.ceil(running.unwrap().expectedMs));
});

plainTest(
    "a refusal within the shed window of a higher tier opens a full shed window for the tiers below it",
    async () => {
        const fixture = createSchedulerFixture(1);
        void submitTicket(fixture, createTestTicket("running", { answerTokens: 600 }));
        void submitTicket(fixture, createTestTicket("shed", { tier: 0, remainingMs: 5_000 }));
        await fixture.timers.advance(900);
        void submitTicket(fixture, createTestTicket("held", { tier: 1, remainingMs: 60_000 }));
        await fixture.timers.advance(200);
        void submitTicket(fixture, createTestTicket("below", { tier: 2, remainingMs: 60_000 }));
        void submitTicket(fixture, createTestTicket("free again", { tier: 1, remainingMs: 60_000 }));
        await fixture.timers.advance(10);
        expect(fixture.refused).toEqual(["shed", "held", "below"]);
    },
);

plainTest("a request that takes longer than its deadline allows is refused as unattainable", async () => {
    const fixture = createSchedulerFixture(1);
    const result = await submitTicket(
        fixture,
        createTestTicket("long", { answerTokens: 1_000, remainingMs: 3_000, allowedMs: 3_000 }),
    );
    expect(result.isErr() && result.error.reason).toBe(RefusalReason.DEADLINE_UNATTAINABLE);
});

plainTest("a short request goes before a long one of its tier", async () => {
    const fixture = createSchedulerFixture(1);
    void submitTicket(fixture, createTestTicket("running"));
    void submitTicket(fixture, createTestTicket("long", { answerTokens: 1_000, remainingMs: 600_000 }));
    await fixture.timers.advance(1_000);
    void submitTicket(fixture, createTestTicket("short", { answerTokens: 10 }));
    releaseTicket(fixture, "running", Outcome.COMPLETED);
    await fixture.timers.flushPromises();
    expect(fixture.granted).toEqual(["running", "short"]);
});

plainTest(
    "slots of a lost gateway are freed after their expected end, its tickets are withdrawn at once",
    async () => {
        const fixture = createSchedulerFixture(1);
        void submitTicket(fixture, createTestTicket("running"));
        void submitTicket(fixture, createTestTicket("waiting"));
        fixture.scheduler.removeGateway("vm-1");
        await fixture.timers.advance(1_000);
        expect(fixture.refused).toEqual(["waiting"]);
        expect(fixture.scheduler.countFreeSlots()).toBe(0);
        await fixture.timers.advance(10_000);
        expect(fixture.scheduler.countFreeSlots()).toBe(1);
    },
);

plainTest("a durable ticket is not refused while lower tiers are shed", async () => {
    const fixture = createSchedulerFixture(1);
    void submitTicket(fixture, createTestTicket("running", { answerTokens: 600 }));
    void submitTicket(fixture, createTestTicket("too late", { tier: 0, remainingMs: 5_000 }));
    void submitTicket(fixture, createTestTicket("quote", { tier: 1, durable: true }));
    await fixture.timers.advance(10);
    expect(fixture.refused).toEqual(["too late"]);
});
