/**
 * Learns an instance's latency from its responses by exponentially weighted moving averages. An engine's prefill time
 * grows in proportion to its event gap, so the time to the first event is fitted for all engines of a service together,
 * in units of each engine's event gap: an engine that this VM has hardly used is predictable from its first few events.
 */
import { DecayingLinearRegression } from "./decaying-linear-regression.js";

/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.15;
/** Prior times to the first event in event gaps, by tokens to prefill; only the order of the estimates matters. */
const PRIOR_FIRST_EVENT_POINTS: readonly (readonly [tokens: number, gaps: number])[] = [[0, 3], [6_000, 8]];
/** Response time of a service without observations, in milliseconds. */
const PRIOR_RESPONSE_MS = 30;
/** Event gap of an engine without observations, in milliseconds. */
const PRIOR_EVENT_GAP_MS = 25;
/** Least number of events in a sample of the event gap, and the number from which the sample has its full weight. */
const MIN_EVENTS = 2;
const FULL_WEIGHT_EVENTS = 8;

/** Creates the regression of the time to the first event over the tokens to prefill, for the engines of one service. */
export const createFirstEventRegression = (): DecayingLinearRegression =>
    DecayingLinearRegression.create(PRIOR_FIRST_EVENT_POINTS);

/** Latency model of one instance. */
export class InstanceLatencyModel {
    private responseMs: number | undefined;
    private eventGapMs: number | undefined;

    private constructor(
        private readonly firstEventRegression: DecayingLinearRegression,
        private readonly getReportedEventGapMs: () => number | undefined,
    ) {}

    /**
     * Creates a model without observations. `firstEventRegression` is shared by the instances of a service;
     * `getReportedEventGapMs` returns the event gap that other VMs observed.
     */
    static create(
        firstEventRegression: DecayingLinearRegression,
        getReportedEventGapMs: () => number | undefined,
    ): InstanceLatencyModel {
        return new InstanceLatencyModel(firstEventRegression, getReportedEventGapMs);
    }

    /** Event gap that this VM observed, in milliseconds; undefined before the first observation. */
    get observedEventGapMs(): number | undefined {
        return this.eventGapMs;
    }

    /**
     * Records that the first event arrived `elapsedMs` after dispatch, with `tokens` to prefill before it. Has no
     * effect until this VM has observed the event gap.
     */
    observeFirstEvent(tokens: number, elapsedMs: number): void {
        if (this.eventGapMs !== undefined) {
            this.firstEventRegression.observe(tokens, elapsedMs / this.eventGapMs);
        }
    }

    /** Records that a whole response took `elapsedMs`. */
    observeResponse(elapsedMs: number): void {
        this.responseMs = this.responseMs === undefined
            ? elapsedMs
            : this.responseMs + (elapsedMs - this.responseMs) * NEWEST_WEIGHT;
    }

    /** Records that `events` events after the first one took `elapsedMs`. */
    observeEvents(events: number, elapsedMs: number): void {
        if (events < MIN_EVENTS || elapsedMs <= 0) {
            return;
        }
        const sampleMs = elapsedMs / events;
        const previousMs = this.eventGapMs ?? this.getReportedEventGapMs();
        const weight = NEWEST_WEIGHT * Math.min(1, events / FULL_WEIGHT_EVENTS);
        this.eventGapMs = previousMs === undefined ? sampleMs : previousMs + (sampleMs - previousMs) * weight;
    }

    /** Expected event gap, in milliseconds. */
    estimateEventGapMs(): number {
        return this.eventGapMs ?? this.getReportedEventGapMs() ?? PRIOR_EVENT_GAP_MS;
    }

    /** Expected time to the first event when `tokens` have to be prefilled, in milliseconds. */
    estimateFirstEventMs(tokens: number): number {
        return this.firstEventRegression.estimate(tokens) * this.estimateEventGapMs();
    }

    /** Time that an engine takes to prefill `tokens`, in milliseconds; it delays the engine's streams by as much. */
    estimatePrefillMs(tokens: number): number {
        return tokens * this.firstEventRegression.computeSlope() * this.estimateEventGapMs();
    }

    /** Expected time of a whole response with `inFlight` other requests at the instance, in milliseconds. */
    estimateResponseMs(inFlight: number, slots: number): number {
        const slowdown = 1 + Math.floor(inFlight / slots) + inFlight / slots / 4;
        return (this.responseMs ?? PRIOR_RESPONSE_MS) * slowdown;
    }
}
