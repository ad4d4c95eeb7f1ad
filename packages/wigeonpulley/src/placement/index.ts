/**
 * Placement: which instance a request gets, which one goes first, and which instances are trusted.
 * Decides nothing about repeating a request and touches no connection.
 */
export { type PlacementRequest, type WaitCancellation } from "./demand.js";
export { type RequestOutcome, InstanceHealth } from "./instance-health.js";
export { createFirstEventRegression, InstanceLatencyModel } from "./instance-pace.js";
export { PeerLoadReports } from "./load-reports.js";
export { NoPeerLoads, PeerLoads } from "./peer-loads.js";
export { type PlacementServiceOptions, PlacementService } from "./placement-service.js";
export { Placement, type ReleaseOutcome } from "./placement.js";
export { type PromptBlock, InstancePrefixIndex } from "./prefix-memory.js";
export { combineRanks, RankFairness } from "./rank-balance.js";
export { RankReservation } from "./rank-headroom.js";
export { DecayingLinearRegression } from "./recent-line.js";
export { AnyVersionPolicy, VersionPolicy } from "./version-policy.js";
export { RankQueue, type QueuedRequest } from "./waiting-line.js";
