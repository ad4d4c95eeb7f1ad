/**
 * Follows one topic of the store: reads a snapshot, then the appended records. A failed read discards nothing that was
 * applied; when the store has trimmed the history, a new snapshot is read. Failed reads back off exponentially.
 */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import { ClockReading, type TimerService } from "../time/index.js";
import type { KeyedRecord, KeyedStore, RecordBatch, Topic } from "./keyed-store.js";

/** Callbacks of a follower. */
export interface TopicListener {
    /** Applies the newest record of each key; keys that are missing have been removed. */
    readonly applySnapshot: (records: readonly KeyedRecord[]) => void;
    /** Applies later records in their order. */
    readonly applyChanges: (records: readonly KeyedRecord[]) => void;
    /** Called when a read that was sent at `sentAt` found no record that has not been applied. */
    readonly confirm: (sentAt: ClockReading) => void;
    /** Called when the store stops responding. */
    readonly handleStoreLost: () => void;
    /** Called when the store responds again. */
    readonly handleStoreRecovered: () => void;
}

/** Dependencies and intervals of a follower. */
export interface TopicFollowerOptions {
    readonly store: KeyedStore;
    readonly topic: Topic;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    /** Time for which the store holds a read until there are new records, in milliseconds. */
    readonly longPollMs: number;
    /** Pause between reads, in milliseconds. */
    readonly pauseMs: number;
    readonly listener: TopicListener;
}

/** Bounds of the exponential backoff after failed reads; half of each delay is random. */
const MIN_RETRY_DELAY_MS = 150;
const MAX_RETRY_DELAY_MS = 1_000;

/** Follower of one topic. */
export class TopicFollower {
    private nextOffset: number | undefined;
    private era: number | undefined;
    private consecutiveFailures = 0;
    private storeLostAt: ClockReading | undefined;
    private readonly abortController = new AbortController();
    private ongoingRefresh: Promise<void> | undefined;
    private lossWaiters: ((hasResponded: false) => void)[] = [];

    private constructor(private readonly options: TopicFollowerOptions) {}

    /** Creates a follower that has read nothing. */
    static create(options: TopicFollowerOptions): TopicFollower {
        return new TopicFollower(options);
    }

    /** Starts to follow the topic. */
    start(): void {
        void this.run();
    }

    /** Stops reading. */
    stop(): void {
        this.abortController.abort();
    }

    /** Reads immediately, in parallel to the regular reads; resolves when the read has ended, also when it failed. */
    refresh(): Promise<void> {
        this.ongoingRefresh ??= this.readOnce(0).then(() => {
            this.ongoingRefresh = undefined;
        });
        return this.ongoingRefresh;
    }

    /** Reads immediately unless the topic was never read or the store did not respond last time. */
    refreshWhenAvailable(): void {
        if (this.nextOffset !== undefined && this.storeLostAt === undefined) {
            void this.refresh();
        }
    }

    private async run(): Promise<void> {
        const { timers, longPollMs, pauseMs } = this.options;
        while (!this.abortController.signal.aborted) {
            // After a failure the first response matters, not the next record.
            const waitMs = this.storeLostAt === undefined ? longPollMs : 0;
            // A refresh may find out that the store does not respond while a long poll still waits for it.
            const hasResponded = await Promise.race([this.readOnce(waitMs), this.waitForLoss()]);
            await timers.sleep(
                hasResponded ? pauseMs : this.computeRetryDelayMs(),
                this.abortController.signal,
            );
        }
    }

    /** Returns false when the store did not respond, so that the next read is delayed. */
    private async readOnce(waitMs: number): Promise<boolean> {
        const { store, topic, timers, listener } = this.options;
        const sentAt = ClockReading.create(timers);
        const from = this.nextOffset;
        const batch = from === undefined
            ? await store.readSnapshot(topic)
            : await store.readFrom(topic, from, waitMs);
        if (this.abortController.signal.aborted) {
            return false;
        }
        if (batch.isErr()) {
            this.recordFailure(batch);
            return batch.error.name === "StoreHistoryLost";
        }
        this.recordSuccess();
        this.recordEra(batch.value);
        this.apply(from, batch.value);
        listener.confirm(sentAt);
        return true;
    }

    /** Reads may overlap, so records that another read has applied are skipped. */
    private apply(from: number | undefined, batch: RecordBatch): void {
        const { listener } = this.options;
        if (from === undefined) {
            listener.applySnapshot(batch.records);
            this.nextOffset = Math.max(this.nextOffset ?? 0, batch.nextOffset);
            return;
        }
        const knownOffset = this.nextOffset ?? from;
        const newRecords = batch.records.filter(({ offset }) => offset >= knownOffset);
        if (newRecords.length > 0) {
            listener.applyChanges(newRecords);
        }
        this.nextOffset = Math.max(knownOffset, batch.nextOffset);
    }

    private recordEra({ era, nextOffset: end }: RecordBatch): void {
        const eraBefore = this.era ?? era;
        this.era = Math.max(era, eraBefore);
        if (era > eraBefore) {
            const { logger, topic } = this.options;
            logger.write("StoreRestored", { topic, era, eraBefore, offset: this.nextOffset ?? 0, end });
        }
    }

    private recordFailure(
        batch: Result<RecordBatch, SchedulerError> & { readonly error: SchedulerError; },
    ): void {
        if (batch.error.name === "StoreHistoryLost") {
            this.nextOffset = undefined;
            return;
        }
        this.consecutiveFailures += 1;
        if (this.storeLostAt === undefined) {
            this.storeLostAt = ClockReading.create(this.options.timers);
            this.options.logger.write("StoreLost", {
                topic: this.options.topic,
                reason: batch.error.message,
            });
            this.options.listener.handleStoreLost();
            this.lossWaiters.splice(0).forEach(resolve => resolve(false));
        }
    }

    private recordSuccess(): void {
        this.consecutiveFailures = 0;
        if (this.storeLostAt !== undefined) {
            const lostMs = Math.round(this.storeLostAt.computeAgeMs(this.options.timers));
            this.storeLostAt = undefined;
            this.options.logger.write("StoreBack", { topic: this.options.topic, lostMs });
            this.options.listener.handleStoreRecovered();
        }
    }

    /** Resolves with false as soon as any read finds that the store stopped responding; never if that is known already. */
    private waitForLoss(): Promise<false> {
        return new Promise(resolve => {
            if (this.storeLostAt === undefined) {
                this.lossWaiters = [resolve];
            }
        });
    }

    private computeRetryDelayMs(): number {
        const maxDelayMs = Math.min(
            MAX_RETRY_DELAY_MS,
            MIN_RETRY_DELAY_MS * 2 ** Math.min(this.consecutiveFailures, 8),
        );
        return maxDelayMs / 2 + this.options.random.pickFraction() * maxDelayMs / 2;
    }
}
