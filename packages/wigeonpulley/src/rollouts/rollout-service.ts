/**
 * Carries out orders to move services to other versions. Every VM decides by itself what it sends where, from the order's
 * time, its own cap and the evidence of all VMs; the store is only asked for, and told, the states.
 */
import type { Instance } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import { VersionPolicy } from "../placement/index.js";
import type { RandomSource } from "../random/index.js";
import { type CancelTimer, ClockReading, type TimerService } from "../time/index.js";
import { isFinalState, type RolloutOrder, type RolloutState } from "./rollout-order.js";
import type { RolloutStateStore } from "./rollout-state-store.js";
import { Rollout, type RolloutProgress } from "./rollout.js";

/** What the service is built from. */
export interface RolloutServiceOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly writer: RolloutStateStore;
    /** Live VMs in an order that all agree on, this one included, and this one's place among them. */
    readonly getWriterPosition: () => { readonly index: number; readonly vmCount: number; };
    /** What operators allow a new version before its deadline, over all VMs. */
    readonly getExposure: () => { readonly share: number; readonly slack: number; };
}

/** Interval at which roll-outs are looked at, in milliseconds. */
const CHECK_MS = 100;
/** Time by which each next VM writes later than the one before it, in milliseconds; several calls to the store. */
const TURN_MS = 250;
/** Delay before a failed write is repeated, in milliseconds. */
const RETRY_MS = 400;

interface Entry {
    readonly rollout: Rollout;
    /** What is to be written, since when, and not before when it is tried again; monotonic times in milliseconds. */
    due: { readonly state: RolloutState; readonly since: number; } | undefined;
    tryAt: number;
    isWriting: boolean;
}

/** Roll-outs of one VM. */
export class RolloutService extends VersionPolicy {
    private readonly entries = new Map<string, Entry>();
    /** Versions of each service, with the moment of their first appearance until an order for them would have been read. */
    private readonly versions = new Map<string, Map<string, ClockReading | "accepted">>();
    private cancelChecks: CancelTimer = () => undefined;

    private constructor(private readonly options: RolloutServiceOptions) {
        super();
    }

    /** Creates a service without orders. */
    static create(options: RolloutServiceOptions): RolloutService {
        return new RolloutService(options);
    }

    /** Takes an order over; the same one again changes nothing. */
    applyOrder(order: RolloutOrder): void {
        const known = this.entries.get(order.service)?.rollout.order;
        if (known?.version === order.version) {
            return;
        }
        const { timers, logger, getExposure, getWriterPosition } = this.options;
        const rollout = Rollout.create(
            order,
            timers,
            () => ({ ...getExposure(), vmCount: getWriterPosition().vmCount }),
        );
        this.entries.set(order.service, { rollout, due: undefined, tryAt: 0, isWriting: false });
        logger.write("RolloutOrdered", { ...order });
        this.cancelChecks();
        this.cancelChecks = timers.scheduleRepeating(CHECK_MS, () => this.check());
    }

    /**
     * Notes the instances there are. One of a new version may appear before the order to try it was read, so it gets
     * nothing until a read of the orders that was sent later has been answered.
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

    /** Notes that a read of the orders sent at this moment has been answered and applied. */
    recordOrdersRead(sentAt: ClockReading): void {
        for (const versions of this.versions.values()) {
            for (const [version, seenAt] of versions) {
                if (seenAt !== "accepted" && sentAt.isAfter(seenAt)) {
                    versions.set(version, "accepted");
                }
            }
        }
    }

    /** Takes another VM's reports over. */
    applyReports(vm: string, reports: readonly RolloutProgress[]): void {
        for (const report of reports) {
            const rollout = this.entries.get(report.service)?.rollout;
            if (rollout?.order.version === report.version) {
                const wasBad = rollout.isBad;
                rollout.applyReport(vm, report);
                if (rollout.isBad && !wasBad) {
                    this.writeVerdict(rollout, vm);
                }
            }
        }
    }

    /** What this VM tells the others. */
    listReports(): readonly RolloutProgress[] {
        return [...this.entries.values()].map(({ rollout }) => rollout.createReport());
    }

    /** Ends all checks. */
    stop(): void {
        this.cancelChecks();
    }

    override chooseCanary(service: string): boolean {
        const rollout = this.entries.get(service)?.rollout;
        return rollout !== undefined && this.options.random.pickFraction() < rollout.computeCanaryShare();
    }

    override canUse(instance: Instance, isTrial: boolean): boolean {
        const rollout = this.entries.get(instance.service)?.rollout;
        if (rollout === undefined || instance.version !== rollout.order.version) {
            return this.versions.get(instance.service)?.get(instance.version) === "accepted";
        }
        if (rollout.state === "completed") {
            return true;
        }
        return isTrial && !rollout.isBad && rollout.cap.hasCapacity();
    }

    override isCanaryVersion(instance: Instance): boolean {
        return this.entries.get(instance.service)?.rollout.order.version === instance.version;
    }

    override recordDispatch(instance: Instance): void {
        const rollout = this.entries.get(instance.service)?.rollout;
        rollout?.cap.recordDispatch(instance.version === rollout.order.version);
    }

    override recordOutcome(instance: Instance, route: string, elapsedMs: number | undefined): void {
        const rollout = this.entries.get(instance.service)?.rollout;
        if (rollout === undefined || rollout.state !== "active") {
            return;
        }
        if (instance.version !== rollout.order.version) {
            rollout.evidence.recordBaseline(route, elapsedMs);
            return;
        }
        rollout.evidence.recordCanary(route, elapsedMs);
        if (rollout.evaluate()) {
            this.writeVerdict(rollout, "");
        }
    }

    private check(): void {
        if ([...this.entries.values()].every(({ rollout }) => isFinalState(rollout.state))) {
            this.cancelChecks();
        }
        for (const entry of this.entries.values()) {
            if (entry.rollout.evaluate()) {
                this.writeVerdict(entry.rollout, "");
            }
            if (!entry.isWriting && this.options.timers.now() >= entry.tryAt) {
                void this.advance(entry);
            }
        }
    }

    /** Asks the store for the state, or writes the one that is due when it is this VM's turn. */
    private async advance(entry: Entry): Promise<void> {
        const { rollout } = entry;
        if (!rollout.isStateKnown) {
            return this.learnState(entry);
        }
        const { timers, getWriterPosition } = this.options;
        const state = rollout.findDueState();
        if (state !== entry.due?.state) {
            entry.due = state === undefined ? undefined : { state, since: timers.now() };
        }
        if (
            entry.due !== undefined && timers.now() >= entry.due.since + getWriterPosition().index * TURN_MS
        ) {
            await this.writeState(entry, entry.due.state);
        }
    }

    /** An order may be old: it may have been carried out before this VM started. */
    private async learnState(entry: Entry): Promise<void> {
        const { timers, writer, getWriterPosition } = this.options;
        const { service, version } = entry.rollout.order;
        entry.isWriting = true;
        const read = await writer.readState(service, version);
        if (read.isErr()) {
            this.noteFailure(entry, read.error.message);
            return;
        }
        entry.rollout.applyState(read.value ?? "active");
        entry.isWriting = false;
        if (read.value === undefined) {
            await timers.sleep(getWriterPosition().index * TURN_MS);
            await this.writeState(entry, "active");
        }
    }

    private async writeState(entry: Entry, state: RolloutState): Promise<void> {
        const { writer, logger } = this.options;
        const { service, version } = entry.rollout.order;
        entry.isWriting = true;
        const written = await writer.write({ service, version, state });
        if (written.isErr()) {
            this.noteFailure(entry, written.error.message);
            return;
        }
        entry.isWriting = false;
        entry.rollout.applyState(written.value);
        logger.write("RolloutState", { service, version, wanted: state, state: written.value });
    }

    private noteFailure(entry: Entry, reason: string): void {
        const { service, version } = entry.rollout.order;
        entry.isWriting = false;
        entry.tryAt = this.options.timers.now() + RETRY_MS;
        this.options.logger.write("RolloutNotWritten", { service, version, reason });
    }

    private writeVerdict({ order, evidence }: Rollout, heardFrom: string): void {
        const counts = evidence.listSamples();
        this.options.logger.write("RolloutBad", {
            service: order.service,
            version: order.version,
            heardFrom,
            good: counts.reduce((sum, { good }) => sum + good, 0),
            bad: counts.reduce((sum, { bad }) => sum + bad, 0),
        });
    }
}
