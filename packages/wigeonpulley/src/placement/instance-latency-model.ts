/**
 * How fast instances work, learned from answers. An engine that makes events slowly reads prompts as slowly, so the time
 * to a first event is learned for all engines of a service together, in units of each engine's time between two events.
 * So one that this VM has hardly used yet is known from its first few events.
 */
import { DecayingLinearRegression } from "./decaying-linear-regression.js";

/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.15;
/** First events of a service that was not seen yet, in gaps between events, by tokens to read; only the order matters. */
const PRIOR_FIRST_EVENT_POINTS: readonly (readonly [tokens: number, gaps: number])[] = [[0, 3], [6_000, 8]];
/** Time of an answer of a service that was not seen yet, in milliseconds. */
const PRIOR_RESPONSE_MS = 30;
/** Time between events of an engine that was not seen yet, in milliseconds. */
const PRIOR_EVENT_GAP_MS = 25;
/** Events from which the time between them means anything, and from which it counts in full. */
const MIN_EVENTS = 2;
const FULL_WEIGHT_EVENTS = 8;

/** How the time to a first event grows with the prompt, for the engines of one service. */
export const createFirstEventRegression = (): DecayingLinearRegression =>
    DecayingLinearRegression.create(PRIOR_FIRST_EVENT_POINTS);

/** Pace of one instance. */
export class InstanceLatencyModel {
    private responseMs: number | undefined;
    private eventGapMs: number | undefined;

    private constructor(
        private readonly firstEventRegression: DecayingLinearRegression,
        private readonly getReportedEventGapMs: () => number | undefined,
    ) {}

    /**
     * Creates a pace without observations; `firstEvents` is shared by the instances of a service, `readHeardGapMs` is the
     * time between two events that other VMs saw.
     */
    static create(
        firstEventRegression: DecayingLinearRegression,
        getReportedEventGapMs: () => number | undefined,
    ): InstanceLatencyModel {
        return new InstanceLatencyModel(firstEventRegression, getReportedEventGapMs);
    }

    /** Time between two events that this VM saw, in milliseconds. */
    get observedEventGapMs(): number | undefined {
        return this.eventGapMs;
    }

    /** Notes that a first event came `elapsedMs` after dispatch, with `tokens` to be read before it. */
    observeFirstEvent(tokens: number, elapsedMs: number): void {
        if (this.eventGapMs !== undefined) {
            this.firstEventRegression.observe(tokens, elapsedMs / this.eventGapMs);
        }
    }

    /** Notes that a whole answer took `elapsedMs`. */
    observeResponse(elapsedMs: number): void {
        this.responseMs = this.responseMs === undefined
            ? elapsedMs
            : this.responseMs + (elapsedMs - this.responseMs) * NEWEST_WEIGHT;
    }

    /** Notes that `events` events after the first one took `elapsedMs`. */
    observeEvents(events: number, elapsedMs: number): void {
        if (events < MIN_EVENTS || elapsedMs <= 0) {
            return;
        }
        const sampleMs = elapsedMs / events;
        const previousMs = this.eventGapMs ?? this.getReportedEventGapMs();
        const weight = NEWEST_WEIGHT * Math.min(1, events / FULL_WEIGHT_EVENTS);
        this.eventGapMs = previousMs === undefined ? sampleMs : previousMs + (sampleMs - previousMs) * weight;
    }

    /** Expected time between two events, in milliseconds. */
    estimateEventGapMs(): number {
        return this.eventGapMs ?? this.getReportedEventGapMs() ?? PRIOR_EVENT_GAP_MS;
    }

    /** Expected time to the first event after `tokens` were read, in milliseconds. */
    estimateFirstEventMs(tokens: number): number {
        return this.firstEventRegression.estimate(tokens) * this.estimateEventGapMs();
    }

    /** Time that an engine takes to read so many tokens, in milliseconds; the answers beside it wait as long. */
    estimatePrefillMs(tokens: number): number {
        return tokens * this.firstEventRegression.computeSlope() * this.estimateEventGapMs();
    }

    /** Expected time of a whole answer when others are worked on at the same time, in milliseconds. */
    estimateResponseMs(inFlight: number, slots: number): number {
        const slowdown = 1 + Math.floor(inFlight / slots) + inFlight / slots / 4;
        return (this.responseMs ?? PRIOR_RESPONSE_MS) * slowdown;
    }
}
