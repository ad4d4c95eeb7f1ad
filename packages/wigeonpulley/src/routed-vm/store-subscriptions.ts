/** Follows the records of operators and instances in the store, and applies them to the parts of the VM. */
import type { Evacuations, Instance, InstanceChange, InstanceDirectory } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { RolloutService } from "../rollouts/index.js";
import type { ActiveConfiguration } from "../routing/index.js";
import {
    FreshnessKeeper,
    type KeyedRecord,
    RecordArchive,
    type RecordBatch,
    TopicFollower,
    type TopicPosition,
} from "../store/index.js";
import type { TimerService } from "../time/index.js";
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
}

/** Long-poll time of the operators' records, in milliseconds. */
const OPERATOR_LONG_POLL_MS = 4_000;
/**
 * Pause between reads of the instances, as a share of the time within which a leaving one gets no more requests. Their
 * records change too often for a long poll.
 */
const INSTANCE_PAUSE_SHARE = 0.4;

/** Subscriptions of one VM. */
export class StoreSubscriptions {
    private readonly operatorFollower: TopicFollower;
    private readonly operatorRecords = RecordArchive.create();
    private readonly instanceFollower: TopicFollower;
    private readonly freshnessKeeper: FreshnessKeeper;

    private constructor(private readonly options: StoreSubscriptionsOptions) {
        this.operatorFollower = this.createOperatorFollower();
        this.instanceFollower = this.createInstanceFollower();
        this.freshnessKeeper = FreshnessKeeper.create({
            ...options,
            getAgeMs: () => options.activeConfiguration.getAgeMs(),
            isConfirmationAwaited: () => options.rollouts.hasUnconfirmedVersion,
            refresh: () => this.operatorFollower.refreshWhenAvailable(),
        });
    }

    /** Creates subscriptions that have read nothing. */
    static create(options: StoreSubscriptionsOptions): StoreSubscriptions {
        return new StoreSubscriptions(options);
    }

    /** Starts reading. */
    start(): void {
        this.operatorFollower.start();
        this.instanceFollower.start();
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
            listener: {
                applySnapshot: (records, isRestored) =>
                    directory.applySnapshot(parseAll(records), isRestored),
                applyChanges: records => directory.applyChanges(parseAll(records)),
                confirm: () => undefined,
                handleStoreLost: () => directory.handleStoreLost(),
                handleStoreRecovered: () => directory.handleStoreRecovered(),
            },
        });
    }

    /** Parses the record of an instance; one that is invalid counts as removed. */
    private parseInstance(record: KeyedRecord): Instance | undefined {
        const parsed = this.options.adapter.parseInstance(record);
        if (parsed.isErr()) {
            this.options.logger.writeError(parsed.error);
            return undefined;
        }
        return parsed.value;
    }
}
