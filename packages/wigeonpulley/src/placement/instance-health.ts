/**
 * Health of instances by the evidence of requests: quick to take an instance out, careful to let it back. At most half
 * of the instances of a service are taken out for failing; one that takes no connection is always out.
 */
import type { EventLogger } from "../logging/index.js";
import type { TimerService } from "../time/index.js";

/** How one request went. */
export type RequestOutcome = "success" | "failure" | "unreachable";

/** Weight of the newest outcome in the failure share. */
const NEWEST_WEIGHT = 0.2;
/** Failure share from which an instance counts as failing when the rest of the service is sound. */
const FAILING_SHARE = 0.4;
/** Times the service's own failure share that an instance must exceed. */
const OUTLIER_FACTOR = 2.5;
/** Outcomes before the failure share means anything. */
const LEAST_OUTCOMES = 3;
/** First time out, in milliseconds; doubled each time that a trial fails. */
const FIRST_PAUSE_MS = 1_000;
const LONGEST_PAUSE_MS = 8_000;
/** Successful trials that end the doubt. */
const TRIALS_TO_RECOVER = 2;

interface Record {
    service: string;
    failureShare: number;
    outcomes: number;
    /** End of the present time out; undefined while the instance is in use without doubt. */
    pausedUntil: number | undefined;
    pauseMs: number;
    trialsLeft: number;
    isTrialOpen: boolean;
    isUnreachable: boolean;
}

/** Evidence on all instances. */
export class InstanceHealth {
    private readonly records = new Map<string, Record>();

    private constructor(private readonly timers: TimerService, private readonly logger: EventLogger) {}

    /** Creates a view without evidence. */
    static create(timers: TimerService, logger: EventLogger): InstanceHealth {
        return new InstanceHealth(timers, logger);
    }

    /** Keeps only the records of the given instances. */
    retain(ids: ReadonlySet<string>): void {
        for (const id of this.records.keys()) {
            if (!ids.has(id)) {
                this.records.delete(id);
            }
        }
    }

    /** True when the instance may get a request now. A doubtful one gets one request at a time. */
    canUse(id: string): boolean {
        const record = this.records.get(id);
        return record?.pausedUntil === undefined
            || (this.timers.now() >= record.pausedUntil && !record.isTrialOpen);
    }

    /** True while the instance is in use without doubt. */
    isTrusted(id: string): boolean {
        return this.records.get(id)?.pausedUntil === undefined;
    }

    /** Share of requests that failed lately, from 0 to 1. */
    getFailureRate(id: string): number {
        return this.records.get(id)?.failureShare ?? 0;
    }

    /** Notes that a request is on its way to the instance. */
    recordDispatch(id: string): void {
        const record = this.records.get(id);
        if (record?.pausedUntil !== undefined) {
            record.isTrialOpen = true;
        }
    }

    /** Notes that a request ended without saying anything of the instance. */
    recordInconclusive(id: string): void {
        const record = this.records.get(id);
        if (record !== undefined) {
            record.isTrialOpen = false;
        }
    }

    /** Notes how a request went. */
    recordOutcome(service: string, id: string, evidence: RequestOutcome, reason: string): void {
        const record = this.records.get(id) ?? createRecord(service);
        this.records.set(id, record);
        const failed = evidence === "success" ? 0 : 1;
        record.failureShare += (failed - record.failureShare) * NEWEST_WEIGHT;
        record.outcomes += 1;
        record.isUnreachable = evidence === "unreachable";
        if (record.pausedUntil !== undefined) {
            // Requests that were on their way before the time out say nothing new.
            if (record.isTrialOpen) {
                this.judgeTrial(id, record, failed === 1, reason);
            }
        }
        else if (failed === 1 && this.isFailing(id, record)) {
            this.pause(id, record, FIRST_PAUSE_MS, reason);
        }
    }

    private isFailing(id: string, record: Record): boolean {
        if (record.isUnreachable) {
            return true;
        }
        const others = [...this.records].filter(([other, { service }]) =>
            other !== id && service === record.service
        );
        const out = others.filter(([, { pausedUntil }]) => pausedUntil !== undefined).length;
        const shares = others.map(([, { failureShare }]) => failureShare).sort((left, right) => left - right);
        const usual = shares[Math.floor(shares.length / 2)] ?? 0;
        return record.outcomes >= LEAST_OUTCOMES
            && record.failureShare >= Math.max(FAILING_SHARE, OUTLIER_FACTOR * usual)
            && (out + 1) * 2 <= others.length + 1;
    }

    private judgeTrial(id: string, record: Record, hasFailed: boolean, reason: string): void {
        record.isTrialOpen = false;
        if (hasFailed) {
            this.pause(id, record, Math.min(LONGEST_PAUSE_MS, record.pauseMs * 2), reason);
            return;
        }
        record.trialsLeft -= 1;
        if (record.trialsLeft <= 0) {
            record.pausedUntil = undefined;
            record.failureShare = 0;
            record.outcomes = 0;
            this.logger.write("InstanceTrusted", { instance: id });
        }
    }

    private pause(id: string, record: Record, pauseMs: number, reason: string): void {
        record.pauseMs = pauseMs;
        record.pausedUntil = this.timers.now() + pauseMs;
        record.trialsLeft = TRIALS_TO_RECOVER;
        this.logger.write("InstanceDistrusted", {
            instance: id,
            reason,
            failureShare: Number(record.failureShare.toFixed(2)),
            pauseMs,
        });
    }
}

const createRecord = (service: string): Record => ({
    service,
    failureShare: 0,
    outcomes: 0,
    pausedUntil: undefined,
    pauseMs: FIRST_PAUSE_MS,
    trialsLeft: 0,
    isTrialOpen: false,
    isUnreachable: false,
});
