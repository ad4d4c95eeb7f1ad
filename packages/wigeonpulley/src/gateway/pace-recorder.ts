/** Gathers the time between tokens of each endpoint and reports it to the schedulers once a second. */
import { create } from "@bufbuild/protobuf";
import type { Histogram } from "hdr-histogram-js";
import { type Observation, ObservationSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { createHistogram } from "../metrics/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";

const REPORT_INTERVAL_MS = 1_000;
const REPORTED_PERCENTILE = 95;

/** Gaps below which an endpoint is not reported. */
const MIN_SAMPLES = 10;

interface EndpointPace {
    readonly group: string;
    readonly histogram: Histogram;
}

/** Recorder of one gateway. */
export class PaceRecorder {
    private readonly paces = new Map<string, EndpointPace>();
    private readonly cancel: CancelTimer;

    private constructor(timers: TimerService, private readonly send: (observation: Observation) => void) {
        this.cancel = timers.subscribe(REPORT_INTERVAL_MS, () => this.report());
    }

    /** Creates a recorder that sends its observations to `send`. */
    static create(timers: TimerService, send: (observation: Observation) => void): PaceRecorder {
        return new PaceRecorder(timers, send);
    }

    /** Records one gap between tokens, in milliseconds. */
    record(endpoint: string, group: string, gapMs: number): void {
        const pace = this.paces.get(endpoint) ?? { group, histogram: createHistogram() };
        this.paces.set(endpoint, pace);
        pace.histogram.recordValue(Math.max(0, Math.round(gapMs)));
    }

    /** Ends the reports. */
    stop(): void {
        this.cancel();
    }

    private report(): void {
        for (const [endpoint, { group, histogram }] of this.paces) {
            if (histogram.totalCount < MIN_SAMPLES) {
                continue;
            }
            this.send(create(ObservationSchema, {
                group,
                endpoint,
                interTokenP95Ms: histogram.getValueAtPercentile(REPORTED_PERCENTILE),
                interTokenMeanMs: Math.round(histogram.mean),
                samples: histogram.totalCount,
            }));
            this.paces.delete(endpoint);
        }
    }
}
