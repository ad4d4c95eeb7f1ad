/** Metrics: histograms and counters of one VM. Imports no other domain. */
export { createHistogram, MetricsRegistry, type Phase } from "./metrics-registry.js";
