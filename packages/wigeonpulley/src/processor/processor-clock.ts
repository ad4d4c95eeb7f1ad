/** Clocks that tell how a process uses the processor. */
import { performance } from "node:perf_hooks";

const MICROSECONDS_PER_MS = 1_000;

/** Clocks of one process. */
export abstract class ProcessorClock {
    /** Processor time of all threads of the process so far, in milliseconds. */
    abstract readUsedMs(): number;

    /** Time for which the event loop has waited for events so far, in milliseconds. */
    abstract readIdleMs(): number;
}

/** Clocks of Node.js. */
export class SystemProcessorClock extends ProcessorClock {
    private constructor() {
        super();
    }

    /** Creates the clocks of this process. */
    static create(): SystemProcessorClock {
        return new SystemProcessorClock();
    }

    override readUsedMs(): number {
        const { user, system } = process.cpuUsage();
        return (user + system) / MICROSECONDS_PER_MS;
    }

    override readIdleMs(): number {
        return performance.eventLoopUtilization().idle;
    }
}
