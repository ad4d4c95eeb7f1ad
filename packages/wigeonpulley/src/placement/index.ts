/**
 * Placement: which instance a request gets, which one goes first, and which instances are trusted.
 * Decides nothing about repeating a request and touches no connection.
 */
export { type Demand, type WaitControl } from "./demand.js";
export { type Evidence, InstanceHealth } from "./instance-health.js";
export { createFirstEventLine, InstancePace } from "./instance-pace.js";
export { LoadReports } from "./load-reports.js";
export { NoPeerLoads, PeerLoads } from "./peer-loads.js";
export { type PlacementOptions, PlacementService } from "./placement-service.js";
export { Placement, type ReleaseEvidence } from "./placement.js";
export { type Part, PrefixMemory } from "./prefix-memory.js";
export { joinRanks, RankBalance } from "./rank-balance.js";
export { RankHeadroom } from "./rank-headroom.js";
export { RecentLine } from "./recent-line.js";
export { AnyVersion, VersionPolicy } from "./version-policy.js";
export { WaitingLine, type WaitingRequest } from "./waiting-line.js";
