/**
 * Instances that lost responses and went on, so that they did not crash under the requests. A crash ends all connections
 * and the incarnation, so two things show that an instance lived on: a response to an earlier request still arrives, or it
 * answers a later request and is listed as the same incarnation after that. All times are monotonic, in milliseconds.
 */
import { RecentMap } from "../collections/index.js";

/** Instances whose losses and lives are remembered. */
const MAX_INSTANCES = 1_024;
/** Time by which bytes that an instance sent before it crashed may arrive after other VMs have lost their connections to it. */
const ARRIVAL_MARGIN_MS = 750;
/** Time in which the directory learns that another incarnation of the instance has started in the meantime. */
const LISTING_MS = 500;
/** Time for which reports to other VMs say that an instance lived on. */
const REPORT_MS = 15_000;
/** Instances in one report. */
const MAX_REPORTED = 32;

/** An answer to a request that was sent after a loss. */
interface LaterAnswer {
    readonly sentAt: number;
    readonly seenAt: number;
}

/** Lives of one VM's instances, by the hashes of their incarnations. */
export class LiveInstances {
    /** Newest known loss of each instance. */
    private readonly lostAt = RecentMap.create<number, number>(MAX_INSTANCES);
    /** Time at which each instance was certainly alive, after a loss. */
    private readonly aliveAt = RecentMap.create<number, number>(MAX_INSTANCES);
    /** Answers that don't count until the directory can have learned of another incarnation. */
    private readonly laterAnswers = new Map<number, LaterAnswer>();
    /** Instances to report, and the time at which their lives became known. */
    private readonly reported = new Map<number, number>();

    private constructor(private readonly isListed: (instance: number) => boolean) {}

    /** Creates a memory without instances. `isListed` returns true while the directory has an incarnation. */
    static create(isListed: (instance: number) => boolean): LiveInstances {
        return new LiveInstances(isListed);
    }

    /** Records a loss. */
    recordLoss(instance: number, lostAt: number): void {
        this.lostAt.set(instance, Math.max(lostAt, this.lostAt.get(instance) ?? lostAt));
    }

    /** Returns the time at which an instance was certainly alive; minus infinity if it is unknown. */
    getAliveAt(instance: number): number {
        return this.aliveAt.get(instance) ?? Number.NEGATIVE_INFINITY;
    }

    /** Records that bytes of a response arrived; returns true if they show that an instance survived a loss. */
    recordResponse(instance: number, sentAt: number, now: number): boolean {
        const lostAt = this.lostAt.get(instance);
        if (lostAt === undefined || this.getAliveAt(instance) > lostAt) {
            return false;
        }
        if (sentAt < lostAt) {
            return now - ARRIVAL_MARGIN_MS > lostAt
                && this.recordLife(instance, now - ARRIVAL_MARGIN_MS, now);
        }
        if (sentAt > lostAt && !this.laterAnswers.has(instance)) {
            this.laterAnswers.set(instance, { sentAt, seenAt: now });
        }
        return false;
    }

    /** Records that an instance was alive at a time; returns true if that is news about a loss. */
    recordLife(instance: number, aliveAt: number, now: number): boolean {
        const lostAt = this.lostAt.get(instance);
        if (lostAt === undefined || aliveAt <= lostAt || aliveAt <= this.getAliveAt(instance)) {
            return false;
        }
        const isNews = this.getAliveAt(instance) <= lostAt;
        this.aliveAt.set(instance, aliveAt);
        if (isNews) {
            this.reported.delete(instance);
            this.reported.set(instance, now);
        }
        return isNews;
    }

    /** Counts the later answers that are old enough; returns the instances that they show to be alive. */
    confirmAnswers(now: number): readonly number[] {
        return [...this.laterAnswers].flatMap(([instance, { sentAt, seenAt }]) => {
            if (now - seenAt < LISTING_MS) {
                return [];
            }
            this.laterAnswers.delete(instance);
            return this.isListed(instance) && this.recordLife(instance, sentAt, now) ? [instance] : [];
        });
    }

    /** Returns the instances that other VMs should know to be alive, and the ages of that. */
    listReports(now: number): readonly { readonly instance: number; readonly ageMs: number; }[] {
        for (const [instance, since] of this.reported) {
            if (now - since > REPORT_MS) {
                this.reported.delete(instance);
            }
        }
        return [...this.reported.keys()].slice(-MAX_REPORTED).map(instance => ({
            instance,
            ageMs: now - this.getAliveAt(instance),
        }));
    }
}
