/** Keeps quarantines in the store, so that they outlast the VMs and reach those that no other VM can reach. */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import { RecentMap } from "../collections/index.js";
import { SchedulerError } from "../errors/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import { type KeyedRecord, type KeyedStore, TopicFollower } from "../store/index.js";
import type { TimerService } from "../time/index.js";
import type { Quarantine, QuarantineChange } from "./quarantine.js";
import { QUARANTINE_MS } from "./suspect.js";

/** Dependencies of the store. */
export interface QuarantineStoreOptions {
    readonly vm: string;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly store: KeyedStore;
    readonly quarantine: Quarantine;
}

/** Long-poll time, in milliseconds; records change rarely. */
const LONG_POLL_MS = 20_000;
/** Pause after each read, in milliseconds. */
const PAUSE_MS = 250;
/** Longest random delay before a write, in milliseconds: usually another VM has written by then. */
const MAX_WRITE_DELAY_MS = 600;
const RETRY_DELAY_MS = 1_500;
/** Time after which the record of an ended quarantine is removed, in milliseconds. */
const MAX_RECORD_AGE_MS = 3 * QUARANTINE_MS;
/** Removals that are remembered, in case the store is restored from a copy that still has the records. */
const MAX_REMOVED_RECORDS = 256;

/** Time after the start of a VM for the evidence of the others to arrive before it claims a trial, in milliseconds. */
const TRIAL_DELAY_MS = 3_000;
/** Time for which a claimed trial may be used, in milliseconds; the next request with the trait may come to another VM. */
const TRIAL_MS = 30_000;
/** Time between two claims by wall clocks, in milliseconds; mostly the first trial has ended by then. */
const TRIAL_INTERVAL_MS = 4_000;
/** Trials of one quarantine, of all VMs together and however often they restart; each may end an instance. */
const MAX_TRIALS = 2;

const recordSchema = z.object({
    /** Wall-clock time, in milliseconds since 1970-01-01 UTC. */
    quarantinedSince: z.number(),
    /** VM that wrote the record. */
    vm: z.string(),
    /** Number of trials that VMs have claimed; older versions write none. */
    trials: z.number().optional(),
    /** Wall-clock time of the last claim, in milliseconds. */
    triedAt: z.number().optional(),
});

type QuarantineRecord = z.infer<typeof recordSchema>;

/** Records of one VM's quarantine. */
export class QuarantineStore {
    private readonly follower: TopicFollower;
    /** Newest record of each trait. */
    private readonly stored = new Map<string, QuarantineRecord>();
    /** Wall-clock time since which each trait was quarantined whose record this VM removed, in milliseconds. */
    private readonly removed = RecentMap.create<string, number>(MAX_REMOVED_RECORDS);
    /** Traits for which this VM is claiming a trial. */
    private readonly claims = new Set<string>();
    /** Start of this VM, in monotonic and in wall-clock milliseconds. */
    private readonly startedAt: number;
    private readonly startedAtWallClock: number;
    private readonly abortController = new AbortController();

    private constructor(private readonly options: QuarantineStoreOptions) {
        this.startedAt = options.timers.now();
        this.startedAtWallClock = options.timers.readWallClock();
        this.follower = this.createFollower();
        options.quarantine.subscribeToBaselessRefusals(trait => void this.claimTrial(trait));
        options.quarantine.subscribe((trait, change) => void this.applyChange(trait, change));
    }

    /** Creates a store that has read nothing. */
    static create(options: QuarantineStoreOptions): QuarantineStore {
        return new QuarantineStore(options);
    }

    /** Starts to follow the records. */
    start(): void {
        this.follower.start();
    }

    /** Stops reading and writing. */
    stop(): void {
        this.abortController.abort();
        this.follower.stop();
    }

    private createFollower(): TopicFollower {
        const apply = (records: readonly KeyedRecord[]): void =>
            records.forEach(record => this.applyRecord(record));
        return TopicFollower.create({
            ...this.options,
            topic: "quarantine",
            longPollMs: LONG_POLL_MS,
            pauseMs: PAUSE_MS,
            listener: {
                applySnapshot: (records, isRestored) => {
                    const before = new Map(this.stored);
                    this.stored.clear();
                    apply(records);
                    const missing = [...before].filter(([trait]) => !this.stored.has(trait));
                    if (isRestored) {
                        this.writeLost(missing);
                    }
                    else {
                        missing.forEach(([trait]) => this.options.quarantine.removeStored(trait));
                    }
                },
                applyChanges: apply,
                confirm: () => undefined,
                handleStoreLost: () => undefined,
                handleStoreRecovered: () => undefined,
            },
        });
    }

    /** Writes or removes the record of a trait. What other VMs wrote may rest on crashes that this one doesn't know of. */
    private async applyChange(trait: string, change: QuarantineChange): Promise<void> {
        const { vm, timers } = this.options;
        if (change === "quarantined") {
            await this.write(trait, { quarantinedSince: timers.readWallClock(), vm });
        }
        else if (change === "answered" || this.stored.get(trait)?.vm === vm) {
            await this.remove(trait);
        }
    }

    private applyRecord({ key, value }: KeyedRecord): void {
        const { timers, logger, quarantine } = this.options;
        if (value === undefined || value.length === 0) {
            this.stored.delete(key);
            quarantine.removeStored(key);
            return;
        }
        const record = parseRecord(key, value);
        if (record.isErr()) {
            logger.writeError(record.error);
            return;
        }
        const { quarantinedSince } = record.value;
        const ageMs = timers.readWallClock() - quarantinedSince;
        this.stored.set(key, record.value);
        if (ageMs > MAX_RECORD_AGE_MS || this.removed.get(key) === quarantinedSince) {
            void this.remove(key);
        }
        else {
            // The clock of the writer may be ahead of this one.
            quarantine.applyStored(key, timers.now() - Math.max(0, ageMs));
        }
    }

    /** Writes records again that a restored store has lost, as far as their quarantines are active. */
    private writeLost(records: readonly (readonly [trait: string, record: QuarantineRecord])[]): void {
        const quarantined = new Set(this.options.quarantine.listQuarantined().map(({ trait }) => trait));
        records.filter(([trait]) => quarantined.has(trait)).forEach(([trait, record]) =>
            void this.write(trait, record)
        );
    }

    /** Writes a record unless another VM has written one, until it was read back or the quarantine has ended. */
    private async write(trait: string, record: QuarantineRecord): Promise<void> {
        const { timers, random, logger, store, quarantine } = this.options;
        const { signal } = this.abortController;
        const value = Buffer.from(JSON.stringify(record));
        await timers.sleep(random.pickFraction() * MAX_WRITE_DELAY_MS, signal);
        while (
            !signal.aborted && !this.isStored(trait, record.quarantinedSince)
            && quarantine.findQuarantined([trait]) !== undefined
        ) {
            const outcome = await store.put("quarantine", trait, value);
            if (outcome.isErr()) {
                logger.writeError(outcome.error);
            }
            await timers.sleep(RETRY_DELAY_MS * (1 + random.pickFraction()), signal);
        }
    }

    /**
     * Claims a trial, one request that may be sent, for a trait whose quarantine began before this VM. When all VMs have
     * restarted, none knows an answer or a crash, and nothing else would show that the trait is sound.
     */
    private async claimTrial(trait: string): Promise<void> {
        const { timers, random, logger, quarantine } = this.options;
        const { signal } = this.abortController;
        if (this.claims.has(trait) || !this.canTry(this.stored.get(trait))) {
            return;
        }
        this.claims.add(trait);
        await timers.sleep(random.pickFraction() * MAX_WRITE_DELAY_MS, signal);
        if (!signal.aborted && this.canTry(this.stored.get(trait))) {
            const outcome = await this.writeClaim(trait);
            if (outcome.isErr() && outcome.error.name !== "StoreConflict") {
                logger.writeError(outcome.error);
            }
            if (outcome.isOk() && outcome.value) {
                logger.write("PromptBlockTried", { block: trait });
                quarantine.grantTrial(trait, timers.now() + TRIAL_MS);
            }
        }
        await timers.sleep(RETRY_DELAY_MS, signal);
        this.claims.delete(trait);
    }

    /** Counts one more trial, unless another VM writes meanwhile; returns false if none is left or it isn't time yet. */
    private async writeClaim(trait: string): Promise<Result<boolean, SchedulerError>> {
        const { timers, store } = this.options;
        const snapshot = await store.readSnapshot("quarantine");
        if (snapshot.isErr()) {
            return Err(snapshot.error);
        }
        const { records, next } = snapshot.value;
        const value = records.find(({ key }) => key === trait)?.value;
        const record = value === undefined ? undefined : parseRecord(trait, value).unwrapOr(undefined);
        if (record === undefined || !this.canTry(record)) {
            return Ok(false);
        }
        const claimed: QuarantineRecord = {
            ...record,
            trials: (record.trials ?? 0) + 1,
            triedAt: timers.readWallClock(),
        };
        const written = await store.put("quarantine", trait, Buffer.from(JSON.stringify(claimed)), next);
        return written.map(() => true);
    }

    private canTry(record: QuarantineRecord | undefined): boolean {
        const { timers } = this.options;
        return record !== undefined
            && record.quarantinedSince < this.startedAtWallClock
            && timers.now() >= this.startedAt + TRIAL_DELAY_MS
            && (record.trials ?? 0) < MAX_TRIALS
            && Math.abs(timers.readWallClock() - (record.triedAt ?? 0)) >= TRIAL_INTERVAL_MS;
    }

    private isStored(trait: string, quarantinedSince: number): boolean {
        const stored = this.stored.get(trait)?.quarantinedSince ?? Number.NEGATIVE_INFINITY;
        return stored > quarantinedSince - QUARANTINE_MS / 2;
    }

    private async remove(trait: string): Promise<void> {
        const quarantinedSince = this.stored.get(trait)?.quarantinedSince;
        if (quarantinedSince !== undefined) {
            this.stored.delete(trait);
            this.removed.set(trait, quarantinedSince);
            const outcome = await this.options.store.put("quarantine", trait, undefined);
            if (outcome.isErr()) {
                this.options.logger.writeError(outcome.error);
            }
        }
    }
}

const parseRecord = (
    key: string,
    value: Buffer,
): Result<QuarantineRecord, SchedulerError> => {
    const fail = (reason: string): Result<never, SchedulerError> =>
        Err(SchedulerError.create("InvalidPlatformEntry", { entry: `quarantine/${key}`, reason }));
    try {
        const parsed = recordSchema.safeParse(JSON.parse(value.toString()));
        return parsed.success ? Ok(parsed.data) : fail(parsed.error.issues[0]?.message ?? "");
    }
    catch (cause) {
        if (cause instanceof SyntaxError) {
            return fail(cause.message);
        }
        throw SchedulerError.fromUnknown(cause);
    }
};
