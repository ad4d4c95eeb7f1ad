/**
 * Observes how busy this process's event loop is. A loop that is always busy while the process gets little processor time waits
 * for the processor; one that is idle while requests wait has too few slots at the instances.
 */
import type { Histogram } from "hdr-histogram-js";
import { PerformanceObserver } from "node:perf_hooks";
import type { EventLogger } from "../logging/index.js";
import { createHistogram, type MetricsRegistry } from "../metrics/index.js";
import type { TimerService } from "../time/index.js";
import type { ProcessorClock } from "./processor-clock.js";
import { WORK_KINDS, WorkMeter } from "./work-meter.js";

/** Dependencies of a monitor. */
export interface ProcessorMonitorOptions {
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly clock: ProcessorClock;
}

/** Shortest time over which shares are computed, in milliseconds. */
const MIN_SAMPLE_MS = 200;
/** Weight of the newest sample in the smoothed share. */
const SAMPLE_WEIGHT = 0.3;
/** Time in which an older delay loses most of its weight in the smoothed one, in milliseconds. */
const DELAY_MEMORY_MS = 300;
/** Delay of a timer from which its turn is worth a mark, in milliseconds: marks wake up an idle event loop once more. */
const BUSY_DELAY_MS = 5;
/** Delay of a timer above which the event loop is reported as late, in milliseconds. */
const LATE_MS = 250;
/** Least time between two such reports, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;
const PERCENT = 100;
const MS_PER_S = 1_000;

interface Reading {
    readonly at: number;
    readonly idleMs: number;
    readonly usedMs: number;
}

/** Monitor of one process. */
export class ProcessorMonitor {
    readonly work: WorkMeter;
    private readonly delays: Histogram = createHistogram();
    private last: Reading;
    private busyShare = 0;
    private delayMs = 0;
    private delayAt: number;
    private usedShare = 0;
    private reported: Reading;
    private reportedWorkMs: readonly number[] = WORK_KINDS.map(() => 0);
    /** Beginning of the newest poll for events that is known of: its time, and the idle time until then. */
    private polledAt: number;
    private polledIdleMs: number;
    /** Earliest time at which the input of this turn of the event loop can have arrived; undefined outside of a turn. */
    private turnInputSince: number | undefined;

    private constructor(private readonly options: ProcessorMonitorOptions) {
        this.work = WorkMeter.create(options.timers);
        this.last = this.read();
        this.reported = this.last;
        this.delayAt = this.last.at;
        this.polledAt = this.last.at;
        this.polledIdleMs = this.last.idleMs;
    }

    /** Creates a monitor that has observed nothing. */
    static create(options: ProcessorMonitorOptions): ProcessorMonitor {
        return new ProcessorMonitor(options);
    }

    /** Adds the collections of garbage of this process to the work. */
    observeGarbageCollection(): void {
        new PerformanceObserver(list => {
            list.getEntries().forEach(({ duration }) => this.work.add("garbage", duration));
        }).observe({ entryTypes: ["gc"] });
    }

    /** Share of the time for which the event loop was busy recently, from 0 to 1. */
    getBusyShare(): number {
        this.refresh();
        return this.busyShare;
    }

    /** Processor time that the process used recently, in cores. */
    getUsedShare(): number {
        this.refresh();
        return this.usedShare;
    }

    /** Smoothed delay of what becomes due in the event loop, in milliseconds. */
    getDelayMs(): number {
        return this.delayMs;
    }

    /** Records by how much a timer was late, in milliseconds. */
    recordTimerDelay(delayMs: number): void {
        if (delayMs >= BUSY_DELAY_MS) {
            this.startTurn();
        }
        this.delays.recordValue(Math.max(0, Math.round(delayMs)));
        this.updateDelay(delayMs);
        if (delayMs >= LATE_MS && this.options.timers.now() - this.reported.at >= REPORT_INTERVAL_MS) {
            this.writeReport(delayMs);
        }
    }

    /**
     * Returns the longest time for which input that is handled now can have waited in the operating system, in milliseconds: since
     * the poll before, less the time for which the event loop has waited for events meanwhile.
     */
    estimateUnreadMs(): number {
        return this.options.timers.now() - this.startTurn();
    }

    /** Makes what is observed part of the metrics. */
    registerMetrics(metrics: MetricsRegistry): void {
        metrics.registerGauge(
            "wigeonpulley_event_loop_busy_share",
            "Share of the time for which the event loop was busy recently, from 0 to 1.",
            () => this.getBusyShare(),
        );
        metrics.registerGauge(
            "wigeonpulley_processor_cores",
            "Processor time that the process used recently, in cores.",
            () => this.getUsedShare(),
        );
        metrics.registerQuantiles(
            "wigeonpulley_event_loop_delay_milliseconds",
            "Quantiles of the time by which timers were late.",
            this.delays,
        );
        metrics.registerTotals(
            "wigeonpulley_work_seconds_total",
            "Time that the event loop spent on each kind of work, in seconds. Garbage is also collected during other work.",
            WORK_KINDS,
            kind => this.work.getTotalMs(kind) / MS_PER_S,
        );
    }

    /** Timers that are due in the same turn count as one. */
    private updateDelay(delayMs: number): void {
        const now = this.options.timers.now();
        const weight = 1 - Math.exp(-(now - this.delayAt) / DELAY_MEMORY_MS);
        this.delayMs += (Math.max(0, delayMs) - this.delayMs) * weight;
        this.delayAt = now;
    }

    private startTurn(): number {
        if (this.turnInputSince === undefined) {
            const idleMs = this.options.clock.readIdleMs();
            // While the event loop waits for events, it reads at once.
            this.turnInputSince = this.polledAt + Math.max(0, idleMs - this.polledIdleMs);
            // Runs after all input of this turn, just before the next poll.
            setImmediate(() => {
                this.turnInputSince = undefined;
                this.polledAt = this.options.timers.now();
                this.polledIdleMs = this.options.clock.readIdleMs();
            });
        }
        return this.turnInputSince;
    }

    private refresh(): void {
        const elapsedMs = this.options.timers.now() - this.last.at;
        if (elapsedMs < MIN_SAMPLE_MS) {
            return;
        }
        const reading = this.read();
        const busyShare = 1 - (reading.idleMs - this.last.idleMs) / elapsedMs;
        const usedShare = (reading.usedMs - this.last.usedMs) / elapsedMs;
        this.busyShare += (Math.min(1, Math.max(0, busyShare)) - this.busyShare) * SAMPLE_WEIGHT;
        this.usedShare += (Math.max(0, usedShare) - this.usedShare) * SAMPLE_WEIGHT;
        this.last = reading;
    }

    private read(): Reading {
        const { timers, clock } = this.options;
        return { at: timers.now(), idleMs: clock.readIdleMs(), usedMs: clock.readUsedMs() };
    }

    private writeReport(delayMs: number): void {
        const reading = this.read();
        const elapsedMs = reading.at - this.reported.at;
        const workMs = WORK_KINDS.map(kind => this.work.getTotalMs(kind));
        const shares = WORK_KINDS.map((kind, index) => {
            const spentMs = (workMs[index] ?? 0) - (this.reportedWorkMs[index] ?? 0);
            return `${kind} ${Math.round(spentMs / elapsedMs * PERCENT)}%`;
        });
        this.options.logger.write("EventLoopLate", {
            delayMs: Math.round(delayMs),
            overMs: Math.round(elapsedMs),
            busyPercent: Math.round((1 - (reading.idleMs - this.reported.idleMs) / elapsedMs) * PERCENT),
            processorPercent: Math.round((reading.usedMs - this.reported.usedMs) / elapsedMs * PERCENT),
            work: shares.join(", "),
        });
        this.reported = reading;
        this.reportedWorkMs = workMs;
    }
}
