/** Virtual time for tests and benchmarks: it advances only on request. */
import { type CancelTimer, TimerService } from "./timer-service.js";

interface VirtualTimer {
    readonly dueAt: number;
    readonly sequence: number;
    readonly callback: () => void;
    isCancelled: boolean;
}

/** Turns of the event loop after which promises that were ready have settled. */
const FLUSH_TURNS = 2;

const waitForTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Timer service whose clock the test advances. Timers due at the same time fire in the order of their creation. */
export class VirtualTimerService extends TimerService {
    private currentMs = 0;
    private sequence = 0;
    private readonly heap: VirtualTimer[] = [];

    private constructor(private readonly wallClockStartMs: number) {
        super();
    }

    /** Creates a service; its monotonic clock starts at 0, its wall clock `wallClockStartMs` after 1970-01-01 UTC. */
    static create(wallClockStartMs = 0): VirtualTimerService {
        return new VirtualTimerService(wallClockStartMs);
    }

    override now(): number {
        return this.currentMs;
    }

    override readWallClock(): number {
        return this.wallClockStartMs + this.currentMs;
    }

    override schedule(delayMs: number, callback: () => void): CancelTimer {
        this.sequence += 1;
        const dueAt = this.currentMs + Math.max(0, delayMs);
        const timer = { dueAt, sequence: this.sequence, callback, isCancelled: false };
        this.push(timer);
        return () => {
            timer.isCancelled = true;
        };
    }

    /** Lets promises that are ready settle, without advancing the clock. */
    async flushPromises(): Promise<void> {
        for (let turn = 0; turn < FLUSH_TURNS; turn += 1) {
            await waitForTurn();
        }
    }

    /** Advances the clock by `durationMs` and fires every timer that becomes due, at its due time. */
    async advance(durationMs: number): Promise<void> {
        const end = this.currentMs + durationMs;
        await this.flushPromises();
        for (let next = this.heap[0]; next !== undefined && next.dueAt <= end; next = this.heap[0]) {
            this.pop();
            if (next.isCancelled) {
                continue;
            }
            this.currentMs = next.dueAt;
            next.callback();
            await this.flushPromises();
        }
        this.currentMs = end;
    }

    /**
     * Advances from timer to timer until the promise settles, and resolves with its value. Throws a RangeError when it
     * has not settled within `limitMs` of virtual time.
     */
    async runUntilSettled<Value>(promise: Promise<Value>, limitMs: number): Promise<Value> {
        let isSettled = false;
        const markSettled = (): void => {
            isSettled = true;
        };
        promise.then(markSettled, markSettled);
        const end = this.currentMs + limitMs;
        await this.flushPromises();
        while (!isSettled && this.currentMs < end) {
            const next = this.heap[0];
            await this.advance(Math.min(end, next?.dueAt ?? end) - this.currentMs);
        }
        if (!isSettled) {
            throw new RangeError(`not settled within ${limitMs} ms of virtual time`);
        }
        return promise;
    }

    private push(timer: VirtualTimer): void {
        this.heap.push(timer);
        let index = this.heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.isBefore(index, parent)) {
                return;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    private pop(): void {
        const last = this.heap.pop();
        if (last === undefined || this.heap.length === 0) {
            return;
        }
        this.heap[0] = last;
        for (let index = 0;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            let earliest = index;
            if (left < this.heap.length && this.isBefore(left, earliest)) {
                earliest = left;
            }
            if (right < this.heap.length && this.isBefore(right, earliest)) {
                earliest = right;
            }
            if (earliest === index) {
                return;
            }
            this.swap(index, earliest);
            index = earliest;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const a = this.heap[left];
        const b = this.heap[right];
        return a !== undefined && b !== undefined
            && (a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence));
    }

    private swap(left: number, right: number): void {
        const a = this.heap[left];
        const b = this.heap[right];
        if (a !== undefined && b !== undefined) {
            this.heap[left] = b;
            this.heap[right] = a;
        }
    }
}
