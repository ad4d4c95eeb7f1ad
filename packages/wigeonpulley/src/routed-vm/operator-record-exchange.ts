/**
 * Passes the operators' records from VM to VM. A long record that all VMs read over one link between regions would fill the
 * link, so a VM that others are ahead of asks one of its own region. Only the store confirms that nothing is newer. A VM that
 * gets them from no other VM in time reads the store.
 */
import { RecentMap } from "../collections/index.js";
import type { EventLogger } from "../logging/index.js";
import type { Member, MembershipService } from "../membership/index.js";
import type { GossipTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { ActiveConfiguration } from "../routing/index.js";
import type { RecordBatch, TopicPosition } from "../store/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";

/** Dependencies of the exchange. */
export interface OperatorRecordExchangeOptions {
    readonly self: string;
    readonly region: string;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly transport: GossipTransport;
    readonly activeConfiguration: ActiveConfiguration;
    readonly getMembership: () => Pick<MembershipService, "listMembers" | "storeReadingRole">;
    /** Starts a read of the store, unless it is known to be unavailable. */
    readonly readStore: () => void;
    /** Position up to which this VM has read the operators' records; undefined before it has read any. */
    readonly getPosition: () => TopicPosition | undefined;
    /** Returns the records that this VM has and a VM at a position lacks. */
    readonly listRecordsSince: (position: TopicPosition | undefined) => RecordBatch | undefined;
    /** Applies records that another VM has read from a position on. */
    readonly applyRecords: (position: TopicPosition | undefined, batch: RecordBatch) => void;
}

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Time for which a VM may be behind before it asks, in milliseconds: mostly its own read is about to end. */
const MIN_BEHIND_MS = 300;
/** Further time, at random, so that a few VMs have the records before the others ask. */
const BEHIND_SPREAD_MS = 700;
/** The same for a VM whose own read isn't about to end, because it follows others. */
const FOLLOWER_SPREAD_MS = 200;
/** Time for which a VM that follows others may be behind before it reads the store, in milliseconds. */
const MAX_BEHIND_MS = 2_500;
/**
 * Answers that a VM begins in an interval, so that a slow link carries them: two, and more while they are short. VMs that are
 * refused ask another one later.
 */
const MIN_ANSWERS = 2;
const MAX_ANSWERED_BYTES = 131_072;
const ANSWER_INTERVAL_MS = 1_000;

/** VMs whose positions are known; bounds the memory for VMs that are gone. */
const MAX_KNOWN_POSITIONS = 1_024;

/** Exchange of one VM. */
export class OperatorRecordExchange {
    private cancelChecks: CancelTimer = () => undefined;
    private askAt: number | undefined;
    private behindSince: number | undefined;
    private isAsking = false;
    /** Positions up to which other VMs have read. */
    private readonly positions = RecentMap.create<string, TopicPosition>(MAX_KNOWN_POSITIONS);
    private newestPosition: TopicPosition | undefined;
    private answers = 0;
    private answeredBytes = 0;
    private answersSince = Number.NEGATIVE_INFINITY;

    private constructor(private readonly options: OperatorRecordExchangeOptions) {}

    /** Creates an exchange that is not started. */
    static create(options: OperatorRecordExchangeOptions): OperatorRecordExchange {
        return new OperatorRecordExchange(options);
    }

    /** Starts checking whether other VMs are ahead. */
    start(): void {
        this.cancelChecks = this.options.timers.scheduleRepeating(CHECK_INTERVAL_MS, () => this.check());
    }

    /** Stops checking. */
    stop(): void {
        this.cancelChecks();
    }

    /** Returns what a VM at a position lacks; undefined when that is nothing, or too many ask. */
    handleFetch(position: TopicPosition | undefined): RecordBatch | undefined {
        const now = this.options.timers.now();
        if (now - this.answersSince >= ANSWER_INTERVAL_MS) {
            this.answersSince = now;
            this.answers = 0;
            this.answeredBytes = 0;
        }
        if (this.answers >= MIN_ANSWERS && this.answeredBytes >= MAX_ANSWERED_BYTES) {
            return undefined;
        }
        const batch = this.options.listRecordsSince(position);
        if (batch !== undefined) {
            this.answers += 1;
            this.answeredBytes += batch.records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
        }
        return batch;
    }

    /** Records the position up to which another VM has read. */
    recordPosition(vm: string, position: TopicPosition): void {
        this.positions.set(vm, position);
        const newest = this.newestPosition;
        if (
            newest === undefined || newest.era < position.era
            || (newest.era === position.era && newest.offset < position.offset)
        ) {
            this.newestPosition = position;
        }
        if (!this.isAhead(position)) {
            return;
        }
        const { getPosition, getMembership, readStore } = this.options;
        if (getPosition() === undefined) {
            // A VM that starts has nothing else to wait for.
            this.askAt = this.options.timers.now();
            this.check();
        }
        else if (getMembership().storeReadingRole !== "follower") {
            readStore();
        }
    }

    private check(): void {
        const { timers } = this.options;
        const now = timers.now();
        if (!this.isBehind()) {
            this.askAt = undefined;
            this.behindSince = undefined;
            return;
        }
        this.behindSince ??= now;
        this.askAt ??= now + this.computeDelayMs();
        if (now >= this.askAt && !this.isAsking) {
            this.isAsking = true;
            void this.ask().finally(() => {
                this.isAsking = false;
                this.askAt = undefined;
            });
        }
        if (now - this.behindSince > MAX_BEHIND_MS) {
            this.behindSince = now;
            this.options.readStore();
        }
    }

    /** True when another VM has a newer configuration, or when this VM relies on others that have read more records. */
    private isBehind(): boolean {
        const { activeConfiguration, getMembership, getPosition } = this.options;
        return activeConfiguration.isBehind
            || ((getMembership().storeReadingRole === "follower" || getPosition() === undefined)
                && this.newestPosition !== undefined && this.isAhead(this.newestPosition));
    }

    private isAhead(position: TopicPosition): boolean {
        const own = this.options.getPosition();
        return own === undefined || (own.era === position.era && own.offset < position.offset);
    }

    private computeDelayMs(): number {
        const { random, getMembership } = this.options;
        return getMembership().storeReadingRole === "follower"
            ? random.pickFraction() * FOLLOWER_SPREAD_MS
            : MIN_BEHIND_MS + random.pickFraction() * BEHIND_SPREAD_MS;
    }

    private async ask(): Promise<void> {
        const { transport, logger, timers, getPosition, applyRecords } = this.options;
        const peer = this.choosePeer();
        if (peer === undefined) {
            return;
        }
        const askedAt = timers.now();
        const position = getPosition();
        const fetched = await transport.fetchOperatorRecords(peer.entry, position);
        if (fetched.isErr()) {
            logger.writeError(fetched.error);
        }
        else if (fetched.value !== undefined) {
            logger.write("OperatorRecordsFetched", {
                from: peer.entry.name,
                offset: fetched.value.next.offset,
                records: fetched.value.records.length,
                tookMs: Math.round(timers.now() - askedAt),
            });
            applyRecords(position, fetched.value);
        }
    }

    /** Chooses a live VM of this region among those that are ahead. */
    private choosePeer(): Member | undefined {
        const ahead = this.listAhead();
        return ahead[this.options.random.pickInteger(Math.max(1, ahead.length))];
    }

    /** Live VMs of this region that have a newer configuration or have read more records. */
    private listAhead(): readonly Member[] {
        const { self, region, activeConfiguration, getMembership } = this.options;
        const version = activeConfiguration.routeTable?.configuration.version ?? Number.NEGATIVE_INFINITY;
        return getMembership().listMembers().filter(({ entry, isLive, configuration }) => {
            const position = this.positions.get(entry.name);
            return isLive && entry.name !== self && entry.region === region
                && ((configuration >= 0 && configuration > version)
                    || (position !== undefined && this.isAhead(position)));
        });
    }
}
