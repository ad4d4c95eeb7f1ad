/** How fast instances work, learned from answers: prompt tokens a millisecond for engines, time an answer for services. */

/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.15;
/** Prefill speed of an engine that was not seen yet, in tokens a millisecond; only its order of magnitude matters. */
const FIRST_GUESS_TOKENS_PER_MS = 30;
/** Time of an answer of a service that was not seen yet, in milliseconds. */
const FIRST_GUESS_ANSWER_MS = 30;

/** Time between events of an engine that was not seen yet, in milliseconds. */
const FIRST_GUESS_GAP_MS = 25;
/** Events from which the time between them means anything. */
const LEAST_EVENTS = 4;

/** Pace of one instance. */
export class InstancePace {
    private tokensPerMs: number | undefined;
    private answerMs: number | undefined;
    private gapMs: number | undefined;

    private constructor() {}

    /** Creates a pace without observations. */
    static create(): InstancePace {
        return new InstancePace();
    }

    /** Notes that a first event came `elapsedMs` after dispatch, with `tokens` to be read before it. */
    observeFirstEvent(tokens: number, elapsedMs: number): void {
        const speed = Math.max(1, tokens) / Math.max(1, elapsedMs);
        this.tokensPerMs = this.tokensPerMs === undefined
            ? speed
            : this.tokensPerMs + (speed - this.tokensPerMs) * NEWEST_WEIGHT;
    }

    /** Notes that a whole answer took `elapsedMs`. */
    observeAnswer(elapsedMs: number): void {
        this.answerMs = this.answerMs === undefined
            ? elapsedMs
            : this.answerMs + (elapsedMs - this.answerMs) * NEWEST_WEIGHT;
    }

    /** Notes that `events` events after the first one took `elapsedMs`. */
    observeEvents(events: number, elapsedMs: number): void {
        if (events < LEAST_EVENTS) {
            return;
        }
        const gap = elapsedMs / events;
        this.gapMs = this.gapMs === undefined ? gap : this.gapMs + (gap - this.gapMs) * NEWEST_WEIGHT;
    }

    /** Expected time between two events, in milliseconds. */
    estimateGapMs(): number {
        return this.gapMs ?? FIRST_GUESS_GAP_MS;
    }

    /** Expected time to the first event after `tokens` were read, in milliseconds. */
    estimateFirstEventMs(tokens: number): number {
        return tokens / (this.tokensPerMs ?? FIRST_GUESS_TOKENS_PER_MS);
    }

    /** Expected time of a whole answer when others are worked on at the same time, in milliseconds. */
    estimateAnswerMs(inFlight: number, slots: number): number {
        const turns = 1 + Math.floor(inFlight / slots) + inFlight / slots / 4;
        return (this.answerMs ?? FIRST_GUESS_ANSWER_MS) * turns;
    }
}
