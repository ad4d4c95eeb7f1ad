/**
 * Learns how many requests each instance takes before more of them only slow it down, from the pace of its responses at
 * different concurrencies (docs/design/0010-learned-concurrency.md). VMs share what they observe with their load reports.
 */
import type { Instance } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";
import { combineTables, computeNextLimit, type PaceEvidence } from "./concurrency-estimator.js";
import { LoopLateness } from "./loop-lateness.js";
import { type ObservedLoad, PaceObservation, type PaceObservationOptions } from "./pace-observation.js";
import { type PaceCell, PaceTable } from "./pace-table.js";

/** What a VM reports of an instance. */
export interface ReportedPace {
    readonly instance: string;
    /** Limit that the VM applies; undefined for none. */
    readonly limit: number | undefined;
    /** Observations of the last seconds, and of the last minutes. */
    readonly recent: ReadonlyMap<number, PaceCell>;
    readonly longTerm: ReadonlyMap<number, PaceCell>;
}

/** Settings of the learned concurrency. */
export interface LearnedConcurrencySettings {
    readonly enabled: boolean;
    readonly floorShare: number;
    readonly probeIntervalMs: number;
}

/** Dependencies of the learned concurrency. */
export interface LearnedConcurrencyOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly settings: LearnedConcurrencySettings;
    /** Returns what other VMs report of an instance. */
    readonly listPeerPaces: (instance: string) => readonly ReportedPace[];
    /** True while an instance is cold: its pace then says nothing about its concurrency. */
    readonly isCold: (instance: Instance) => boolean;
}

/** Limit of an instance as operators see it. */
export interface ConcurrencyState {
    readonly limit: number;
    /** Observations of the last seconds, of all VMs. */
    readonly observations: number;
}

/** What an observation needs to know of the request and its instance. */
export interface ObservationSources extends Pick<PaceObservationOptions, "isEngine" | "estimatePrefillMs"> {
    /** Requests of all VMs in flight at the instance, as far as known. */
    readonly countInFlight: () => number;
    readonly readPrefill: () => Omit<ObservedLoad, "inFlightMs" | "inFlightSquaredMs">;
}

interface InstanceState {
    openObservations: number;
    countInFlight: () => number;
    /** Requests in flight since a monotonic time in milliseconds, and the integrals over the time before. */
    inFlight: number;
    inFlightSince: number;
    inFlightMs: number;
    inFlightSquaredMs: number;
    readonly recent: PaceTable;
    readonly longTerm: PaceTable;
    limit: number | undefined;
    /** Monotonic times of the last computation, the last change, and from which on a probe may be sent, in milliseconds. */
    evaluatedAt: number;
    changedAt: number;
    probeAt: number;
}

/** Half-lives of the observations: short enough to follow a change within seconds, and for comparison with before it. */
const RECENT_HALF_LIFE_MS = 4_000;
const LONG_TERM_HALF_LIFE_MS = 60_000;
/** Interval of the computations, and least time between two changes of a limit, in milliseconds. */
const EVALUATION_INTERVAL_MS = 200;
const MIN_CHANGE_INTERVAL_MS = 1_000;
/** Weight of the recent observations above the limit from which no probe is needed. */
const PROBED_WEIGHT = 2;

/** Limits that one VM has learned. */
export class LearnedConcurrency {
    private readonly states = new Map<string, InstanceState>();
    private readonly lateness: LoopLateness;

    private constructor(private readonly options: LearnedConcurrencyOptions) {
        this.lateness = LoopLateness.create(options.timers, () => this.sampleLevels());
        if (options.settings.enabled) {
            this.lateness.start();
        }
    }

    /** Creates a learner that knows nothing. If it is not enabled, it stays so. */
    static create(options: LearnedConcurrencyOptions): LearnedConcurrency {
        return new LearnedConcurrency(options);
    }

    /** Starts to observe a request; undefined when nothing can be learned from it. */
    startObservation(
        instance: Instance,
        options: ObservationSources,
    ): PaceObservation | undefined {
        const { timers, settings, isCold } = this.options;
        if (!settings.enabled || isCold(instance)) {
            return undefined;
        }
        const state = this.getState(instance.id);
        state.openObservations += 1;
        state.countInFlight = options.countInFlight;
        return PaceObservation.create({
            ...options,
            timers,
            readLoad: () => this.readLoad(state, options),
            wasLateSince: time => this.lateness.wasLateSince(time),
            onPace: (level, paceMs) => this.recordPace(instance, level, paceMs),
            onFinish: () => {
                state.openObservations -= 1;
            },
        });
    }

    /** Number of requests in flight below which the instance may get one more; infinite if nothing limits it. */
    getLimit(instance: Instance): number {
        if (!this.options.settings.enabled) {
            return Number.POSITIVE_INFINITY;
        }
        this.refreshState(instance);
        return this.states.get(instance.id)?.limit ?? Number.POSITIVE_INFINITY;
    }

    /** The same for a request that would have to wait otherwise: one more if it is time to try that again. */
    getProbeLimit(instance: Instance): number {
        const limit = this.getLimit(instance);
        const state = this.states.get(instance.id);
        return state === undefined || this.options.timers.now() < state.probeAt
                || this.countRecentAbove(instance.id, state, limit) >= PROBED_WEIGHT
            ? limit
            : limit + 1;
    }

    /** Records that a request goes to an instance with `inFlight` others, so that the next probe waits if this is one. */
    recordDispatch(instance: Instance, inFlight: number): void {
        const state = this.states.get(instance.id);
        if (state?.limit !== undefined && inFlight >= state.limit) {
            state.probeAt = this.options.timers.now() + this.computeProbeIntervalMs(instance.id);
        }
    }

    /** Lists what this VM has observed of each instance, and its limits. */
    listReports(): readonly ReportedPace[] {
        const now = this.options.timers.now();
        return [...this.states].map(([instance, { recent, longTerm, limit }]) => ({
            instance,
            limit,
            recent: recent.list(now),
            longTerm: longTerm.list(now),
        })).filter(pace => pace.limit !== undefined || pace.longTerm.size > 0);
    }

    /** Describes the limit of an instance; undefined for none. */
    describe(instance: Instance): ConcurrencyState | undefined {
        const limit = this.getLimit(instance);
        const state = this.states.get(instance.id);
        return state === undefined || !Number.isFinite(limit)
            ? undefined
            : { limit, observations: Math.round(this.countRecentAbove(instance.id, state, 0)) };
    }

    /** Number of limited instances. */
    get limitedCount(): number {
        return [...this.states.values()].filter(({ limit }) => limit !== undefined).length;
    }

    /** Removes the instances that are not in `ids`. */
    retain(ids: ReadonlySet<string>): void {
        [...this.states.keys()].filter(id => !ids.has(id)).forEach(id => this.states.delete(id));
    }

    /** Stops the background task. */
    stop(): void {
        this.lateness.stop();
    }

    /** Reads the requests in flight of the instances with open observations: reports of other VMs change them meanwhile. */
    private sampleLevels(): void {
        for (const state of this.states.values()) {
            if (state.openObservations > 0) {
                this.recordLevel(state);
            }
        }
    }

    private readLoad(state: InstanceState, { readPrefill }: ObservationSources): ObservedLoad {
        this.recordLevel(state);
        const { inFlightMs, inFlightSquaredMs } = state;
        return { inFlightMs, inFlightSquaredMs, ...readPrefill() };
    }

    private recordLevel(state: InstanceState): void {
        const now = this.options.timers.now();
        state.inFlightMs += state.inFlight * (now - state.inFlightSince);
        state.inFlightSquaredMs += state.inFlight ** 2 * (now - state.inFlightSince);
        state.inFlightSince = now;
        state.inFlight = state.countInFlight();
    }

    private recordPace(instance: Instance, level: number, paceMs: number): void {
        const now = this.options.timers.now();
        const state = this.getState(instance.id);
        // Requests beyond its slots wait at the instance and slow nothing.
        const running = Math.min(level, instance.slots);
        state.recent.observe(running, paceMs, now);
        state.longTerm.observe(running, paceMs, now);
    }

    /** Computes the limit of an instance again if it is time to. */
    private refreshState(instance: Instance): void {
        const now = this.options.timers.now();
        const peers = this.options.listPeerPaces(instance.id);
        const known = this.states.get(instance.id);
        if (known === undefined && peers.length === 0) {
            return;
        }
        const state = known ?? this.getState(instance.id);
        if (known === undefined) {
            this.setLimit(instance, state, findSharedLimit(peers, instance.slots));
        }
        if (
            now - state.evaluatedAt < EVALUATION_INTERVAL_MS || now - state.changedAt < MIN_CHANGE_INTERVAL_MS
        ) {
            return;
        }
        state.evaluatedAt = now;
        const evidence = this.combineEvidence(state, peers);
        const floor = Math.max(1, Math.ceil(instance.slots * this.options.settings.floorShare));
        this.setLimit(
            instance,
            state,
            evidence.recent.size === 0
                ? undefined
                : computeNextLimit(evidence, state.limit, floor, instance.slots),
        );
    }

    private setLimit(instance: Instance, state: InstanceState, limit: number | undefined): void {
        if (limit === state.limit) {
            return;
        }
        const { timers, random, logger } = this.options;
        logger.write("ConcurrencyLearned", {
            instance: instance.id,
            from: state.limit ?? instance.slots,
            to: limit ?? instance.slots,
            slots: instance.slots,
        });
        state.limit = limit;
        state.changedAt = timers.now();
        // All VMs that limit the instance must not probe it at the same time.
        state.probeAt = timers.now() + this.computeProbeIntervalMs(instance.id) * random.pickFraction();
    }

    /** Interval between two probes of this VM, so that all VMs together send one in the interval of the settings. */
    private computeProbeIntervalMs(id: string): number {
        return this.options.settings.probeIntervalMs * (this.options.listPeerPaces(id).length + 1);
    }

    private countRecentAbove(id: string, state: InstanceState, level: number): number {
        const { recent } = this.combineEvidence(state, this.options.listPeerPaces(id));
        return [...recent].reduce((sum, [other, { weight }]) => sum + (other > level ? weight : 0), 0);
    }

    private combineEvidence(state: InstanceState, peers: readonly ReportedPace[]): PaceEvidence {
        const now = this.options.timers.now();
        return {
            recent: combineTables([state.recent.list(now), ...peers.map(({ recent }) => recent)]),
            longTerm: combineTables([state.longTerm.list(now), ...peers.map(({ longTerm }) => longTerm)]),
        };
    }

    private getState(id: string): InstanceState {
        const state = this.states.get(id)
            ?? {
                recent: PaceTable.create(RECENT_HALF_LIFE_MS),
                longTerm: PaceTable.create(LONG_TERM_HALF_LIFE_MS),
                openObservations: 0,
                countInFlight: () => 0,
                inFlight: 0,
                inFlightSince: 0,
                inFlightMs: 0,
                inFlightSquaredMs: 0,
                limit: undefined,
                evaluatedAt: 0,
                changedAt: Number.NEGATIVE_INFINITY,
                probeAt: 0,
            };
        this.states.set(id, state);
        return state;
    }
}

/** Limit with which a VM starts that has observed nothing itself: the highest, if most others limit the instance. */
const findSharedLimit = (peers: readonly ReportedPace[], slots: number): number | undefined => {
    const limits = peers.flatMap(({ limit }) => limit ?? []);
    return limits.length * 2 > peers.length ? Math.min(slots, Math.max(...limits)) : undefined;
};
