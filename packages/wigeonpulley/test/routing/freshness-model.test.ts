import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import {
    ActiveConfiguration,
    AdmissionCheck,
    type CancelTimer,
    ClockReading,
    computeAgeLimits,
    EventLogger,
    FreshnessKeeper,
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

/** Published bounds `keyRevokeMs`, `applyMs` and `contactMs`. */
const KEY_REVOKE_MS = 5_000;
/** Time after the loss of the store for which the platform expects keys to be admitted. */
const EXPECTED_ADMISSION_MS = 0.6 * KEY_REVOKE_MS;
const APPLY_MS = 2_500;
const CONTACT_MS = 4_000;
const REQUEST_INTERVAL_MS = 250;
const STEP_MS = 500;
const STEP_COUNT = 40;
const KEY = "key-1";
const HEALTHY: StoreCondition = { requestDelayMs: 4, responseDelayMs: 4, mode: "well" };

/** Event of a generated schedule; `step` sets the wall clock and `forget` trims the history of the topic. */
type FreshnessEvent =
    | { readonly kind: "store"; readonly condition: StoreCondition; }
    | { readonly kind: "suspend"; readonly forMs: number; }
    | { readonly kind: "step"; readonly byMs: number; }
    | { readonly kind: "forget"; }
    | { readonly kind: "publish"; }
    | { readonly kind: "revoke"; };

const delayMsArbitrary = fc.constantFrom(4, 30, 300, 700);
const eventArbitrary: fc.Arbitrary<FreshnessEvent> = fc.oneof(
    fc.record({
        kind: fc.constant("store" as const),
        condition: fc.record({
            requestDelayMs: delayMsArbitrary,
            responseDelayMs: delayMsArbitrary,
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
    fc.constantFrom<FreshnessEvent>({ kind: "forget" }, { kind: "publish" }, { kind: "revoke" }),
);
const scheduleArbitrary = fc.array(fc.tuple(fc.integer({ min: 0, max: STEP_COUNT - 1 }), eventArbitrary), {
    maxLength: 10,
});

/** A clock that hides suspensions: its wall clock is its monotonic clock. */
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

/** Faults that the model has to detect; both also lack the wall clock. */
type Mutant = "none" | "confirmed when the response arrives" | "monotonic clock alone";

interface Observation {
    /** Time from the acknowledgement of the revocation to the latest admission of the key, in milliseconds. */
    latestAdmissionAfterRevokeMs: number;
    hasVersionDecreased: boolean;
    /** True when a VM that reaches the store refused a key that was never revoked. */
    isRefusedWhileConnected: boolean;
    /** Time from the loss of the store to the first refusal, in milliseconds. */
    earliestRefusalAfterLossMs: number;
}

class FreshnessModel {
    private readonly simulationClock = VirtualTimerService.create();
    private readonly topic = StoredTopic.create();
    private readonly clock = SuspendableClock.create(this.simulationClock);
    private readonly activeConfiguration: ActiveConfiguration;
    private readonly observation: Observation = {
        latestAdmissionAfterRevokeMs: Number.NEGATIVE_INFINITY,
        hasVersionDecreased: false,
        isRefusedWhileConnected: false,
        earliestRefusalAfterLossMs: Number.POSITIVE_INFINITY,
    };
    private storeLostAt = Number.POSITIVE_INFINITY;
    private readonly admissionCheck: AdmissionCheck;
    private condition = HEALTHY;
    private version = 0;
    private revokedAt: number | undefined;
    private lastFaultAt = 0;
    private lastVersion = 0;

    private constructor(private readonly mutant: Mutant) {
        const configurationClock = mutant === "none" ? this.clock : MonotonicClock.create(this.clock);
        this.activeConfiguration = ActiveConfiguration.create(
            configurationClock,
            EventLogger.create(MemorySink.create()),
        );
        this.publish();
        const follower = this.createFollower();
        this.admissionCheck = AdmissionCheck.create({
            activeConfiguration: this.activeConfiguration,
            timers: configurationClock,
            getAgeLimits: () => computeAgeLimits({ keyRevokeMs: KEY_REVOKE_MS, applyMs: APPLY_MS }),
            refreshConfiguration: () => follower.refresh(),
        });
        follower.start();
        FreshnessKeeper.create({
            timers: this.clock,
            random: SeededRandom.create(1),
            getAgeMs: () => this.activeConfiguration.getAgeMs(),
            isConfirmationAwaited: () => false,
            refresh: () => follower.refreshWhenAvailable(),
        }).start();
        this.clock.scheduleRepeating(REQUEST_INTERVAL_MS, () => void this.sendRequest());
    }

    static async simulate(
        events: readonly (readonly [number, FreshnessEvent])[],
        mutant: Mutant,
    ): Promise<Observation> {
        const model = new FreshnessModel(mutant);
        for (let step = 0; step < STEP_COUNT; step += 1) {
            events.filter(([at]) => at === step).forEach(([, event]) => model.apply(event));
            if (model.condition !== HEALTHY || model.clock.isSuspended) {
                model.lastFaultAt = model.simulationClock.now();
            }
            await model.simulationClock.advance(STEP_MS);
        }
        return model.observation;
    }

    private createFollower(): TopicFollower {
        return TopicFollower.create({
            store: FaultInjectingStore.create({
                topic: this.topic,
                simulationClock: this.simulationClock,
                timers: this.clock,
                getCondition: () => this.condition,
            }),
            topic: "operator",
            timers: this.clock,
            random: SeededRandom.create(1),
            logger: EventLogger.create(MemorySink.create()),
            longPollMs: 4_000,
            pauseMs: 0,
            listener: {
                applySnapshot: records => records.forEach(({ value }) => this.applyRecord(value)),
                applyChanges: records => records.forEach(({ value }) => this.applyRecord(value)),
                confirm: sentAt => this.activeConfiguration.confirm(this.getConfirmationTime(sentAt)),
                handleStoreLost: () => undefined,
                handleStoreRecovered: () => undefined,
            },
        });
    }

    private getConfirmationTime(sentAt: ClockReading): ClockReading {
        return this.mutant === "confirmed when the response arrives"
            ? ClockReading.create(this.clock)
            : sentAt;
    }

    private applyRecord(value: Buffer | undefined): void {
        const { version, keys } = JSON.parse(value?.toString() ?? "{}") as {
            version: number;
            keys: string[];
        };
        this.activeConfiguration.apply(
            createRoutingConfiguration({ version, workspaces: [{ name: "lushoto", keys }] }),
        );
        const activeVersion = this.activeConfiguration.routeTable?.configuration.version ?? 0;
        this.observation.hasVersionDecreased ||= activeVersion < this.lastVersion;
        this.lastVersion = activeVersion;
    }

    private apply(event: FreshnessEvent): void {
        switch (event.kind) {
            case "store":
                this.condition = event.condition;
                if (event.condition.mode !== "well") {
                    this.storeLostAt = Math.min(this.storeLostAt, this.simulationClock.now());
                }
                return;
            case "suspend":
                return this.clock.suspend(event.forMs);
            case "step":
                this.lastFaultAt = this.simulationClock.now();
                return this.clock.stepWallClock(event.byMs);
            case "forget":
                this.lastFaultAt = this.simulationClock.now();
                return this.topic.trimHistory();
            case "publish":
                return this.publish();
            case "revoke":
                this.revokedAt ??= this.simulationClock.now();
                return this.publish();
        }
    }

    private publish(): void {
        this.version += 1 + this.version % 3;
        const keys = this.revokedAt === undefined ? [KEY, "key-2"] : ["key-2"];
        this.topic.write("config", JSON.stringify({ version: this.version, keys }));
    }

    private async sendRequest(): Promise<void> {
        const target = { host: "wax.example", path: "/stock/1" };
        const admitted = await this.admissionCheck.admit(target, {
            ...createRequestMetadata({ attemptId: "a-1" }),
            key: KEY,
        });
        const now = this.simulationClock.now();
        if (admitted.isOk() && this.revokedAt !== undefined) {
            this.observation.latestAdmissionAfterRevokeMs = Math.max(
                this.observation.latestAdmissionAfterRevokeMs,
                now - this.revokedAt,
            );
        }
        if (admitted.isErr() && now >= this.storeLostAt) {
            this.observation.earliestRefusalAfterLossMs = Math.min(
                this.observation.earliestRefusalAfterLossMs,
                now - this.storeLostAt,
            );
        }
        const isConnected = this.condition === HEALTHY && now - this.lastFaultAt > CONTACT_MS;
        this.observation.isRefusedWhileConnected ||= admitted.isErr() && this.revokedAt === undefined
            && isConnected;
    }
}

propertyTest.prop([scheduleArbitrary], readPropertyParameters(60))(
    "revoked keys are refused within the bound, versions only increase, and a connected VM refuses no valid key",
    async events => {
        const { latestAdmissionAfterRevokeMs, hasVersionDecreased, isRefusedWhileConnected } =
            await FreshnessModel.simulate(
                events,
                "none",
            );
        expect(latestAdmissionAfterRevokeMs).toBeLessThanOrEqual(KEY_REVOKE_MS);
        expect(hasVersionDecreased).toBe(false);
        expect(isRefusedWhileConnected).toBe(false);
    },
);

test.each([4_000, 4_500, 5_000, 5_500])(
    "a key is admitted for as long as the platform expects when the store is lost at %i ms",
    async lostAtMs => {
        const { earliestRefusalAfterLossMs } = await FreshnessModel.simulate([
            [lostAtMs / STEP_MS, { kind: "store", condition: { ...HEALTHY, mode: "refusing" } }],
        ], "none");
        expect(earliestRefusalAfterLossMs).toBeGreaterThanOrEqual(EXPECTED_ADMISSION_MS);
        expect(earliestRefusalAfterLossMs).toBeLessThan(KEY_REVOKE_MS);
    },
);

test.each<Mutant>(["confirmed when the response arrives", "monotonic clock alone"])(
    "the model detects a configuration age that is wrong: %s",
    async mutant => {
        // A response was in flight, or unprocessed in the VM, while the VM was suspended and the key was revoked.
        const slow: StoreCondition = { requestDelayMs: 4, responseDelayMs: 700, mode: "well" };
        const outcomes = await Promise.all([18, 19, 20, 21, 22].map(step =>
            FreshnessModel.simulate([
                [10, { kind: "store", condition: slow }],
                [step, { kind: "suspend", forMs: 5_900 }],
                [step + 1, { kind: "store", condition: { ...slow, mode: "losing answers" } }],
                [step + 1, { kind: "revoke" }],
            ], mutant)
        ));
        expect(Math.max(...outcomes.map(({ latestAdmissionAfterRevokeMs }) => latestAdmissionAfterRevokeMs)))
            .toBeGreaterThan(
                KEY_REVOKE_MS,
            );
    },
);
