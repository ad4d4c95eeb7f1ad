import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import {
    ActiveConfiguration,
    AdmissionCheck,
    type CancelTimer,
    ClockReading,
    EventLogger,
    MemorySink,
    SeededRandom,
    TimerService,
    TopicFollower,
    VirtualTimerService,
} from "wigeonpulley";
import { FaultInjectingStore, type StoreCondition, StoredTopic } from "../fixtures/fault-injecting-store.js";
import { createRequestMetadata } from "../fixtures/forwarding-fixture.js";
import { readPropertyParameters } from "../fixtures/properties.js";
import { createRoutingConfiguration } from "../fixtures/routing-fixture.js";
import { SuspendableClock } from "../fixtures/suspendable-clock.js";

/** Bounds of the users' pages, and the part of them that a VM uses, in milliseconds. */
const REVOKE_MS = 5_000;
const KEY_AGE_MS = 0.6 * REVOKE_MS;
const APPLY_MS = 2_500;
const CONTACT_MS = 4_000;
const ASK_MS = 250;
const STEP_MS = 500;
const STEPS = 40;
const KEY = "key-1";
const WELL: StoreCondition = { requestDelayMs: 4, responseDelayMs: 4, mode: "well" };

type Event =
    | { readonly kind: "store"; readonly condition: StoreCondition; }
    | { readonly kind: "suspend"; readonly forMs: number; }
    | { readonly kind: "step"; readonly byMs: number; }
    | { readonly kind: "forget"; }
    | { readonly kind: "publish"; }
    | { readonly kind: "revoke"; };

const delayMs = fc.constantFrom(4, 30, 300, 700);
const event: fc.Arbitrary<Event> = fc.oneof(
    fc.record({
        kind: fc.constant("store" as const),
        condition: fc.record({
            requestDelayMs: delayMs,
            responseDelayMs: delayMs,
            mode: fc.constantFrom(
                "well" as const,
                "well" as const,
                "refusing" as const,
                "losing answers" as const,
            ),
        }),
    }),
    fc.record({ kind: fc.constant("suspend" as const), forMs: fc.integer({ min: 200, max: 7_000 }) }),
    fc.record({ kind: fc.constant("step" as const), byMs: fc.integer({ min: -6_000, max: 6_000 }) }),
    fc.constantFrom<Event>({ kind: "forget" }, { kind: "publish" }, { kind: "revoke" }),
);
const schedule = fc.array(fc.tuple(fc.integer({ min: 0, max: STEPS - 1 }), event), { maxLength: 10 });

/** A clock that does not show suspensions: its time of day is its monotonic time. */
class MonotonicClock extends TimerService {
    private constructor(private readonly clock: TimerService) {
        super();
    }

    static create(clock: TimerService): MonotonicClock {
        return new MonotonicClock(clock);
    }

    override now(): number {
        return this.clock.now();
    }

    override readWallClock(): number {
        return this.clock.now();
    }

    override schedule(delayMs: number, callback: () => void): CancelTimer {
        return this.clock.schedule(delayMs, callback);
    }
}

/** Ways to get it wrong, for the check of the check; both also lack the time of day. */
type Mutant = "none" | "confirmed at the answer" | "monotonic clock alone";

interface Observation {
    /** Time from the acknowledgement of the revocation to the latest admission of the key, in milliseconds. */
    latestAfterRevoke: number;
    isBackwards: boolean;
    /** True when a VM in touch refused a key that was never taken away. */
    isRefusedInTouch: boolean;
}

class FreshnessModel {
    private readonly world = VirtualTimerService.create();
    private readonly topic = StoredTopic.create();
    private readonly clock = SuspendableClock.create(this.world);
    private readonly keeper: ActiveConfiguration;
    private readonly observation: Observation = {
        latestAfterRevoke: Number.NEGATIVE_INFINITY,
        isBackwards: false,
        isRefusedInTouch: false,
    };
    private readonly check: AdmissionCheck;
    private condition = WELL;
    private version = 0;
    private revokedAt: number | undefined;
    private troubledAt = 0;
    private seenVersion = 0;

    private constructor(private readonly mutant: Mutant) {
        const clock = mutant === "none" ? this.clock : MonotonicClock.create(this.clock);
        this.keeper = ActiveConfiguration.create(clock, EventLogger.create(MemorySink.create()));
        this.publish();
        const follower = this.createFollower();
        this.check = AdmissionCheck.create({
            activeConfiguration: this.keeper,
            getAgeLimits: () => ({ maxAgeForKeysMs: KEY_AGE_MS, maxAgeForUnknownMs: 0.8 * APPLY_MS }),
            refreshConfiguration: () => follower.refresh(),
        });
        follower.start();
        this.clock.scheduleRepeating(ASK_MS, () => void this.ask());
    }

    static async play(events: readonly (readonly [number, Event])[], mutant: Mutant): Promise<Observation> {
        const model = new FreshnessModel(mutant);
        for (let step = 0; step < STEPS; step += 1) {
            events.filter(([at]) => at === step).forEach(([, one]) => model.apply(one));
            if (model.condition !== WELL || model.clock.isSuspended) {
                model.troubledAt = model.world.now();
            }
            await model.world.advance(STEP_MS);
        }
        return model.observation;
    }

    private createFollower(): TopicFollower {
        return TopicFollower.create({
            store: FaultInjectingStore.create({
                topic: this.topic,
                world: this.world,
                timers: this.clock,
                getCondition: () => this.condition,
            }),
            topic: "operator",
            timers: this.clock,
            random: SeededRandom.create(1),
            logger: EventLogger.create(MemorySink.create()),
            longPollMs: 1_400,
            pauseMs: 0,
            listener: {
                applySnapshot: records => records.forEach(({ value }) => this.takeOver(value)),
                applyChanges: records => records.forEach(({ value }) => this.takeOver(value)),
                confirm: sentAt => this.keeper.confirm(this.mutate(sentAt)),
                handleStoreLost: () => undefined,
                handleStoreRecovered: () => undefined,
            },
        });
    }

    private mutate(sentAt: ClockReading): ClockReading {
        return this.mutant === "confirmed at the answer" ? ClockReading.create(this.clock) : sentAt;
    }

    private takeOver(value: Buffer | undefined): void {
        const { version, keys } = JSON.parse(value?.toString() ?? "{}") as {
            version: number;
            keys: string[];
        };
        this.keeper.apply(createRoutingConfiguration({ version, workspaces: [{ name: "lushoto", keys }] }));
        const inForce = this.keeper.routeTable?.configuration.version ?? 0;
        this.observation.isBackwards ||= inForce < this.seenVersion;
        this.seenVersion = inForce;
    }

    private apply(one: Event): void {
        switch (one.kind) {
            case "store":
                this.condition = one.condition;
                return;
            case "suspend":
                return this.clock.suspend(one.forMs);
            case "step":
                this.troubledAt = this.world.now();
                return this.clock.stepWallClock(one.byMs);
            case "forget":
                this.troubledAt = this.world.now();
                return this.topic.trimHistory();
            case "publish":
                return this.publish();
            case "revoke":
                this.revokedAt ??= this.world.now();
                return this.publish();
        }
    }

    private publish(): void {
        this.version += 1 + this.version % 3;
        const keys = this.revokedAt === undefined ? [KEY, "key-2"] : ["key-2"];
        this.topic.write("config", JSON.stringify({ version: this.version, keys }));
    }

    private async ask(): Promise<void> {
        const target = { host: "wax.example", path: "/stock/1" };
        const admitted = await this.check.admit(target, {
            ...createRequestMetadata({ attemptId: "a-1" }),
            key: KEY,
        });
        const now = this.world.now();
        if (admitted.isOk() && this.revokedAt !== undefined) {
            this.observation.latestAfterRevoke = Math.max(
                this.observation.latestAfterRevoke,
                now - this.revokedAt,
            );
        }
        const isInTouch = this.condition === WELL && now - this.troubledAt > CONTACT_MS;
        this.observation.isRefusedInTouch ||= admitted.isErr() && this.revokedAt === undefined && isInTouch;
    }
}

propertyTest.prop([schedule], readPropertyParameters(60))(
    "a key that was taken away is dead in time, versions only go up, and a VM in touch refuses nobody",
    async events => {
        const { latestAfterRevoke, isBackwards, isRefusedInTouch } = await FreshnessModel.play(
            events,
            "none",
        );
        expect(latestAfterRevoke).toBeLessThanOrEqual(REVOKE_MS);
        expect(isBackwards).toBe(false);
        expect(isRefusedInTouch).toBe(false);
    },
);

test.each<Mutant>(["confirmed at the answer", "monotonic clock alone"])(
    "the check catches a VM that takes a configuration for %s",
    async mutant => {
        // An answer that was on its way, or in the VM, while the VM was suspended and the key was taken away.
        const slow: StoreCondition = { requestDelayMs: 4, responseDelayMs: 700, mode: "well" };
        const outcomes = await Promise.all([18, 19, 20, 21, 22].map(step =>
            FreshnessModel.play([
                [10, { kind: "store", condition: slow }],
                [step, { kind: "suspend", forMs: 5_900 }],
                [step + 1, { kind: "revoke" }],
                [step + 2, { kind: "store", condition: { ...slow, mode: "losing answers" } }],
            ], mutant)
        ));
        expect(Math.max(...outcomes.map(({ latestAfterRevoke }) => latestAfterRevoke))).toBeGreaterThan(
            REVOKE_MS,
        );
    },
);
