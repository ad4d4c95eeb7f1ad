/** Order of waiting requests within one tier. */
import { Ord as numberOrd } from "fp-ts/lib/number.js";
import { contramap, type Ord } from "fp-ts/lib/Ord.js";

/** Properties that an order may use. Times are monotonic milliseconds. */
export interface QueueEntry {
    readonly arrivedAt: number;
    readonly deadlineAt: number;
    readonly expectedMs: number;
}

/** An order of waiting requests; the smallest key goes first. */
export abstract class QueueOrder {
    /** Sort key of an entry, in milliseconds. */
    abstract computeKey(entry: QueueEntry): number;

    /** Creates the order in the form that collections use. */
    createOrd(): Ord<QueueEntry> {
        return contramap((entry: QueueEntry) => this.computeKey(entry))(numberOrd);
    }
}

/** Earliest deadline first. */
export class EarliestDeadlineOrder extends QueueOrder {
    /** Creates the order. */
    static create(): EarliestDeadlineOrder {
        return new EarliestDeadlineOrder();
    }

    override computeKey(entry: QueueEntry): number {
        return entry.deadlineAt;
    }
}

/** Weight of the expected time against the time waited. */
const SIZE_WEIGHT = 4;

/** Shortest job first with aging: a long request gains on later arrivals as it waits, so it is not starved. */
export class AgedShortestFirstOrder extends QueueOrder {
    /** Creates the order. */
    static create(): AgedShortestFirstOrder {
        return new AgedShortestFirstOrder();
    }

    override computeKey(entry: QueueEntry): number {
        return entry.arrivedAt + SIZE_WEIGHT * entry.expectedMs;
    }
}
