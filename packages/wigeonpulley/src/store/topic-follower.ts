/**
 * Follows one topic of the store: lists it, then reads what is appended. A failed read changes nothing of what is known;
 * when the store has deleted the history, the topic is listed anew.
 */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import { ClockReading, type TimerService } from "../time/index.js";
import type { KeyedRecord, KeyedStore, RecordBatch, Topic } from "./keyed-store.js";

/** What the follower tells. */
export interface TopicListener {
    /** The newest record of each key; whatever is missing is gone. */
    readonly applySnapshot: (records: readonly KeyedRecord[]) => void;
    /** Later records in their order. */
    readonly applyChanges: (records: readonly KeyedRecord[]) => void;
    /** A read that was sent at this moment found nothing beyond what has been applied. */
    readonly confirm: (sentAt: ClockReading) => void;
    /** The store stopped answering. */
    readonly handleStoreLost: () => void;
    /** The store answers again. */
    readonly handleStoreRecovered: () => void;
}

/** What the follower is built from. */
export interface TopicFollowerOptions {
    readonly store: KeyedStore;
    readonly topic: Topic;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    /** Time for which a read waits for new records, in milliseconds. */
    readonly longPollMs: number;
    /** Pause between reads, in milliseconds. */
    readonly pauseMs: number;
    readonly listener: TopicListener;
}

/** First and longest delay before a failed read is repeated, in milliseconds. */
const RETRY_FIRST_MS = 150;
const RETRY_LONGEST_MS = 1_000;

/** Follower of one topic. */
export class TopicFollower {
    private nextOffset: number | undefined;
    private failures = 0;
    private lostSince: ClockReading | undefined;
    private readonly stopping = new AbortController();
    private refreshing: Promise<void> | undefined;

    private constructor(private readonly options: TopicFollowerOptions) {}

    /** Creates a follower that has read nothing. */
    static create(options: TopicFollowerOptions): TopicFollower {
        return new TopicFollower(options);
    }

    /** Begins to follow. */
    start(): void {
        void this.run();
    }

    /** Ends the reads. */
    stop(): void {
        this.stopping.abort();
    }

    /** Reads at once, beside the regular reads; resolves when the read is over, whatever came of it. */
    refresh(): Promise<void> {
        this.refreshing ??= this.readOnce(0).then(() => {
            this.refreshing = undefined;
        });
        return this.refreshing;
    }

    private async run(): Promise<void> {
        const { timers, longPollMs, pauseMs } = this.options;
        while (!this.stopping.signal.aborted) {
            const isRead = await this.readOnce(longPollMs);
            await timers.sleep(isRead ? pauseMs : this.pickRetryDelay(), this.stopping.signal);
        }
    }

    private async readOnce(waitMs: number): Promise<boolean> {
        const { store, topic, timers, listener } = this.options;
        const sentAt = ClockReading.create(timers);
        const from = this.nextOffset;
        const batch = from === undefined
            ? await store.readSnapshot(topic)
            : await store.readFrom(topic, from, waitMs);
        if (this.stopping.signal.aborted) {
            return false;
        }
        if (batch.isErr()) {
            this.noteFailure(batch);
            return batch.error.name === "StoreHistoryLost";
        }
        this.noteSuccess();
        this.apply(from, batch.value);
        listener.confirm(sentAt);
        return true;
    }

    /** Two reads may overlap; records that the other one brought are not applied twice. */
    private apply(from: number | undefined, batch: RecordBatch): void {
        const { listener } = this.options;
        if (from === undefined) {
            listener.applySnapshot(batch.records);
            this.nextOffset = Math.max(this.nextOffset ?? 0, batch.nextOffset);
            return;
        }
        const known = this.nextOffset ?? from;
        const fresh = batch.records.filter(({ offset }) => offset >= known);
        if (fresh.length > 0) {
            listener.applyChanges(fresh);
        }
        this.nextOffset = Math.max(known, batch.nextOffset);
    }

    private noteFailure(
        batch: Result<RecordBatch, SchedulerError> & { readonly error: SchedulerError; },
    ): void {
        if (batch.error.name === "StoreHistoryLost") {
            this.nextOffset = undefined;
            return;
        }
        this.failures += 1;
        if (this.lostSince === undefined) {
            this.lostSince = ClockReading.create(this.options.timers);
            this.options.logger.write("StoreLost", {
                topic: this.options.topic,
                reason: batch.error.message,
            });
            this.options.listener.handleStoreLost();
        }
    }

    private noteSuccess(): void {
        this.failures = 0;
        if (this.lostSince !== undefined) {
            const lostMs = Math.round(this.lostSince.computeAgeMs(this.options.timers));
            this.lostSince = undefined;
            this.options.logger.write("StoreBack", { topic: this.options.topic, lostMs });
            this.options.listener.handleStoreRecovered();
        }
    }

    private pickRetryDelay(): number {
        const longest = Math.min(RETRY_LONGEST_MS, RETRY_FIRST_MS * 2 ** Math.min(this.failures, 8));
        return longest / 2 + this.options.random.pickFraction() * longest / 2;
    }
}
