/** Aggregates the inter-token latency of each endpoint and reports it to the schedulers at a fixed interval. */
import { create } from "@bufbuild/protobuf";
import { type Observation, ObservationSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { INTER_TOKEN_TARGET_MS } from "../scheduling/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";

const REPORT_INTERVAL_MS = 1_000;

interface EndpointLatency {
    readonly group: string;
    samples: number;
    slowSamples: number;
    sumMs: number;
}

/** Records the inter-token latencies that one gateway sees. */
export class InterTokenLatencyRecorder {
    private readonly latencies = new Map<string, EndpointLatency>();
    private readonly cancelReports: CancelTimer;

    private constructor(timers: TimerService, private readonly send: (observation: Observation) => void) {
        this.cancelReports = timers.scheduleRepeating(REPORT_INTERVAL_MS, () => this.sendObservations());
    }

    /** Creates a recorder that passes one observation for each endpoint and interval to `send`. */
    static create(timers: TimerService, send: (observation: Observation) => void): InterTokenLatencyRecorder {
        return new InterTokenLatencyRecorder(timers, send);
    }

    /** Records the time between two tokens, in milliseconds. */
    record(endpoint: string, group: string, latencyMs: number): void {
        const latency = this.latencies.get(endpoint) ?? { group, samples: 0, slowSamples: 0, sumMs: 0 };
        this.latencies.set(endpoint, latency);
        latency.samples += 1;
        latency.slowSamples += latencyMs > INTER_TOKEN_TARGET_MS ? 1 : 0;
        latency.sumMs += latencyMs;
    }

    /** Stops the reports. */
    stop(): void {
        this.cancelReports();
    }

    private sendObservations(): void {
        for (const [endpoint, { group, samples, slowSamples, sumMs }] of this.latencies) {
            const interTokenMeanMs = Math.round(sumMs / samples);
            this.send(create(ObservationSchema, { group, endpoint, samples, slowSamples, interTokenMeanMs }));
        }
        this.latencies.clear();
    }
}
