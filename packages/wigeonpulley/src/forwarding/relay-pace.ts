/**
 * Relays streams in common turns while the processor is scarce. Reading, parsing and writing costs almost as much for one event as
 * for several, so events that arrive between two turns are relayed together; a first event and a whole response never wait.
 */
import type { ProcessorMonitor } from "../processor/index.js";
import type { TimerService } from "../time/index.js";

/** Busy share of the event loop from which events wait for a turn. */
const MIN_BUSY_SHARE = 0.6;
/** Interval of the turns when the event loop is always busy, in milliseconds; less than most readers of a stream notice. */
const MAX_INTERVAL_MS = 100;
/** Interval below which turns are not worth their timer, in milliseconds. */
const MIN_INTERVAL_MS = 10;

/** Turns of one process. */
export class RelayPace {
    private turn: Promise<void> | undefined;

    private constructor(
        private readonly timers: TimerService,
        private readonly processor: ProcessorMonitor,
    ) {}

    /** Creates the pace for a process with a monitor. */
    static create(timers: TimerService, processor: ProcessorMonitor): RelayPace {
        return new RelayPace(timers, processor);
    }

    /** Resolves with the next turn; undefined while streams are relayed as they arrive. */
    waitForTurn(): Promise<void> | undefined {
        if (this.turn === undefined) {
            const scarcity = (this.processor.getBusyShare() - MIN_BUSY_SHARE) / (1 - MIN_BUSY_SHARE);
            // A late event loop makes events wait anyway.
            const intervalMs = MAX_INTERVAL_MS * scarcity - this.processor.getDelayMs();
            if (intervalMs < MIN_INTERVAL_MS) {
                return undefined;
            }
            this.turn = this.timers.sleep(intervalMs).then(() => {
                this.turn = undefined;
            });
        }
        return this.turn;
    }
}
