/** Follows what operators and instances write into the store, and hands it to the parts that it is for. */
import type { Instance, InstanceChange, InstanceDirectory } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { RolloutService } from "../rollouts/index.js";
import type { ConfigurationKeeper } from "../routing/index.js";
import { type KeyedRecord, TopicFollower } from "../store/index.js";
import type { TimerService } from "../time/index.js";
import type { PlatformAdapter } from "./platform-adapter.js";

/** What the records are read with, and whom they are for. */
export interface StoreRecordsOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly adapter: PlatformAdapter;
    readonly keeper: ConfigurationKeeper;
    readonly directory: InstanceDirectory;
    readonly rollouts: RolloutService;
}

/** Time for which a read of the operators' records waits, in milliseconds: a read costs, and its age counts from its sending. */
const OPERATOR_WAIT_MS = 1_400;
/** Pause between reads of the instances, whose entries change all the time, in milliseconds. */
const INSTANCE_PAUSE_MS = 1_000;

/** Records of one VM. */
export class StoreRecords {
    private readonly operator: TopicFollower;
    private readonly instances: TopicFollower;

    private constructor(private readonly options: StoreRecordsOptions) {
        this.operator = this.followOperator();
        this.instances = this.followInstances();
    }

    /** Creates followers that have read nothing. */
    static create(options: StoreRecordsOptions): StoreRecords {
        return new StoreRecords(options);
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
    refreshOperator(): Promise<void> {
        return this.operator.refresh();
    }

    private followOperator(): TopicFollower {
        const { adapter, keeper, rollouts } = this.options;
        const apply = (records: readonly KeyedRecord[]): void =>
            records.forEach(record => this.applyOperator(record));
        return TopicFollower.create({
            ...this.options,
            store: adapter.store,
            topic: "operator",
            waitMs: OPERATOR_WAIT_MS,
            pauseMs: 0,
            listener: {
                applyList: apply,
                applyChanges: apply,
                confirm: sentAt => {
                    keeper.confirm(sentAt);
                    rollouts.noteOrdersRead(sentAt);
                },
                noteLost: () => undefined,
                noteBack: () => undefined,
            },
        });
    }

    private applyOperator(record: KeyedRecord): void {
        const { adapter, logger, keeper, rollouts } = this.options;
        const read = adapter.readOperatorRecord(record);
        if (read.isErr()) {
            logger.writeError(read.error);
        }
        else if (read.value.kind === "configuration") {
            keeper.apply(read.value.configuration);
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
            waitMs: 0,
            pauseMs: INSTANCE_PAUSE_MS,
            listener: {
                applyList: records => directory.applyList(readAll(records)),
                applyChanges: records => directory.applyChanges(readAll(records)),
                confirm: () => undefined,
                noteLost: () => directory.noteStoreLost(),
                noteBack: () => directory.noteStoreBack(),
            },
        });
    }

    /** An entry that can't be read names no instance to use. */
    private readInstance(record: KeyedRecord): Instance | undefined {
        const read = this.options.adapter.readInstance(record);
        if (read.isErr()) {
            this.options.logger.writeError(read.error);
            return undefined;
        }
        return read.value;
    }
}
