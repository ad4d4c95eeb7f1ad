/** Records the metrics of one VM (histograms by tier and phase, and counters) and formats them for Prometheus. */
import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

/** Phases of a request whose durations are recorded. */
export type RequestPhase = "unread" | "event-loop" | "queue" | "first-token" | "inter-token" | "total";

/** Limit on clients that refused, ended or held back something. */
export type ClientLimit = "memory" | "slow-upload" | "unread" | "connections" | "pipelined" | "input";

const PERCENTILES = [50, 95, 99] as const;
const PERCENT = 100;
const MAX_DURATION_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;

/** Creates a histogram of durations in milliseconds, up to an hour and to two significant digits. */
export const createHistogram = (): Histogram =>
    build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_DURATION_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        useWebAssembly: false,
    });

/** Metrics of one VM. For routed traffic the label `tier` holds the name of the route. */
export class MetricsRegistry {
    private readonly registry = new Registry();
    private readonly histograms = new Map<string, Histogram>();
    private readonly requests: Counter<"tier" | "outcome">;
    private readonly controlBytes: Counter<"kind">;
    private readonly clientLimits: Counter<"limit">;
    private readonly dispatchedTokens: Counter<"workspace">;

    private constructor() {
        const registers = [this.registry];
        this.requests = new Counter({
            name: "wigeonpulley_requests_total",
            help: "Requests by tier and outcome; the outcome is completed or the name of an error.",
            labelNames: ["tier", "outcome"],
            registers,
        });
        this.controlBytes = new Counter({
            name: "wigeonpulley_control_sent_bytes_total",
            help: "Bytes of control messages sent to peers, without packet headers.",
            labelNames: ["kind"],
            registers,
        });
        this.clientLimits = new Counter({
            name: "wigeonpulley_client_limits_total",
            help:
                "Requests and connections of clients that a limit refused or ended, and turns in which costly input waited.",
            labelNames: ["limit"],
            registers: [this.registry],
        });
        this.dispatchedTokens = new Counter({
            name: "wigeonpulley_dispatched_tokens_total",
            help: "Tokens of work dispatched to instances, by workspace; a plain request counts as one.",
            labelNames: ["workspace"],
            registers,
        });
        const phases = new Gauge({
            name: "wigeonpulley_phase_milliseconds",
            help: "Quantiles of the time that requests spent in each phase.",
            labelNames: ["tier", "phase", "quantile"],
            registers,
            collect: () =>
                this.histograms.forEach((histogram, key) => {
                    const [tier = "", phase = ""] = key.split(" ");
                    PERCENTILES.forEach(percentile =>
                        phases.set(
                            { tier, phase, quantile: String(percentile / PERCENT) },
                            histogram.getValueAtPercentile(percentile),
                        )
                    );
                }),
        });
    }

    /** Creates empty metrics. */
    static create(): MetricsRegistry {
        return new MetricsRegistry();
    }

    /** Records the duration of one phase, in milliseconds; more than an hour counts as an hour. */
    recordPhase(tier: string, phase: RequestPhase, durationMs: number): void {
        const key = `${tier} ${phase}`;
        const histogram = this.histograms.get(key) ?? createHistogram();
        this.histograms.set(key, histogram);
        histogram.recordValue(Math.min(MAX_DURATION_MS, Math.max(0, Math.round(durationMs))));
    }

    /** Counts a finished request. */
    recordRequest(tier: string, outcome: string): void {
        this.requests.inc({ tier, outcome });
    }

    /** Counts bytes of control messages sent to peers, by kind of message. */
    recordControlBytes(kind: string, bytes: number): void {
        this.controlBytes.inc({ kind }, bytes);
    }

    /** Adds a gauge whose value is read whenever the metrics are formatted. */
    registerGauge(name: string, help: string, read: () => number): void {
        const gauge: Gauge = new Gauge({
            name,
            help,
            registers: [this.registry],
            collect: () => gauge.set(read()),
        });
    }

    /** Adds the quantiles of a histogram. */
    registerQuantiles(name: string, help: string, histogram: Histogram): void {
        const gauge: Gauge<"quantile"> = new Gauge({
            name,
            help,
            labelNames: ["quantile"],
            registers: [this.registry],
            collect: () =>
                PERCENTILES.forEach(percentile =>
                    gauge.set(
                        { quantile: String(percentile / PERCENT) },
                        histogram.getValueAtPercentile(percentile),
                    )
                ),
        });
    }

    /** Adds a counter by kind whose values are read whenever the metrics are formatted. */
    registerTotals<Kind extends string>(
        name: string,
        help: string,
        kinds: readonly Kind[],
        readTotal: (kind: Kind) => number,
    ): void {
        const counter: Counter<"kind"> = new Counter({
            name,
            help,
            labelNames: ["kind"],
            registers: [this.registry],
            collect: () => {
                counter.reset();
                kinds.forEach(kind => counter.inc({ kind }, readTotal(kind)));
            },
        });
    }

    /** Counts a request or connection that a limit on clients refused or ended. */
    recordClientLimit(limit: ClientLimit): void {
        this.clientLimits.inc({ limit });
    }

    /** Makes the bytes that are held for clients part of the metrics, by kind. */
    observeClientBytes(kinds: readonly string[], getBytes: (kind: string) => number): void {
        const clientBytes = new Gauge({
            name: "wigeonpulley_client_bytes",
            help: "Bytes held for clients, by kind.",
            labelNames: ["kind"],
            registers: [this.registry],
            collect: () => kinds.forEach(kind => clientBytes.set({ kind }, getBytes(kind))),
        });
    }

    /** Counts tokens of work that were dispatched to an instance for a workspace. */
    recordDispatchedTokens(workspace: string, tokens: number): void {
        this.dispatchedTokens.inc({ workspace }, tokens);
    }

    /** Formats all metrics in the Prometheus text format. */
    formatText(): Promise<string> {
        return this.registry.metrics();
    }

    /** Content type of the formatted metrics. */
    get contentType(): string {
        return this.registry.contentType;
    }
}
