/** Metrics: histograms and counters of one VM in the Prometheus format. Imports no other domain. */
export { type ClientLimit, createHistogram, MetricsRegistry, type RequestPhase } from "./metrics-registry.js";
