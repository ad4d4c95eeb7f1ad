/** Lets the event loop handle input that has arrived but was not read yet. */
import type { TimerService } from "../time/index.js";

/** Duration up to which a turn of the event loop is short: little input can have arrived during it. */
const SHORT_TURN_MS = 50;
/** Time after which a loop that stays late is no longer waited for, in milliseconds. */
const MAX_WAIT_MS = 500;

/**
 * Resolves once the event loop has polled again. A callback that runs in one turn finds the end of a caller's connection
 * only in the next one, even if it arrived together with the request.
 */
export const waitForPendingInput = (): Promise<void> =>
    new Promise(resolve => {
        // The first immediate still runs in this turn, the second one after the next poll.
        setImmediate(() => setImmediate(resolve));
    });

/** Resolves once the event loop has polled and was not late, or after some time if it stays late. */
export const waitUntilLoopIsInTime = async (timers: TimerService): Promise<void> => {
    const waitUntil = timers.now() + MAX_WAIT_MS;
    let startedAt: number;
    do {
        startedAt = timers.now();
        await waitForPendingInput();
    }
    while (timers.now() - startedAt > SHORT_TURN_MS && timers.now() < waitUntil);
};
