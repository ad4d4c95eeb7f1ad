/** Metrics: histograms and counters of one VM. Imports no other domain. */
export { createHistogram, MetricsRegistry, type RequestPhase } from "./metrics-registry.js";
