/** Follows what operators and instances write into the store, and hands it to the parts that it is for. */
import type { Instance, InstanceChange, InstanceDirectory } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { RolloutService } from "../rollouts/index.js";
import type { ActiveConfiguration } from "../routing/index.js";
import { type KeyedRecord, TopicFollower } from "../store/index.js";
import type { TimerService } from "../time/index.js";
import type { PlatformAdapter } from "./platform-adapter.js";

/** What the records are read with, and whom they are for. */
export interface StoreSubscriptionsOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly adapter: PlatformAdapter;
    readonly activeConfiguration: ActiveConfiguration;
    readonly directory: InstanceDirectory;
    readonly rollouts: RolloutService;
}

/** Time for which a read of the operators' records waits, in milliseconds: a read costs, and its age counts from its sending. */
const OPERATOR_WAIT_MS = 1_400;
/** Pause between reads of the instances, whose entries change all the time, in milliseconds. */
const INSTANCE_PAUSE_MS = 1_000;

/** Records of one VM. */
export class StoreSubscriptions {
    private readonly operator: TopicFollower;
    private readonly instances: TopicFollower;

    private constructor(private readonly options: StoreSubscriptionsOptions) {
        this.operator = this.followOperator();
        this.instances = this.followInstances();
    }

    /** Creates followers that have read nothing. */
    static create(options: StoreSubscriptionsOptions): StoreSubscriptions {
        return new StoreSubscriptions(options);
    }

    /** Begins to follow. */
    start(): void {
        this.operator.start();
        this.instances.start();
    }

    /** Ends the reads. */
    stop(): void {
        this.operator.stop();
        this.instances.stop();
    }

    /** Reads what operators wrote at once; resolves when the read is over, whatever came of it. */
    refreshOperatorRecords(): Promise<void> {
        return this.operator.refresh();
    }

    private followOperator(): TopicFollower {
        const { adapter, activeConfiguration, rollouts } = this.options;
        const apply = (records: readonly KeyedRecord[]): void =>
            records.forEach(record => this.applyOperator(record));
        return TopicFollower.create({
            ...this.options,
            store: adapter.store,
            topic: "operator",
            longPollMs: OPERATOR_WAIT_MS,
            pauseMs: 0,
            listener: {
                applySnapshot: apply,
                applyChanges: apply,
                confirm: sentAt => {
                    activeConfiguration.confirm(sentAt);
                    rollouts.recordOrdersRead(sentAt);
                },
                handleStoreLost: () => undefined,
                handleStoreRecovered: () => undefined,
            },
        });
    }

    private applyOperator(record: KeyedRecord): void {
        const { adapter, logger, activeConfiguration, rollouts } = this.options;
        const read = adapter.parseOperatorRecord(record);
        if (read.isErr()) {
            logger.writeError(read.error);
        }
        else if (read.value.kind === "configuration") {
            activeConfiguration.apply(read.value.configuration);
        }
        else if (read.value.kind === "rollout") {
            rollouts.applyOrder(read.value.order);
        }
    }

    private followInstances(): TopicFollower {
        const { adapter, directory } = this.options;
        const readAll = (records: readonly KeyedRecord[]): readonly InstanceChange[] =>
            records.map(record => ({ id: record.key, instance: this.readInstance(record) }));
        return TopicFollower.create({
            ...this.options,
            store: adapter.store,
            topic: "instances",
            longPollMs: 0,
            pauseMs: INSTANCE_PAUSE_MS,
            listener: {
                applySnapshot: records => directory.applySnapshot(readAll(records)),
                applyChanges: records => directory.applyChanges(readAll(records)),
                confirm: () => undefined,
                handleStoreLost: () => directory.handleStoreLost(),
                handleStoreRecovered: () => directory.handleStoreRecovered(),
            },
        });
    }

    /** An entry that can't be read names no instance to use. */
    private readInstance(record: KeyedRecord): Instance | undefined {
        const read = this.options.adapter.parseInstance(record);
        if (read.isErr()) {
            this.options.logger.writeError(read.error);
            return undefined;
        }
        return read.value;
    }
}
