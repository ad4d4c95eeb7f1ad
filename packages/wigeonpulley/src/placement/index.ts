/**
 * Placement: which instance a request gets, which one goes first, and which instances are trusted.
 * Decides nothing about repeating a request and touches no connection.
 */
export { type PlacementRequest, type WaitCancellation } from "./placement-request.js";
export { type RequestOutcome, InstanceHealth } from "./instance-health.js";
export { createFirstEventRegression, InstanceLatencyModel } from "./instance-latency-model.js";
export { PeerLoadReports } from "./peer-load-reports.js";
export { NoPeerLoads, PeerLoads } from "./peer-loads.js";
export { type PlacementServiceOptions, PlacementService } from "./placement-service.js";
export { Placement, type ReleaseOutcome } from "./placement.js";
export { type PromptBlock, InstancePrefixIndex } from "./instance-prefix-index.js";
export { combineRanks, RankFairness } from "./rank-fairness.js";
export { RankReservation } from "./rank-reservation.js";
export { DecayingLinearRegression } from "./decaying-linear-regression.js";
export { AnyVersionPolicy, VersionPolicy } from "./version-policy.js";
export { RankQueue, type QueuedRequest } from "./rank-queue.js";
