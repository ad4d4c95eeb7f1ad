/**
 * Placement: assigns requests to instances, orders the queues and detects failing instances.
 * Doesn't decide on retries and opens no connection.
 */
export {
    combineAllowedRegions,
    computeAllowedRegions,
    DataCentreRegions,
    formatQueueName,
    parseQueueName,
} from "./allowed-regions.js";
export { ColdInstances, type ColdInstancesOptions, type ColdState } from "./cold-instances.js";
export { type ColdLimits, computeColdSpacingMs } from "./cold-share.js";
export { computeNextLimit } from "./concurrency-estimator.js";
export { DecayingLinearRegression } from "./decaying-linear-regression.js";
export { InstanceHealth, type RequestOutcome } from "./instance-health.js";
export { createFirstEventRegression, InstanceLatencyModel } from "./instance-latency-model.js";
export { InstancePrefixIndex, type PromptBlock } from "./instance-prefix-index.js";
export {
    InstanceRateLimits,
    type InstanceRateLimitsOptions,
    type LimitReport,
    type NamedLimits,
} from "./instance-rate-limits.js";
export {
    LearnedConcurrency,
    type LearnedConcurrencyOptions,
    type LearnedConcurrencySettings,
    type ReportedPace,
} from "./learned-concurrency.js";
export { type ObservedLoad, PaceObservation } from "./pace-observation.js";
export { decodePace, encodePace } from "./pace-reports.js";
export { type PaceCell, PaceTable } from "./pace-table.js";
export { PeerLoadReports } from "./peer-load-reports.js";
export { NoPeerLoads, PeerLoads } from "./peer-loads.js";
export { type PlacementRequest, type WaitCancellation } from "./placement-request.js";
export { PlacementService, type PlacementServiceOptions } from "./placement-service.js";
export { Placement, type ReleaseOutcome } from "./placement.js";
export { combineRanks, RankFairness } from "./rank-fairness.js";
export { type QueuedRequest, RankQueue } from "./rank-queue.js";
export { RankReservation } from "./rank-reservation.js";
export { AnyVersionPolicy, VersionPolicy } from "./version-policy.js";
