/**
 * Scheduling: which waiting request gets a slot on which endpoint, and which is refused.
 * The order of tiers is decided in group-scheduler.ts. May not touch request bodies or talk to endpoints,
 * except to read their reports.
 */
export { AdaptiveLimit, ConcurrencyLimit, FixedLimit, INTER_TOKEN_TARGET_MS } from "./concurrency-limit.js";
export { EndpointState } from "./endpoint-state.js";
export { GroupChooser, type GroupChooserOptions } from "./group-chooser.js";
export {
    GroupScheduler,
    type GroupSchedulerOptions,
    type SlotGrant,
    type SlotRefusal,
    type SlotResult,
} from "./group-scheduler.js";
export { createGroups, type EndpointGroup, isEndpointAllowed } from "./groups.js";
export { PREFIX_BLOCK_TOKENS, PrefixIndex } from "./prefix-index.js";
export { AgedShortestFirstOrder, EarliestDeadlineOrder, type QueueEntry, QueueOrder } from "./queue-order.js";
export { SchedulerService, type SchedulerServiceOptions } from "./scheduler-service.js";
export { type Slot, type SlotRequest, TicketClient, type TicketClientOptions } from "./ticket-client.js";
