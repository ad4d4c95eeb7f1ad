/** Confirmations of the configuration that VMs pass on to each other: several VMs, each with its own way to the store. */
import { fc, test as propertyTest } from "@fast-check/vitest";
import { Err, Ok, type Result } from "ts-results-es";
import { expect, test } from "vitest";
import {
    ActiveConfiguration,
    AdmissionCheck,
    ClockReading,
    computeAgeLimits,
    EventLogger,
    FreshnessKeeper,
    GossipedFreshness,
    GossipTransport,
    InstanceDirectory,
    type MemberDigest,
    MembershipService,
    MemorySink,
    SchedulerError,
    SeededRandom,
    TopicFollower,
    VirtualTimerService,
    VmList,
    type VmListEntry,
    type VmListSnapshot,
} from "wigeonpulley";
import { FaultInjectingStore, type StoreCondition, StoredTopic } from "../fixtures/fault-injecting-store.js";
import { createRequestMetadata } from "../fixtures/forwarding-fixture.js";
import { readPropertyParameters } from "../fixtures/properties.js";
import { createRoutingConfiguration } from "../fixtures/routing-fixture.js";
import { SuspendableClock } from "../fixtures/suspendable-clock.js";

const KEY_REVOKE_MS = 5_000;
const APPLY_MS = 2_500;
const VM_COUNT = 3;
const STEP_MS = 500;
const STEP_COUNT = 40;
const REQUEST_INTERVAL_MS = 250;
const PEER_TIMEOUT_MS = 1_500;
const KEY = "key-1";
/** Time after a restore within which the operator writes again. */
const MAX_WRITTEN_AFTER_MS = 800;
const HEALTHY: StoreCondition = { requestDelayMs: 4, responseDelayMs: 4, mode: "well" };
const REFUSING: StoreCondition = { ...HEALTHY, mode: "refusing" };

type GossipEvent =
    | { readonly kind: "store"; readonly vm: number; readonly condition: StoreCondition; }
    | { readonly kind: "suspend"; readonly vm: number; readonly forMs: number; }
    | { readonly kind: "step"; readonly vm: number; readonly byMs: number; }
    | { readonly kind: "delay"; readonly requestMs: number; readonly responseMs: number; }
    /** The store goes back to a copy, and the operator writes the newest configuration again. */
    | { readonly kind: "restore"; readonly lostRecords: number; readonly writtenAfterMs: number; }
    | { readonly kind: "publish"; }
    | { readonly kind: "revoke"; };
type Schedule = readonly (readonly [number, GossipEvent])[];

/** Faults that the model has to detect: an age that counts from the arrival of a confirmation, a copy that confirms. */
type Mutant = "none" | "counted from the arrival" | "confirmed by the copy";

/** Delays between two VMs, in milliseconds. */
interface PeerDelays {
    requestMs: number;
    responseMs: number;
}

const vmArbitrary = fc.nat({ max: VM_COUNT - 1 });
const delayMsArbitrary = fc.constantFrom(1, 12, 400, 1_200);
const eventArbitrary: fc.Arbitrary<GossipEvent> = fc.oneof(
    fc.record({
        kind: fc.constant("store" as const),
        vm: vmArbitrary,
        condition: fc.constantFrom(HEALTHY, REFUSING, { ...HEALTHY, mode: "losing answers" as const }),
    }),
    fc.record({
        kind: fc.constant("suspend" as const),
        vm: vmArbitrary,
        forMs: fc.integer({ min: 200, max: 7_000 }),
    }),
    fc.record({
        kind: fc.constant("step" as const),
        vm: vmArbitrary,
        byMs: fc.integer({ min: -6_000, max: 6_000 }),
    }),
    fc.record({
        kind: fc.constant("delay" as const),
        requestMs: delayMsArbitrary,
        responseMs: delayMsArbitrary,
    }),
    fc.record({
        kind: fc.constant("restore" as const),
        lostRecords: fc.integer({ min: 1, max: 4 }),
        writtenAfterMs: fc.integer({ min: 0, max: MAX_WRITTEN_AFTER_MS }),
    }),
    fc.constantFrom<GossipEvent>({ kind: "publish" }, { kind: "revoke" }),
);
const scheduleArbitrary = fc.array(fc.tuple(fc.integer({ min: 0, max: STEP_COUNT - 1 }), eventArbitrary), {
    maxLength: 12,
});

const createEntry = (index: number): VmListEntry => ({
    name: `vm-${index}`,
    region: "south",
    dataCentre: "south-1",
    peerUrl: `model:${index}`,
    state: "live",
});

class FixedVmList extends VmList {
    static create(): FixedVmList {
        return new FixedVmList();
    }

    override read(): Promise<Result<VmListSnapshot, SchedulerError>> {
        return Promise.resolve(
            Ok({
                vms: Array.from({ length: VM_COUNT }, (unused, index) => createEntry(index)),
                endpoints: [],
            }),
        );
    }

    override register(): Promise<Result<void, SchedulerError>> {
        return Promise.resolve(Ok.EMPTY);
    }
}

/** Calls between the VMs of a model; a suspended VM handles a digest when it resumes. */
class DelayedTransport extends GossipTransport {
    private constructor(private readonly model: GossipModel, private readonly clock: SuspendableClock) {
        super();
    }

    static create(model: GossipModel, clock: SuspendableClock): DelayedTransport {
        return new DelayedTransport(model, clock);
    }

    override exchangeDigests(
        { name }: VmListEntry,
        digest: MemberDigest,
    ): Promise<Result<MemberDigest, SchedulerError>> {
        const { simulationClock, delays, vms } = this.model;
        const peer = vms.find(vm => vm.name === name);
        return new Promise(resolve => {
            this.clock.schedule(
                PEER_TIMEOUT_MS,
                () =>
                    resolve(Err(SchedulerError.create("PeerUnavailable", { peer: name, reason: "silent" }))),
            );
            simulationClock.schedule(delays.requestMs, () =>
                void peer?.clock.schedule(0, () => {
                    const response = peer.membership.handleDigest(digest);
                    simulationClock.schedule(
                        delays.responseMs,
                        () => void this.clock.schedule(0, () => resolve(Ok(response))),
                    );
                }));
        });
    }
}

class ModelVm {
    readonly clock: SuspendableClock;
    readonly membership: MembershipService;
    readonly name: string;
    condition = HEALTHY;
    private readonly activeConfiguration: ActiveConfiguration;
    private readonly admissionCheck: AdmissionCheck;

    private constructor(model: GossipModel, index: number, mutant: Mutant) {
        const logger = EventLogger.create(MemorySink.create());
        this.name = createEntry(index).name;
        this.clock = SuspendableClock.create(model.simulationClock);
        this.activeConfiguration = ActiveConfiguration.create(this.clock, logger);
        const follower = this.createFollower(model, index, logger, mutant);
        this.admissionCheck = AdmissionCheck.create({
            timers: this.clock,
            activeConfiguration: this.activeConfiguration,
            getAgeLimits: () => computeAgeLimits({ keyRevokeMs: KEY_REVOKE_MS, applyMs: APPLY_MS }),
            refreshConfiguration: () => follower.refresh(),
        });
        const freshness = GossipedFreshness.create({
            activeConfiguration: this.activeConfiguration,
            directory: InstanceDirectory.create(this.clock, logger),
            operatorRecords: {
                getPosition: () => undefined,
                onPeerPosition: () => undefined,
            },
        });
        if (mutant === "counted from the arrival") {
            freshness.confirm = version =>
                this.activeConfiguration.confirmVersion(version, ClockReading.create(this.clock));
        }
        this.membership = MembershipService.create({
            self: createEntry(index),
            timers: this.clock,
            random: SeededRandom.create(index + 1),
            logger,
            vmList: FixedVmList.create(),
            transport: DelayedTransport.create(model, this.clock),
            freshness,
            heartbeatMs: 500,
            peerTimeoutMs: 2_000,
            vmListPollMs: 8_000,
            getConfigurationVersion: () => this.activeConfiguration.routeTable?.configuration.version ?? -1,
        });
        follower.start();
        FreshnessKeeper.create({
            timers: this.clock,
            random: SeededRandom.create(index + 1),
            getAgeMs: () => this.activeConfiguration.getAgeMs(),
            isConfirmationAwaited: () => false,
            refresh: () => follower.refreshWhenAvailable(),
        }).start();
        void this.membership.start();
    }

    static create(model: GossipModel, index: number, mutant: Mutant): ModelVm {
        return new ModelVm(model, index, mutant);
    }

    async isAdmitted(): Promise<boolean> {
        const admitted = await this.admissionCheck.admit({ host: "wax.example", path: "/stock/1" }, {
            ...createRequestMetadata({}),
            key: KEY,
        });
        return admitted.isOk();
    }

    private createFollower(
        model: GossipModel,
        index: number,
        logger: EventLogger,
        mutant: Mutant,
    ): TopicFollower {
        const apply = (value: Buffer | undefined): void => {
            const { version, keys } = JSON.parse(String(value)) as { version: number; keys: string[]; };
            this.activeConfiguration.apply(
                createRoutingConfiguration({ version, workspaces: [{ name: "lushoto", keys }] }),
            );
        };
        return TopicFollower.create({
            store: FaultInjectingStore.create({
                topic: model.topic,
                simulationClock: model.simulationClock,
                timers: this.clock,
                getCondition: () => this.condition,
            }),
            topic: "operator",
            timers: this.clock,
            random: SeededRandom.create(index + 1),
            logger,
            longPollMs: 4_000,
            pauseMs: 0,
            listener: {
                applySnapshot: (records, isRestored) => {
                    records.forEach(({ value }) => apply(value));
                    if (isRestored && mutant === "confirmed by the copy") {
                        this.activeConfiguration.confirm(ClockReading.create(this.clock));
                    }
                },
                applyChanges: records => records.forEach(({ value }) => apply(value)),
                confirm: sentAt => this.activeConfiguration.confirm(sentAt),
                handleStoreLost: () => undefined,
                handleStoreRecovered: () => undefined,
            },
        });
    }
}

class GossipModel {
    readonly simulationClock = VirtualTimerService.create();
    readonly topic = StoredTopic.create();
    readonly delays: PeerDelays = { requestMs: 1, responseMs: 1 };
    readonly vms: readonly ModelVm[];
    /** Time from the acknowledgement of the revocation to the latest admission of the key, in milliseconds. */
    latestAdmissionAfterRevokeMs = Number.NEGATIVE_INFINITY;
    /** Requests with a valid key that each VM refused after the first ten seconds. */
    readonly refusalsByVm = Array.from({ length: VM_COUNT }, () => 0);
    private version = 0;
    private revokedAt: number | undefined;

    private constructor(mutant: Mutant) {
        this.publish();
        this.vms = Array.from({ length: VM_COUNT }, (unused, index) => ModelVm.create(this, index, mutant));
    }

    static async simulate(schedule: Schedule, mutant: Mutant): Promise<GossipModel> {
        const model = new GossipModel(mutant);
        model.simulationClock.scheduleRepeating(
            REQUEST_INTERVAL_MS,
            () => model.vms.forEach((vm, index) => void model.sendRequest(vm, index)),
        );
        for (let step = 0; step < STEP_COUNT; step += 1) {
            schedule.filter(([at]) => at === step).forEach(([, event]) => model.apply(event));
            await model.simulationClock.advance(STEP_MS);
        }
        return model;
    }

    private async sendRequest(vm: ModelVm, index: number): Promise<void> {
        if (vm.clock.isSuspended) {
            return;
        }
        const isAdmitted = await vm.isAdmitted();
        const now = this.simulationClock.now();
        if (isAdmitted && this.revokedAt !== undefined) {
            this.latestAdmissionAfterRevokeMs = Math.max(
                this.latestAdmissionAfterRevokeMs,
                now - this.revokedAt,
            );
        }
        if (!isAdmitted && this.revokedAt === undefined && now > 10_000) {
            this.refusalsByVm[index] = (this.refusalsByVm[index] ?? 0) + 1;
        }
    }

    private apply(event: GossipEvent): void {
        switch (event.kind) {
            case "store":
                this.getVm(event.vm).condition = event.condition;
                return;
            case "suspend":
                return this.getVm(event.vm).clock.suspend(event.forMs);
            case "step":
                return this.getVm(event.vm).clock.stepWallClock(event.byMs);
            case "delay":
                this.delays.requestMs = event.requestMs;
                this.delays.responseMs = event.responseMs;
                return;
            case "restore":
                this.topic.restore(event.lostRecords);
                this.simulationClock.schedule(event.writtenAfterMs, () => this.write());
                return;
            case "publish":
                return this.publish();
            case "revoke":
                this.revokedAt ??= this.simulationClock.now();
                return this.publish();
        }
    }

    private getVm(index: number): ModelVm {
        const vm = this.vms[index];
        if (vm === undefined) {
            throw new RangeError(`there is no VM ${index}`);
        }
        return vm;
    }

    private publish(): void {
        this.version += 1;
        this.write();
    }

    private write(): void {
        const keys = this.revokedAt === undefined ? [KEY, "key-2"] : ["key-2"];
        this.topic.write("config", JSON.stringify({ version: this.version, keys }));
    }
}

propertyTest.prop([scheduleArbitrary], readPropertyParameters(60))(
    "revoked keys are refused within the bound by every VM, whoever confirms its configuration",
    async schedule => {
        const { latestAdmissionAfterRevokeMs } = await GossipModel.simulate(schedule, "none");
        expect(latestAdmissionAfterRevokeMs).toBeLessThanOrEqual(KEY_REVOKE_MS);
    },
);

test("a VM that the store turns away admits keys while the others confirm its configuration", async () => {
    const { refusalsByVm } = await GossipModel.simulate([
        [8, { kind: "store", vm: 0, condition: REFUSING }],
    ], "none");
    expect(refusalsByVm).toEqual([0, 0, 0]);
});

test("a VM that the store turns away refuses keys once the others have another configuration", async () => {
    const { latestAdmissionAfterRevokeMs, refusalsByVm } = await GossipModel.simulate([
        [8, { kind: "store", vm: 0, condition: REFUSING }],
        [10, { kind: "publish" }],
    ], "none");
    expect(latestAdmissionAfterRevokeMs).toBe(Number.NEGATIVE_INFINITY);
    expect(refusalsByVm[0]).toBeGreaterThan(0);
    expect(refusalsByVm.slice(1)).toEqual([0, 0]);
});

test("the model detects an age that counts from the arrival of a confirmation", async () => {
    const outcomes = await Promise.all([14, 15, 16, 17].map(step =>
        GossipModel.simulate([
            [6, { kind: "delay", requestMs: 1, responseMs: 1_200 }],
            ...[0, 1, 2].map(vm => [step, { kind: "store", vm, condition: REFUSING }] as const),
            [step, { kind: "revoke" }],
        ], "counted from the arrival")
    ));
    expect(Math.max(...outcomes.map(({ latestAdmissionAfterRevokeMs }) => latestAdmissionAfterRevokeMs)))
        .toBeGreaterThan(KEY_REVOKE_MS);
});

// CONFIG: VMs that had missed a revocation took the copy of a restored store, which lacks it, for the newest state.
test("the model detects a copy of a restored store that confirms a configuration", async () => {
    const outcomes = await Promise.all([18, 19, 20, 21].map(step =>
        GossipModel.simulate([
            ...[0, 1, 2].map(vm => [4, { kind: "store", vm, condition: REFUSING }] as const),
            [8, { kind: "revoke" }],
            ...[0, 1, 2].map(vm => [step, { kind: "store", vm, condition: HEALTHY }] as const),
            [step, { kind: "restore", lostRecords: 1, writtenAfterMs: MAX_WRITTEN_AFTER_MS }],
        ], "confirmed by the copy")
    ));
    expect(Math.max(...outcomes.map(({ latestAdmissionAfterRevokeMs }) => latestAdmissionAfterRevokeMs)))
        .toBeGreaterThan(KEY_REVOKE_MS);
});
