/**
 * Keeps the rate limits that instances name in their responses, over all VMs together. A few VMs, chosen by rendezvous
 * hashing, share the rate in equal parts, each in a token bucket of one request; the others send the instance nothing. Every
 * VM computes this by itself, so no call between VMs is needed before a request. That a limit exists and that it ended is
 * gossiped. Brittle instances are kept in a part of their own.
 */
import { hashIncarnation, type Instance } from "../discovery/index.js";
import { hashText } from "../hashing/index.js";
import type { EventLogger } from "../logging/index.js";
import type { TimerService } from "../time/index.js";
import { BrittleInstances } from "./brittle-instances.js";

/** What an instance names in a response. */
export interface NamedLimits {
    /** Requests a second from all VMs together; undefined when it names none. */
    readonly limitPerS: number | undefined;
    /** Requests that it may turn away in a second without failing; undefined when it names none. */
    readonly rejectionsPerS: number | undefined;
}

/** State of one instance's limit, as VMs report it to each other. */
export interface LimitReport {
    /** Hash of the incarnation. */
    readonly instance: number;
    /** Requests a second from all VMs together; undefined once the instance no longer names a limit. */
    readonly limitPerS: number | undefined;
    /** Time since this was observed, in milliseconds. */
    readonly ageMs: number;
}

/** Dependencies of the limits. */
export interface InstanceRateLimitsOptions {
    readonly self: string;
    readonly timers: TimerService;
    readonly logger: EventLogger;
    /** Returns the names of the VMs that may send requests. */
    readonly listVms: () => readonly string[];
    /** Returns the number that is assumed while they are unknown; undefined once they are known, or when absent. */
    readonly getAssumedVmCount?: () => number | undefined;
}

interface KnownLimit {
    limitPerS: number | undefined;
    /** Monotonic time at which the instance named it last, or first responded without one, in milliseconds. */
    observedAt: number;
    tokens: number;
    refilledAt: number;
    /** This VM's part of the rate, in requests a second, and when it was computed. */
    ratePerS: number;
    sharedAt: number;
    /** Rank of each VM for this instance; hashing is too slow to repeat it with each computation. */
    readonly vmHashes: Map<string, number>;
}

/** VMs that share a limit: so many that their buckets, all of them full, hold less than the limit's tolerance. */
const MIN_SHARING_VMS = 3;
const SHARING_VMS_PER_RATE = 1.5;
/** Lowest rate that is used, in requests a second: without any response the end of a limit would never be noticed. */
const MIN_RATE_PER_S = 0.1;
const BUCKET_SIZE = 1;
/** Time for which a VM's part of a limit is used before it is computed again, in milliseconds. */
const SHARE_VALIDITY_MS = 500;
/** Limits in one report; bounds its size. */
const MAX_REPORTED_LIMITS = 16;
/** Time for which the end of a limit is reported, in milliseconds. */
const MAX_REPORTED_END_AGE_MS = 10_000;
/** Time after which a limit of an instance that this VM doesn't know is forgotten, in milliseconds. */
const MAX_UNKNOWN_AGE_MS = 30_000;
const MS_PER_S = 1_000;

/** Limits that one VM knows. */
export class InstanceRateLimits {
    /** By the hash of the incarnation. */
    private readonly limits = new Map<number, KnownLimit>();
    private otherVms: readonly string[] = [];
    private vmsListedAt = Number.NEGATIVE_INFINITY;

    private readonly brittle: BrittleInstances;

    private constructor(private readonly options: InstanceRateLimitsOptions) {
        this.brittle = BrittleInstances.create({
            ...options,
            countVms: () => this.options.getAssumedVmCount?.() ?? this.listOtherVms().length + 1,
        });
    }

    /** Creates an empty set of limits. */
    static create(options: InstanceRateLimitsOptions): InstanceRateLimits {
        return new InstanceRateLimits(options);
    }

    /**
     * True when the instance names no limit, or when this VM's part of it allows a request now. `inFlight` is the number
     * of requests that this VM has there.
     */
    canSend(instance: Instance, inFlight = 0): boolean {
        if (!this.brittle.canSend(instance, inFlight)) {
            return false;
        }
        if (this.limits.size === 0) {
            return true;
        }
        const key = hashIncarnation(instance);
        const known = this.limits.get(key);
        if (known?.limitPerS === undefined) {
            return true;
        }
        this.refill(key, known, known.limitPerS);
        return known.tokens >= 1;
    }

    /** True while the instance fails when it has to turn away too many requests. */
    isBrittle(instance: Instance): boolean {
        return this.brittle.isBrittle(instance);
    }

    /** Records that a request is sent to the instance. */
    recordDispatch(instance: Instance): void {
        const known = this.limits.size === 0 ? undefined : this.limits.get(hashIncarnation(instance));
        if (known !== undefined) {
            known.tokens = Math.max(0, known.tokens - 1);
        }
    }

    /** Records that the instance turned a request away for want of room. */
    recordRejection(instance: Instance): void {
        this.brittle.recordRejection(instance);
    }

    /**
     * Records the limits in a response that has just been received. A response that names none ends a limit only if its
     * request was sent after the limit was last named, since responses overtake each other.
     */
    recordResponse(instance: Instance, { limitPerS, rejectionsPerS }: NamedLimits, sentAt: number): void {
        this.brittle.recordResponse(instance, rejectionsPerS, sentAt);
        const key = hashIncarnation(instance);
        const known = this.limits.get(key);
        if (limitPerS === undefined && (known === undefined || sentAt < known.observedAt)) {
            return;
        }
        this.set(key, limitPerS, this.options.timers.now(), instance.id);
    }

    /** Returns what the other VMs should know, the newest observations first. */
    listReports(): readonly LimitReport[] {
        const now = this.options.timers.now();
        return [...this.limits]
            .map(([instance, { limitPerS, observedAt }]) => ({
                instance,
                limitPerS,
                ageMs: now - observedAt,
            }))
            .filter(({ limitPerS, ageMs }) => limitPerS !== undefined || ageMs <= MAX_REPORTED_END_AGE_MS)
            .sort((left, right) => left.ageMs - right.ageMs)
            .slice(0, MAX_REPORTED_LIMITS);
    }

    /**
     * Applies reports of another VM. `askedAt` is the monotonic time at which the reports were asked for; undefined for
     * reports that came unasked. Those may have been on their way for any time, so the end of a limit in them doesn't
     * count: it could be older than the limit.
     */
    applyReports(reports: readonly LimitReport[], askedAt: number | undefined): void {
        const now = this.options.timers.now();
        for (const { instance, limitPerS, ageMs } of reports) {
            const observedAt = (limitPerS === undefined ? askedAt ?? Number.NEGATIVE_INFINITY : now) - ageMs;
            const known = this.limits.get(instance);
            const isEndOfUnknown = limitPerS === undefined && known === undefined;
            if (!isEndOfUnknown && observedAt > (known?.observedAt ?? Number.NEGATIVE_INFINITY)) {
                this.set(instance, limitPerS, observedAt, "");
            }
        }
    }

    /** Forgets the limits of instances that are gone. */
    retain(instances: readonly Instance[]): void {
        this.brittle.retain(instances);
        const oldestObservedAt = this.options.timers.now() - MAX_UNKNOWN_AGE_MS;
        const keys = new Set(this.limits.size === 0 ? [] : instances.map(hashIncarnation));
        for (const [key, { observedAt }] of this.limits) {
            if (!keys.has(key) && observedAt < oldestObservedAt) {
                this.limits.delete(key);
            }
        }
    }

    private set(key: number, limitPerS: number | undefined, observedAt: number, instance: string): void {
        const { timers, logger } = this.options;
        const known = this.limits.get(key);
        if (limitPerS !== known?.limitPerS) {
            logger.write("InstanceLimitChanged", {
                instance,
                incarnation: key,
                limitPerS: limitPerS ?? -1,
                beforePerS: known?.limitPerS ?? -1,
            });
        }
        if (known === undefined) {
            const refilledAt = timers.now();
            this.limits.set(key, {
                limitPerS,
                observedAt,
                tokens: 0,
                refilledAt,
                ratePerS: 0,
                sharedAt: Number.NEGATIVE_INFINITY,
                vmHashes: new Map(),
            });
            return;
        }
        known.limitPerS = limitPerS;
        known.observedAt = observedAt;
    }

    private refill(key: number, known: KnownLimit, limitPerS: number): void {
        const now = this.options.timers.now();
        if (now - known.sharedAt >= SHARE_VALIDITY_MS) {
            known.ratePerS = this.computeOwnRate(key, known, Math.max(MIN_RATE_PER_S, limitPerS));
            known.sharedAt = now;
        }
        const filled = known.tokens + known.ratePerS * (now - known.refilledAt) / MS_PER_S;
        known.tokens = Math.min(BUCKET_SIZE, filled);
        known.refilledAt = now;
    }

    /** Returns this VM's part of a limit, in requests a second; 0 when others share it. */
    private computeOwnRate(key: number, { vmHashes }: KnownLimit, limitPerS: number): number {
        const assumedCount = this.options.getAssumedVmCount?.();
        if (assumedCount !== undefined) {
            // Which VMs share the limit can't be told.
            return limitPerS / assumedCount;
        }
        const others = this.listOtherVms();
        const sharing = Math.min(
            others.length + 1,
            Math.floor(MIN_SHARING_VMS + SHARING_VMS_PER_RATE * limitPerS),
        );
        const getHash = (vm: string): number => {
            const hash = vmHashes.get(vm) ?? hashText(`${key}\n${vm}`);
            vmHashes.set(vm, hash);
            return hash;
        };
        const ownHash = getHash(this.options.self);
        const ahead = others.filter(vm => getHash(vm) > ownHash).length;
        return ahead < sharing ? limitPerS / sharing : 0;
    }

    private listOtherVms(): readonly string[] {
        const { self, timers, listVms } = this.options;
        if (timers.now() - this.vmsListedAt >= SHARE_VALIDITY_MS) {
            this.otherVms = listVms().filter(vm => vm !== self);
            this.vmsListedAt = timers.now();
        }
        return this.otherVms;
    }
}
