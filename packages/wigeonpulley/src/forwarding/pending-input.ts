/** Lets the event loop handle input that has arrived but was not read yet. */

/**
 * Resolves once the event loop has polled again. A callback that runs in one turn finds the end of a caller's connection
 * only in the next one, even if it arrived together with the request.
 */
export const waitForPendingInput = (): Promise<void> =>
    new Promise(resolve => {
        // The first immediate still runs in this turn, the second one after the next poll.
        setImmediate(() => setImmediate(resolve));
    });
