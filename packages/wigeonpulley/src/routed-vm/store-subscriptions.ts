/** Follows the records of operators and instances in the store, and applies them to the parts of the VM. */
import type { Evacuations, Instance, InstanceChange, InstanceDirectory } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import type { StoreReadingRole } from "../membership/index.js";
import type { WorkMeter } from "../processor/index.js";
import type { RandomSource } from "../random/index.js";
import type { RolloutService } from "../rollouts/index.js";
import type { ActiveConfiguration } from "../routing/index.js";
import {
    DEFAULT_REFRESH_AGE,
    FreshnessKeeper,
    type KeyedRecord,
    RecordArchive,
    type RecordBatch,
    type RefreshAge,
    TopicFollower,
    type TopicPosition,
} from "../store/index.js";
import type { ClockReading, TimerService } from "../time/index.js";
import type { OperatorRecord, PlatformAdapter } from "./platform-adapter.js";

/** Dependencies of the followers, and the parts that the records are applied to. */
export interface StoreSubscriptionsOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly adapter: PlatformAdapter;
    readonly activeConfiguration: ActiveConfiguration;
    readonly directory: InstanceDirectory;
    readonly evacuations: Evacuations;
    readonly rollouts: RolloutService;
    /** Time within which a leaving instance gets no more requests, in milliseconds. */
    readonly drainMs: number;
    /** Returns whether this VM reads the store for others, follows one that does, or reads for itself alone. */
    readonly getReadingRole: () => StoreReadingRole;
    readonly work?: WorkMeter;
}

/** Long-poll time of the operators' records, in milliseconds. */
const OPERATOR_LONG_POLL_MS = 4_000;
/**
 * Least pause between reads of the instances, as a share of the time within which a leaving one gets no more requests. Their
 * records change too often for a long poll.
 */
const INSTANCE_PAUSE_SHARE = 0.25;
/**
 * Age of the copy of the list at which it is read again, as a share of the same time. A reader's copy reaches the VMs that
 * follow it within half a second.
 */
const INSTANCE_AGE_SHARES: Readonly<Record<StoreReadingRole, number>> = {
    independent: 0.4,
    reader: 0,
    follower: 0.45,
};
/**
 * Ages at which the configuration is confirmed. A reader's confirmation reaches the VMs that ask it twice a second before
 * their own is due. All stay below the 1.5 s that remain of the bound on revoked keys after a loss of the store.
 */
const REFRESH_AGES: Readonly<Record<StoreReadingRole, RefreshAge>> = {
    independent: DEFAULT_REFRESH_AGE,
    reader: { minMs: 350, spreadMs: 150 },
    follower: { minMs: 1_250, spreadMs: 150 },
};
/**
 * The same for a VM that knows of a newer version and gets it from other VMs: a read of the store would fetch a long record a
 * second time, over the link that the region's other VMs need.
 */
const BEHIND_REFRESH_AGE: RefreshAge = { minMs: 2_800, spreadMs: 300 };

/** Subscriptions of one VM. */
export class StoreSubscriptions {
    private readonly operatorFollower: TopicFollower;
    private readonly operatorRecords = RecordArchive.create();
    private readonly instanceFollower: TopicFollower;
    /** Parsed records; comparing them with their successors would parse each several times. */
    private readonly parsedInstances = new WeakMap<KeyedRecord, Instance | "invalid">();
    private readonly instanceRecords = RecordArchive.create((before, after) =>
        hasSameContent(this.parseInstance(before), this.parseInstance(after))
    );
    /** When the copy of the list of instances was last known to be complete. */
    private instancesConfirmedAt: ClockReading | undefined;
    private readonly freshnessKeeper: FreshnessKeeper;

    private constructor(private readonly options: StoreSubscriptionsOptions) {
        this.operatorFollower = this.createOperatorFollower();
        this.instanceFollower = this.createInstanceFollower();
        this.freshnessKeeper = FreshnessKeeper.create({
            ...options,
            getAgeMs: () => options.activeConfiguration.getAgeMs(),
            getRefreshAge: () => this.getRefreshAge(),
            isConfirmationAwaited: () => options.rollouts.hasUnconfirmedVersion,
            refresh: () => this.operatorFollower.refreshWhenAvailable(),
        });
    }

    /** Creates subscriptions that have read nothing. */
    static create(options: StoreSubscriptionsOptions): StoreSubscriptions {
        return new StoreSubscriptions(options);
    }

    /** Starts reading the list of instances. */
    startReadingInstances(): void {
        this.instanceFollower.start();
    }

    /** Starts reading the operators' records. */
    startReadingOperators(): void {
        this.operatorFollower.start();
        this.freshnessKeeper.start();
    }

    /** Stops reading. */
    stop(): void {
        this.operatorFollower.stop();
        this.instanceFollower.stop();
        this.freshnessKeeper.stop();
    }

    /** Reads the operators' records at once. Resolves when the read has ended, even if it failed. */
    refreshOperatorRecords(): Promise<void> {
        return this.operatorFollower.refresh();
    }

    /** Reads the operators' records at once unless the store is known to be unavailable. */
    refreshOperatorRecordsWhenAvailable(): void {
        this.operatorFollower.refreshWhenAvailable();
    }

    /** Reads the operators' records, not before the call; true when all that the store held then were applied. */
    catchUpWithOperators(): Promise<boolean> {
        return this.operatorFollower.catchUp();
    }

    /** Position up to which the operators' records were read; undefined before that. */
    get operatorPosition(): TopicPosition | undefined {
        return this.operatorFollower.readPosition;
    }

    /** Returns the operators' records that a VM at a position lacks. */
    listOperatorRecordsSince(position: TopicPosition | undefined): RecordBatch | undefined {
        return this.operatorRecords.listSince(position);
    }

    /** Applies operators' records that another VM has read from a position on. */
    applyOperatorRecords(position: TopicPosition | undefined, batch: RecordBatch): void {
        this.operatorFollower.applyFetched(position, batch);
    }

    /** Position up to which the list of instances was read; undefined before that. */
    get instancePosition(): TopicPosition | undefined {
        return this.instanceFollower.readPosition;
    }

    /** Offset after the last record that changed more than an entry's sequence number; undefined before the first read. */
    get instanceChangedOffset(): number | undefined {
        return this.instanceRecords.changedOffset;
    }

    /** Time since the list of instances was last known to be complete, in milliseconds; infinite if it never was. */
    getInstanceListAgeMs(): number {
        return this.instancesConfirmedAt?.computeAgeMs(this.options.timers) ?? Number.POSITIVE_INFINITY;
    }

    /** Returns the records of instances that a copy at a position lacks. */
    listInstanceRecordsSince(position: TopicPosition | undefined): RecordBatch | undefined {
        return this.instanceRecords.listSince(position);
    }

    /** Applies records of instances that another VM's complete copy has after this one's position. */
    applyInstanceRecords(position: TopicPosition, batch: RecordBatch, confirmedAt: ClockReading): void {
        if (isSamePosition(position, this.instancePosition) && position.offset <= batch.next.offset) {
            this.instanceFollower.applyFetched(position, batch);
            this.confirmInstances(confirmedAt);
        }
    }

    /** Records that the copy of the list was complete at the time of a reading. */
    confirmInstances(reading: ClockReading): void {
        if (this.instancesConfirmedAt === undefined || reading.isAfter(this.instancesConfirmedAt)) {
            this.instancesConfirmedAt = reading;
        }
    }

    private getRefreshAge(): RefreshAge {
        const role = this.options.getReadingRole();
        return role === "follower" && this.options.activeConfiguration.isBehind
            ? BEHIND_REFRESH_AGE
            : REFRESH_AGES[role];
    }

    private isInstanceReadDue(): boolean {
        const { drainMs, getReadingRole } = this.options;
        return this.getInstanceListAgeMs() > drainMs * INSTANCE_AGE_SHARES[getReadingRole()];
    }

    private createOperatorFollower(): TopicFollower {
        const { adapter, activeConfiguration, evacuations, rollouts } = this.options;
        const applySnapshot = (records: readonly KeyedRecord[], isRestored: boolean): void => {
            const { operatorPosition } = this;
            if (operatorPosition !== undefined) {
                this.operatorRecords.applySnapshot(records, operatorPosition);
            }
            const parsed = records.flatMap(record => this.readOperatorRecord(record) ?? []);
            // Before the configuration, from which on requests are admitted.
            evacuations.applySnapshot(
                new Set(
                    parsed.flatMap(record =>
                        record.kind === "evacuation" && record.isRequested ? [record.dataCentre] : []
                    ),
                ),
            );
            parsed.forEach(record => this.applyOperatorRecord(record, isRestored));
            if (isRestored) {
                rollouts.handleStoreRestored();
            }
        };
        return TopicFollower.create({
            ...this.options,
            store: adapter.store,
            topic: "operator",
            longPollMs: OPERATOR_LONG_POLL_MS,
            pauseMs: 0,
            // A follower gets new records from the VMs of its region that have them.
            isReadDue: () => this.options.getReadingRole() !== "follower",
            listener: {
                applySnapshot,
                applyChanges: records => {
                    const { operatorPosition } = this;
                    if (operatorPosition !== undefined) {
                        this.operatorRecords.applyChanges(records, operatorPosition);
                    }
                    records.forEach(record => this.applyOperatorChange(record));
                },
                confirm: sentAt => {
                    activeConfiguration.confirm(sentAt);
                    rollouts.recordOrdersRead(sentAt);
                },
                handleStoreLost: () => undefined,
                handleStoreRecovered: () => undefined,
            },
        });
    }

    /** Parses a record of the operators; one that is invalid has no effect. */
    private readOperatorRecord(record: KeyedRecord): OperatorRecord | undefined {
        const { adapter, logger } = this.options;
        logger.write("OperatorRecordRead", { key: record.key, offset: record.offset });
        const parsed = adapter.parseOperatorRecord(record);
        if (parsed.isErr()) {
            logger.writeError(parsed.error);
            return undefined;
        }
        return parsed.value;
    }

    private applyOperatorChange(record: KeyedRecord): void {
        const parsed = this.readOperatorRecord(record);
        if (parsed?.kind === "evacuation") {
            this.options.evacuations.applyChange(parsed.dataCentre, parsed.isRequested);
        }
        else if (parsed !== undefined) {
            this.applyOperatorRecord(parsed, false);
        }
    }

    /** Applies a configuration or an order. */
    private applyOperatorRecord(record: OperatorRecord, isRestored: boolean): void {
        const { activeConfiguration, rollouts } = this.options;
        if (record.kind === "configuration") {
            activeConfiguration.apply(record.configuration);
        }
        else if (record.kind === "rollout") {
            rollouts.applyOrder(record.order, isRestored);
        }
    }

    private createInstanceFollower(): TopicFollower {
        const { adapter, directory, drainMs } = this.options;
        const parseAll = (records: readonly KeyedRecord[]): readonly InstanceChange[] =>
            records.map(record => ({ id: record.key, instance: this.parseInstance(record) }));
        return TopicFollower.create({
            ...this.options,
            store: adapter.store,
            topic: "instances",
            longPollMs: 0,
            pauseMs: drainMs * INSTANCE_PAUSE_SHARE,
            isReadDue: () => this.isInstanceReadDue(),
            listener: {
                applySnapshot: (records, isRestored) => {
                    const { instancePosition } = this;
                    if (instancePosition !== undefined) {
                        this.instanceRecords.applySnapshot(records, instancePosition);
                    }
                    directory.applySnapshot(parseAll(records), isRestored);
                },
                applyChanges: records => {
                    const { instancePosition } = this;
                    if (instancePosition !== undefined) {
                        this.instanceRecords.applyChanges(records, instancePosition);
                    }
                    directory.applyChanges(parseAll(records));
                },
                confirm: sentAt => this.confirmInstances(sentAt),
                handleStoreLost: () => directory.handleStoreLost(),
                handleStoreRecovered: () => directory.handleStoreRecovered(),
            },
        });
    }

    /** Parses the record of an instance; one that is invalid counts as removed and is reported once. */
    private parseInstance(record: KeyedRecord): Instance | undefined {
        let parsed = this.parsedInstances.get(record);
        if (parsed === undefined) {
            const result = this.options.adapter.parseInstance(record);
            if (result.isErr()) {
                this.options.logger.writeError(result.error);
            }
            parsed = result.unwrapOr(undefined) ?? "invalid";
            this.parsedInstances.set(record, parsed);
        }
        return parsed === "invalid" ? undefined : parsed;
    }
}

const isSamePosition = (left: TopicPosition, right: TopicPosition | undefined): boolean =>
    left.era === right?.era && left.offset === right.offset;

/** True when two entries of one instance differ at most in the number of the registration. */
const hasSameContent = (before: Instance | undefined, after: Instance | undefined): boolean =>
    before !== undefined && after !== undefined
    && JSON.stringify({ ...before, sequence: 0 }) === JSON.stringify({ ...after, sequence: 0 });
