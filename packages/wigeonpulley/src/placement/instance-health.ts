/**
 * Outlier detection by the outcomes of requests: ejects a failing instance quickly and readmits it after successful
 * probes. At most half of a service's instances are ejected for failures; an unreachable one is always ejected.
 */
import type { EventLogger } from "../logging/index.js";
import type { TimerService } from "../time/index.js";

/** How one request to an instance ended. */
export type RequestOutcome = "success" | "failure" | "unreachable";

/** Weight of the newest outcome in the failure rate, an exponentially weighted moving average. */
const NEWEST_WEIGHT = 0.2;
/** Failure rate from which an instance counts as failing when the rest of the service is healthy. */
const MIN_FAILING_RATE = 0.4;
/** Factor by which a failing instance's failure rate exceeds the median of the service's others. */
const OUTLIER_FACTOR = 2.5;
/** Outcomes needed before the failure rate means anything. */
const MIN_OUTCOMES = 3;
/** Duration of the first ejection, in milliseconds; doubled with each failed probe. */
const INITIAL_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 8_000;
/** Successful probes after which an instance is trusted again. */
const PROBES_TO_RECOVER = 2;

interface HealthRecord {
    service: string;
    failureRate: number;
    outcomes: number;
    /** Monotonic time at which probing may start, in milliseconds; undefined while the instance is trusted. */
    ejectedUntil: number | undefined;
    ejectionMs: number;
    probesLeft: number;
    isProbeInFlight: boolean;
    isUnreachable: boolean;
}

/** Decides which instances may get requests. */
export class InstanceHealth {
    private readonly records = new Map<string, HealthRecord>();

    private constructor(private readonly timers: TimerService, private readonly logger: EventLogger) {}

    /** Creates health records; every instance is trusted at first. */
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

    /** True when the instance may get a request now. After its ejection it gets one probe at a time. */
    canUse(id: string): boolean {
        const record = this.records.get(id);
        return record?.ejectedUntil === undefined
            || (this.timers.now() >= record.ejectedUntil && !record.isProbeInFlight);
    }

    /** True while the instance is neither ejected nor being probed. */
    isTrusted(id: string): boolean {
        return this.records.get(id)?.ejectedUntil === undefined;
    }

    /** True from an attempt that did not reach the instance until a probe does. */
    isUnreachable(id: string): boolean {
        const record = this.records.get(id);
        return record?.ejectedUntil !== undefined && record.isUnreachable;
    }

    /** Moving average of the share of failed requests, from 0 to 1; 0 before the first outcome. */
    getFailureRate(id: string): number {
        return this.records.get(id)?.failureRate ?? 0;
    }

    /** Records that a request is sent to the instance; an instance that is not trusted takes it as its probe. */
    recordDispatch(id: string): void {
        const record = this.records.get(id);
        if (record?.ejectedUntil !== undefined) {
            record.isProbeInFlight = true;
        }
    }

    /** Records that a request ended without telling anything about the instance. */
    recordInconclusive(id: string): void {
        const record = this.records.get(id);
        if (record !== undefined) {
            record.isProbeInFlight = false;
        }
    }

    /** Records how a request ended; `reason` is logged if it ejects the instance. */
    recordOutcome(service: string, id: string, outcome: RequestOutcome, reason: string): void {
        const record = this.records.get(id) ?? createRecord(service);
        this.records.set(id, record);
        const failed = outcome === "success" ? 0 : 1;
        record.failureRate += (failed - record.failureRate) * NEWEST_WEIGHT;
        record.outcomes += 1;
        if (record.ejectedUntil === undefined || outcome === "unreachable") {
            record.isUnreachable = outcome === "unreachable";
        }
        if (record.ejectedUntil !== undefined) {
            // Requests that were in flight before the ejection tell nothing new.
            if (record.isProbeInFlight) {
                this.applyProbeOutcome(id, record, failed === 1, reason);
            }
        }
        else if (failed === 1 && this.isFailing(id, record)) {
            this.eject(id, record, INITIAL_EJECTION_MS, reason);
        }
    }

    private isFailing(id: string, record: HealthRecord): boolean {
        if (record.isUnreachable) {
            return true;
        }
        const others = [...this.records].filter(([other, { service }]) =>
            other !== id && service === record.service
        );
        const ejected = others.filter(([, { ejectedUntil }]) => ejectedUntil !== undefined).length;
        const rates = others.map(([, { failureRate }]) => failureRate).sort((left, right) => left - right);
        const medianRate = rates[Math.floor(rates.length / 2)] ?? 0;
        return record.outcomes >= MIN_OUTCOMES
            && record.failureRate >= Math.max(MIN_FAILING_RATE, OUTLIER_FACTOR * medianRate)
            && (ejected + 1) * 2 <= others.length + 1;
    }

    private applyProbeOutcome(id: string, record: HealthRecord, hasFailed: boolean, reason: string): void {
        record.isProbeInFlight = false;
        if (hasFailed) {
            this.eject(id, record, Math.min(MAX_EJECTION_MS, record.ejectionMs * 2), reason);
            return;
        }
        record.probesLeft -= 1;
        if (record.probesLeft <= 0) {
            record.ejectedUntil = undefined;
            record.failureRate = 0;
            record.outcomes = 0;
            record.isUnreachable = false;
            this.logger.write("InstanceTrusted", { instance: id });
        }
    }

    private eject(id: string, record: HealthRecord, ejectionMs: number, reason: string): void {
        record.ejectionMs = ejectionMs;
        record.ejectedUntil = this.timers.now() + ejectionMs;
        record.probesLeft = PROBES_TO_RECOVER;
        this.logger.write("InstanceDistrusted", {
            instance: id,
            reason,
            failureShare: Number(record.failureRate.toFixed(2)),
            pauseMs: ejectionMs,
        });
    }
}

const createRecord = (service: string): HealthRecord => ({
    service,
    failureRate: 0,
    outcomes: 0,
    ejectedUntil: undefined,
    ejectionMs: INITIAL_EJECTION_MS,
    probesLeft: 0,
    isProbeInFlight: false,
    isUnreachable: false,
});
