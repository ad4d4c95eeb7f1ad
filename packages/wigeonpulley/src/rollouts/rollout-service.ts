/**
 * Carries out rollout orders. Every VM decides by itself which version its requests get, from the age of the order, its
 * own exposure cap and the evidence of all VMs; the store only holds the states of the rollouts.
 */
import type { Instance } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import { VersionPolicy } from "../placement/index.js";
import type { RandomSource } from "../random/index.js";
import { type CancelTimer, ClockReading, type TimerService } from "../time/index.js";
import { isFinalState, type RolloutOrder, type RolloutState } from "./rollout-order.js";
import type { RolloutStateStore } from "./rollout-state-store.js";
import { Rollout, type RolloutProgress } from "./rollout.js";

/** Options of the service. */
export interface RolloutServiceOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly stateStore: RolloutStateStore;
    /** Reads the orders, not before the call; true when all that the store held then were applied. */
    readonly catchUpWithOrders: () => Promise<boolean>;
    /** Returns this VM's index among the live ones, in an order that all VMs agree on. */
    readonly getWriterIndex: () => number;
    /** Returns the number of VMs that share the exposure that operators allow, live or not. */
    readonly countVms: () => number;
    /** Returns the exposure that operators allow a canary before its deadline, over all VMs. */
    readonly getExposure: () => { readonly share: number; readonly slack: number; };
}

/** Interval at which rollouts are evaluated. */
const CHECK_INTERVAL_MS = 100;
/**
 * Delay between the writes of successive VMs in the order. It is several store calls long, so that usually only one VM
 * writes.
 */
const WRITER_STAGGER_MS = 250;
/** Delay before a failed read or write is retried. */
const RETRY_DELAY_MS = 400;
/** Delay of other calls after the store was restored: until the VMs that know a state have written it again. */
const RESTORE_WRITE_DELAY_MS = 1_500;

interface Entry {
    readonly rollout: Rollout;
    /** State that is due to be written, and since when (monotonic, in milliseconds). */
    dueWrite: { readonly state: RolloutState; readonly since: number; } | undefined;
    /** Earliest time of the next store call (monotonic, in milliseconds). */
    retryAt: number;
    isStoreCallRunning: boolean;
    /** True when the store may have lost the known state, which then has to be written again. */
    isStateLost: boolean;
}

/** Rollout service of one VM. */
export class RolloutService extends VersionPolicy {
    private readonly entries = new Map<string, Entry>();
    /** Versions of each service whose orders were replaced by later ones. */
    private readonly supersededVersions = new Map<string, Set<string>>();
    /**
     * Known versions of each service. A new one carries the time of its first appearance and becomes accepted when a
     * later read of the orders has completed.
     */
    private readonly versions = new Map<string, Map<string, ClockReading | "accepted">>();
    private cancelChecks: CancelTimer = () => undefined;

    private constructor(private readonly options: RolloutServiceOptions) {
        super();
    }

    /** Creates a service without orders. */
    static create(options: RolloutServiceOptions): RolloutService {
        return new RolloutService(options);
    }

    /**
     * Applies an order and starts to evaluate it. Has no effect if the newest order of the service is for the same
     * version, or if a restored store holds an order that a later one replaced.
     */
    applyOrder(order: RolloutOrder, isRestored = false): void {
        const current = this.entries.get(order.service)?.rollout.order;
        const superseded = this.supersededVersions.get(order.service) ?? new Set();
        if (current?.version === order.version || (isRestored && superseded.has(order.version))) {
            return;
        }
        if (current !== undefined) {
            this.supersededVersions.set(order.service, superseded.add(current.version));
        }
        const { timers, logger, getExposure, countVms } = this.options;
        const rollout = Rollout.create(
            order,
            timers,
            () => ({ ...getExposure(), vmCount: countVms() }),
        );
        this.entries.set(order.service, {
            rollout,
            dueWrite: undefined,
            retryAt: 0,
            isStoreCallRunning: false,
            isStateLost: false,
        });
        logger.write("RolloutOrdered", { ...order });
        this.startChecks();
    }

    /**
     * Writes the known states again, since the store was restored from a copy that may lack them. Other states wait for
     * that, so that a VM which doesn't know a final state doesn't write another one.
     */
    handleStoreRestored(): void {
        const { timers, getWriterIndex } = this.options;
        for (const entry of this.entries.values()) {
            entry.isStateLost = entry.rollout.isStateKnown;
            entry.retryAt = timers.now()
                + (entry.isStateLost
                    ? getWriterIndex() * WRITER_STAGGER_MS
                    : RESTORE_WRITE_DELAY_MS);
        }
        this.startChecks();
    }

    /**
     * Records the known instances. An instance of a new version may appear before the order for it was read, so it gets
     * no requests until a read of the orders that started later has completed.
     */
    recordInstances(instances: readonly Instance[]): void {
        for (const { service, version } of instances) {
            const versions = this.versions.get(service) ?? new Map<string, ClockReading | "accepted">();
            this.versions.set(service, versions);
            if (!versions.has(version)) {
                versions.set(
                    version,
                    versions.size === 0 ? "accepted" : ClockReading.create(this.options.timers),
                );
            }
        }
    }

    /** True while an instance of a version is known for which no order could have been read yet. */
    get hasUnconfirmedVersion(): boolean {
        return [...this.versions.values()].some(versions =>
            [...versions.values()].some(seenAt => seenAt !== "accepted")
        );
    }

    /** Records that a read of the orders that started at `sentAt` has completed and that its result was applied. */
    recordOrdersRead(sentAt: ClockReading): void {
        for (const versions of this.versions.values()) {
            for (const [version, seenAt] of versions) {
                if (seenAt !== "accepted" && sentAt.isAfter(seenAt)) {
                    versions.set(version, "accepted");
                }
            }
        }
    }

    /** Applies another VM's reports; those on orders that this VM doesn't know are ignored. */
    applyReports(vm: string, reports: readonly RolloutProgress[]): void {
        for (const report of reports) {
            const rollout = this.entries.get(report.service)?.rollout;
            if (rollout?.order.version === report.version) {
                const wasBad = rollout.isBad;
                rollout.applyReport(vm, report);
                if (rollout.isBad && !wasBad) {
                    this.writeBadEvent(rollout, vm);
                }
            }
        }
    }

    /** Returns what this VM reports to the others. */
    listReports(): readonly RolloutProgress[] {
        return [...this.entries.values()].map(({ rollout }) => rollout.createReport());
    }

    /** Stops all checks. */
    stop(): void {
        this.cancelChecks();
    }

    override chooseCanary(service: string): boolean {
        const rollout = this.entries.get(service)?.rollout;
        return rollout !== undefined && this.options.random.pickFraction() < rollout.computeCanaryShare();
    }

    override canUse(instance: Instance, isCanary: boolean): boolean {
        const rollout = this.entries.get(instance.service)?.rollout;
        if (rollout === undefined || instance.version !== rollout.order.version) {
            return this.versions.get(instance.service)?.get(instance.version) === "accepted";
        }
        if (rollout.state === "completed") {
            return true;
        }
        return isCanary && !rollout.isBad && rollout.exposureCap.hasCapacity();
    }

    override isCanaryVersion(instance: Instance): boolean {
        return this.entries.get(instance.service)?.rollout.order.version === instance.version;
    }

    override recordDispatch(instance: Instance): void {
        const rollout = this.entries.get(instance.service)?.rollout;
        rollout?.exposureCap.recordDispatch(instance.version === rollout.order.version);
    }

    override recordOutcome(instance: Instance, route: string, elapsedMs: number | undefined): void {
        const rollout = this.entries.get(instance.service)?.rollout;
        if (rollout === undefined || rollout.state !== "active") {
            return;
        }
        if (instance.version !== rollout.order.version) {
            rollout.analysis.recordBaseline(route, elapsedMs);
            return;
        }
        rollout.analysis.recordCanary(route, elapsedMs);
        if (rollout.evaluate()) {
            this.writeBadEvent(rollout, "");
        }
    }

    private startChecks(): void {
        this.cancelChecks();
        this.cancelChecks = this.options.timers.scheduleRepeating(CHECK_INTERVAL_MS, () => this.check());
    }

    private check(): void {
        const isDone = [...this.entries.values()].every(({ rollout, isStateLost }) =>
            isFinalState(rollout.state) && !isStateLost
        );
        if (isDone) {
            this.cancelChecks();
        }
        for (const entry of this.entries.values()) {
            if (entry.rollout.evaluate()) {
                this.writeBadEvent(entry.rollout, "");
            }
            if (!entry.isStoreCallRunning && this.options.timers.now() >= entry.retryAt) {
                void this.updateState(entry);
            }
        }
    }

    /** Reads the state from the store if it is unknown; otherwise writes a due state after this VM's stagger delay. */
    private async updateState(entry: Entry): Promise<void> {
        const { rollout } = entry;
        if (!rollout.isStateKnown) {
            return this.restoreState(entry);
        }
        if (entry.isStateLost) {
            return this.writeState(entry, rollout.state);
        }
        const { timers, getWriterIndex } = this.options;
        const state = rollout.findDueState();
        if (state !== entry.dueWrite?.state) {
            entry.dueWrite = state === undefined ? undefined : { state, since: timers.now() };
        }
        if (
            entry.dueWrite !== undefined
            && timers.now() >= entry.dueWrite.since + getWriterIndex() * WRITER_STAGGER_MS
        ) {
            await this.writeState(entry, entry.dueWrite.state);
        }
    }

    /** Reads the stored state, since an old order may have been carried out before this VM started. */
    private async restoreState(entry: Entry): Promise<void> {
        const { timers, stateStore, getWriterIndex } = this.options;
        const { service, version } = entry.rollout.order;
        entry.isStoreCallRunning = true;
        const stored = await stateStore.readState(service, version);
        if (stored.isErr()) {
            this.recordFailure(entry, stored.error.message);
            return;
        }
        entry.rollout.applyState(stored.value ?? "active");
        entry.isStoreCallRunning = false;
        if (stored.value === undefined) {
            await timers.sleep(getWriterIndex() * WRITER_STAGGER_MS);
            await this.writeState(entry, "active");
        }
    }

    private async writeState(entry: Entry, state: RolloutState): Promise<void> {
        const { stateStore, logger } = this.options;
        const { service, version } = entry.rollout.order;
        entry.isStoreCallRunning = true;
        const result = await stateStore.write({ service, version, state }, () => this.isCurrent(entry));
        if (result.isErr()) {
            this.recordFailure(entry, result.error.message);
            return;
        }
        entry.isStoreCallRunning = false;
        entry.isStateLost = false;
        entry.rollout.applyState(result.value);
        logger.write("RolloutState", { service, version, wanted: state, state: result.value });
    }

    /** True when the newest order in the store is the one that the entry carries out. */
    private async isCurrent(entry: Entry): Promise<boolean> {
        return await this.options.catchUpWithOrders()
            && this.entries.get(entry.rollout.order.service) === entry;
    }

    private recordFailure(entry: Entry, reason: string): void {
        const { service, version } = entry.rollout.order;
        entry.isStoreCallRunning = false;
        entry.retryAt = this.options.timers.now() + RETRY_DELAY_MS;
        this.options.logger.write("RolloutNotWritten", { service, version, reason });
    }

    private writeBadEvent({ order, analysis }: Rollout, heardFrom: string): void {
        const counts = analysis.listSamples();
        this.options.logger.write("RolloutBad", {
            service: order.service,
            version: order.version,
            heardFrom,
            good: counts.reduce((sum, { good }) => sum + good, 0),
            bad: counts.reduce((sum, { bad }) => sum + bad, 0),
        });
    }
}
