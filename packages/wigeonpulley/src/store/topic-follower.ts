/**
 * Follows one topic of the store: reads a snapshot, then the appended records. A failed read discards nothing that was
 * applied; when the store has trimmed the history or was restored from a copy, a new snapshot is read. Failed reads back
 * off exponentially.
 */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import { measureWork, type WorkMeter } from "../processor/index.js";
import type { RandomSource } from "../random/index.js";
import { ClockReading, type TimerService } from "../time/index.js";
import type {
    CompleteBatch,
    KeyedRecord,
    KeyedStore,
    PartialBatch,
    RecordBatch,
    Topic,
    TopicPosition,
} from "./keyed-store.js";

/** Callbacks of a follower. */
export interface TopicListener {
    /**
     * Applies the newest record of each key; keys that are missing have been removed. When the store was restored since the
     * last read, the records may be older than those that were applied, and keys may be missing that were not removed.
     */
    readonly applySnapshot: (records: readonly KeyedRecord[], isRestored: boolean) => void;
    /** Applies later records in their order. */
    readonly applyChanges: (records: readonly KeyedRecord[]) => void;
    /**
     * Called when a read that was sent at `sentAt` reached the end of the topic, and all that it found has been applied. A
     * store that was just restored from a copy confirms nothing, since what was lost has yet to be written again.
     */
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
    /** False while a read may wait longer than the pause, because this VM learns of changes from others; true when absent. */
    readonly isReadDue?: () => boolean;
    readonly listener: TopicListener;
    readonly work?: WorkMeter;
}

/** Bounds of the exponential backoff after failed reads; half of each delay is random. */
const MIN_RETRY_DELAY_MS = 150;
const MAX_RETRY_DELAY_MS = 1_000;
/** Interval at which a follower checks whether a read is due after its pause, in milliseconds. */
const DUE_CHECK_INTERVAL_MS = 150;
/** Era of a store that was never restored. */
const FIRST_ERA = 1;
/** Time after the first read of a restored store for the writers to write again what was lost. */
const RESTORE_SETTLE_MS = 1_000;

/**
 * Reads in succession, each of a part of the topic, after which those that wait for the end of the topic are told that it
 * was not reached. Others may append records faster than this VM reads them.
 */
const MAX_SUCCESSIVE_READS = 32;

/**
 * How a read ended. "complete": all that the topic held was applied. "part": there is more to read, at once. "outdated":
 * another read has seen a later history. Only after a failed read the next one is delayed.
 */
type ReadOutcome = "complete" | "part" | "outdated" | "history-lost" | "failed";

/** Follower of one topic. */
export class TopicFollower {
    /** Position at which to continue; undefined when the next read is a snapshot. */
    private position: TopicPosition | undefined;
    /** Position up to which records were applied, in the newest era known. */
    private applied: TopicPosition | undefined;
    /** Time from which reads of a restored store confirm what was applied (monotonic, in milliseconds). */
    private settledAt = Number.NEGATIVE_INFINITY;
    private consecutiveFailures = 0;
    private storeLostAt: ClockReading | undefined;
    private readonly abortController = new AbortController();
    private ongoingRefresh: Promise<void> | undefined;
    /** Read whose response is arriving or is about to, and the position from which it reads. */
    private receivingRead:
        | { readonly outcome: Promise<ReadOutcome>; readonly from: TopicPosition | undefined; }
        | undefined;
    private lossWaiters: ((outcome: "failed") => void)[] = [];

    private constructor(private readonly options: TopicFollowerOptions) {}

    /** Creates a follower that has read nothing. */
    static create(options: TopicFollowerOptions): TopicFollower {
        return new TopicFollower(options);
    }

    /**
     * Reads the topic to its end, not before the call; true when this VM has applied all that the store held then. Resolves
     * with false when the store did not respond, has lost its history, or is written to faster than this VM reads.
     */
    async catchUp(): Promise<boolean> {
        return await this.readToEnd(0) === "complete";
    }

    /** Starts to follow the topic. */
    start(): void {
        void this.run();
    }

    /** Stops reading. */
    stop(): void {
        this.abortController.abort();
    }

    /**
     * Reads to the end of the topic immediately, in parallel to a regular read that waits for records, or as soon as one that
     * receives them has ended; resolves when the read has ended, also when it failed.
     */
    refresh(): Promise<void> {
        this.ongoingRefresh ??= this.readToEnd(0).then(() => {
            this.ongoingRefresh = undefined;
        });
        return this.ongoingRefresh;
    }

    /** Position up to which records were applied; undefined while the topic has to be read as a snapshot. */
    get readPosition(): TopicPosition | undefined {
        return this.position;
    }

    /**
     * Applies records that another VM has read from a position on, unless this one has read on since. They confirm nothing;
     * the next read of the store starts after them.
     */
    applyFetched(position: TopicPosition | undefined, batch: RecordBatch): void {
        const isContinued = this.applied === undefined || this.applied.era === batch.next.era;
        if (isSamePosition(position, this.position) && isContinued && !this.abortController.signal.aborted) {
            this.apply(position, batch);
        }
    }

    /** Reads immediately unless the topic was never read or the store did not respond last time. */
    refreshWhenAvailable(): void {
        if (this.position !== undefined && this.storeLostAt === undefined) {
            void this.refresh();
        }
    }

    private async run(): Promise<void> {
        const { timers, longPollMs, pauseMs } = this.options;
        while (!this.abortController.signal.aborted) {
            // After a failure the first response matters, not the next record.
            const waitMs = this.storeLostAt === undefined ? longPollMs : 0;
            // A refresh may find out that the store does not respond while a long poll still waits for it.
            const outcome = await Promise.race([this.readToEnd(waitMs), this.waitForLoss()]);
            if (outcome === "part") {
                continue;
            }
            await timers.sleep(
                outcome === "failed" ? this.computeRetryDelayMs() : pauseMs,
                this.abortController.signal,
            );
            await this.waitUntilReadIsDue();
        }
    }

    private async waitUntilReadIsDue(): Promise<void> {
        const { timers, isReadDue = () => true } = this.options;
        const { signal } = this.abortController;
        while (
            this.position !== undefined && this.storeLostAt === undefined && !signal.aborted && !isReadDue()
        ) {
            await timers.sleep(DUE_CHECK_INTERVAL_MS, signal);
        }
    }

    /**
     * Reads until the end of the topic is reached or a read fails. Waits for a response that is arriving: it would be received
     * twice over the same link otherwise, unless its records came from another VM meanwhile. Its confirmation doesn't do
     * instead, since the store may have composed it before this call.
     */
    private async readToEnd(waitMs: number): Promise<ReadOutcome> {
        let isContinued = false;
        for (let reads = 0; reads < MAX_SUCCESSIVE_READS; reads += 1) {
            const { receivingRead, position } = this;
            if (receivingRead !== undefined && isSamePosition(receivingRead.from, position)) {
                await receivingRead.outcome;
                continue;
            }
            if (this.abortController.signal.aborted) {
                return "failed";
            }
            const outcome = await this.readOnce(isContinued ? 0 : waitMs, isContinued);
            if (outcome !== "part") {
                return outcome;
            }
            isContinued = true;
        }
        return "part";
    }

    /** Reads once. The response of a read that continues after a part is known to arrive, before it begins to. */
    private async readOnce(waitMs: number, isContinued: boolean): Promise<ReadOutcome> {
        const from = this.position;
        const setReceiving = (): void => {
            this.receivingRead = { outcome, from };
        };
        const outcome: Promise<ReadOutcome> = this.readNow(waitMs, setReceiving);
        if (isContinued) {
            setReceiving();
        }
        try {
            return await outcome;
        }
        finally {
            if (this.receivingRead?.outcome === outcome) {
                this.receivingRead = undefined;
            }
        }
    }

    private async readNow(waitMs: number, onReceiving: () => void): Promise<ReadOutcome> {
        const { store, topic, timers } = this.options;
        const sentAt = ClockReading.create(timers);
        const from = this.position;
        const batch: Result<CompleteBatch | PartialBatch, SchedulerError> = from === undefined
            ? await store.readSnapshot(topic, onReceiving)
            : await store.readFrom(topic, from, waitMs, onReceiving);
        if (this.abortController.signal.aborted) {
            return "failed";
        }
        if (batch.isErr()) {
            this.recordFailure(batch.error, from);
            return batch.error.name === "StoreHistoryLost" ? "history-lost" : "failed";
        }
        this.recordSuccess();
        if (!this.apply(from, batch.value)) {
            return "outdated";
        }
        return batch.value.kind === "complete"
            ? this.confirm(batch.value, sentAt)
            : this.recordPart(batch.value);
    }

    /** Only a batch up to the end of the topic shows that nothing is newer than what has been applied. */
    private confirm(batch: CompleteBatch, sentAt: ClockReading): ReadOutcome {
        if (sentAt.monotonicMs >= this.settledAt) {
            this.options.listener.confirm(sentAt);
        }
        return batch.kind;
    }

    private recordPart({ kind, next, endOffset }: PartialBatch): ReadOutcome {
        const { topic, logger } = this.options;
        logger.write("TopicPartRead", { topic, offset: next.offset, end: endOffset });
        return kind;
    }

    /**
     * Reads may overlap, so records that another read has applied are skipped. Returns false for a read that says nothing
     * about the present, since another one has seen a later state of the store.
     */
    private apply(from: TopicPosition | undefined, batch: RecordBatch): boolean {
        return measureWork(this.options.work, "store", () => this.applyBatch(from, batch));
    }

    private applyBatch(from: TopicPosition | undefined, { records, next }: RecordBatch): boolean {
        const { listener } = this.options;
        const { applied } = this;
        if (applied !== undefined && next.era < applied.era) {
            return false;
        }
        if (from === undefined) {
            const isShorter = applied?.era === next.era && next.offset < applied.offset;
            if (isShorter && this.position !== undefined) {
                return false;
            }
            // A store that doesn't name its eras shows a restore by a topic that became shorter.
            const isRestored = applied !== undefined && (next.era > applied.era || isShorter);
            // A follower that starts can't tell whether the store was restored just now.
            if (isRestored || (applied === undefined && next.era > FIRST_ERA)) {
                this.settledAt = this.options.timers.now() + RESTORE_SETTLE_MS;
            }
            if (isRestored) {
                this.writeRestored(applied, next);
            }
            this.setPosition(next);
            listener.applySnapshot(records, isRestored);
            return true;
        }
        const appliedOffset = applied?.offset ?? from.offset;
        const newRecords = records.filter(({ offset }) => offset >= appliedOffset);
        this.setPosition({ era: next.era, offset: Math.max(appliedOffset, next.offset) });
        if (newRecords.length > 0) {
            listener.applyChanges(newRecords);
        }
        return true;
    }

    private setPosition(position: TopicPosition): void {
        this.position = position;
        this.applied = position;
    }

    private writeRestored(before: TopicPosition, now: TopicPosition): void {
        const { logger, topic } = this.options;
        logger.write("StoreRestored", {
            topic,
            era: now.era,
            eraBefore: before.era,
            offset: before.offset,
            end: now.offset,
        });
    }

    private recordFailure(error: SchedulerError, from: TopicPosition | undefined): void {
        if (error.name === "StoreHistoryLost") {
            // Another read may have continued from a new snapshot already.
            this.position = this.position === from ? undefined : this.position;
            return;
        }
        this.consecutiveFailures += 1;
        if (this.storeLostAt === undefined) {
            this.storeLostAt = ClockReading.create(this.options.timers);
            this.options.logger.write("StoreLost", {
                topic: this.options.topic,
                reason: error.message,
            });
            this.options.listener.handleStoreLost();
            this.lossWaiters.splice(0).forEach(resolve => resolve("failed"));
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

    /** Resolves as soon as any read finds that the store stopped responding; never if that is known already. */
    private waitForLoss(): Promise<"failed"> {
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

const isSamePosition = (left: TopicPosition | undefined, right: TopicPosition | undefined): boolean =>
    left?.era === right?.era && left?.offset === right?.offset;
