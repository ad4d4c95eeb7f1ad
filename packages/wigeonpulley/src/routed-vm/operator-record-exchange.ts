/**
 * Passes the operators' records from VM to VM. A long record that all VMs read over one link between regions would fill the
 * link, so a VM that others are ahead of asks one of its own region. Only the store confirms that nothing is newer.
 */
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
    readonly getMembership: () => Pick<MembershipService, "listMembers">;
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
/** Answers that a VM begins in an interval, so that a slow link carries them. VMs that are refused ask another one later. */
const MAX_ANSWERS = 2;
const ANSWER_INTERVAL_MS = 1_000;

/** Exchange of one VM. */
export class OperatorRecordExchange {
    private cancelChecks: CancelTimer = () => undefined;
    private askAt: number | undefined;
    private isAsking = false;
    private answers = 0;
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
        }
        const batch = this.answers < MAX_ANSWERS ? this.options.listRecordsSince(position) : undefined;
        this.answers += batch === undefined ? 0 : 1;
        return batch;
    }

    private check(): void {
        const { timers, random, activeConfiguration } = this.options;
        if (!activeConfiguration.isBehind) {
            this.askAt = undefined;
            return;
        }
        this.askAt ??= timers.now() + MIN_BEHIND_MS + random.pickFraction() * BEHIND_SPREAD_MS;
        if (timers.now() >= this.askAt && !this.isAsking) {
            this.isAsking = true;
            void this.ask().finally(() => {
                this.isAsking = false;
                this.askAt = undefined;
            });
        }
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
        const { self, region, random, activeConfiguration, getMembership } = this.options;
        const version = activeConfiguration.routeTable?.configuration.version ?? Number.NEGATIVE_INFINITY;
        const ahead = getMembership().listMembers().filter(({ entry, isLive, configuration }) =>
            isLive && entry.name !== self && entry.region === region && configuration >= 0
            && configuration > version
        );
        return ahead[random.pickInteger(Math.max(1, ahead.length))];
    }
}
