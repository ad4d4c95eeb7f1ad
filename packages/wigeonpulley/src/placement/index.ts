/**
 * Placement: assigns requests to instances, orders the queues and detects failing instances.
 * Doesn't decide on retries and opens no connection.
 */
export { type AdmissionRefusal, forecastAdmission, type ForecastInput } from "./admission-forecast.js";
export {
    combineAllowedRegions,
    computeAllowedRegions,
    DataCentreRegions,
    formatQueueName,
    parseQueueName,
} from "./allowed-regions.js";
export { BlockRecurrences } from "./block-recurrences.js";
export { ColdInstances, type ColdInstancesOptions, type ColdState } from "./cold-instances.js";
export { type ColdLimits, computeColdSpacingMs } from "./cold-share.js";
export { computeNextLimit } from "./concurrency-estimator.js";
export { DecayingLinearRegression } from "./decaying-linear-regression.js";
export { evaluateHomeCandidates, type LoadedInstance } from "./home-candidates.js";
export {
    HomePolicy,
    NoHomes,
    type PromptHomes,
    RendezvousHomes,
    type RendezvousHomesOptions,
} from "./home-policy.js";
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
export {
    chooseHomeDepths,
    combineHashes,
    computeExpectedUncachedTokens,
    computeHomeCount,
    type HomeCandidate,
    type WeighedBlock,
} from "./prompt-homes.js";
export { combineRanks, RankFairness } from "./rank-fairness.js";
export { type QueuedRequest, RankQueue } from "./rank-queue.js";
export { RankReservation } from "./rank-reservation.js";
export { decodeLoadReport, type LoadReportContent } from "./report-decoder.js";
export { computeForecastRetryDelayMs, computeRetryDelayMs } from "./retry-delay.js";
export { computeStartTags, computeTurnWeights, countPeersAhead, type TurnWeights } from "./share-order.js";
export { SlotClaims } from "./slot-claims.js";
export { SlotTurnover } from "./slot-turnover.js";
export { AnyVersionPolicy, VersionPolicy } from "./version-policy.js";
export {
    countByRankAndWorkspace,
    hashWorkspace,
    type SharedRequest,
    WorkspaceShares,
} from "./workspace-shares.js";
export {
    decodeUse,
    encodeUse,
    type RankUses,
    selectReportedUses,
    type WorkspaceUse,
} from "./workspace-use.js";
