/** Counts the times between tokens of each endpoint and reports them to the schedulers once a second. */
import { create } from "@bufbuild/protobuf";
import { type Observation, ObservationSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { INTER_TOKEN_TARGET_MS } from "../scheduling/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";

const REPORT_INTERVAL_MS = 1_000;

interface EndpointPace {
    readonly group: string;
    samples: number;
    slowSamples: number;
    sumMs: number;
}

/** Recorder of one gateway. */
export class InterTokenLatencyRecorder {
    private readonly paces = new Map<string, EndpointPace>();
    private readonly cancel: CancelTimer;

    private constructor(timers: TimerService, private readonly send: (observation: Observation) => void) {
        this.cancel = timers.scheduleRepeating(REPORT_INTERVAL_MS, () => this.report());
    }

    /** Creates a recorder that sends its observations to `send`. */
    static create(timers: TimerService, send: (observation: Observation) => void): InterTokenLatencyRecorder {
        return new InterTokenLatencyRecorder(timers, send);
    }

    /** Records one time between tokens, in milliseconds. */
    record(endpoint: string, group: string, gapMs: number): void {
        const pace = this.paces.get(endpoint) ?? { group, samples: 0, slowSamples: 0, sumMs: 0 };
        this.paces.set(endpoint, pace);
        pace.samples += 1;
        pace.slowSamples += gapMs > INTER_TOKEN_TARGET_MS ? 1 : 0;
        pace.sumMs += gapMs;
    }

    /** Ends the reports. */
    stop(): void {
        this.cancel();
    }

    private report(): void {
        for (const [endpoint, { group, samples, slowSamples, sumMs }] of this.paces) {
            const interTokenMeanMs = Math.round(sumMs / samples);
            this.send(create(ObservationSchema, { group, endpoint, samples, slowSamples, interTokenMeanMs }));
        }
        this.paces.clear();
    }
}
