/**
 * Decides which of several attempts with the same idempotency key may be dispatched.
 * Decides by the order of the log alone; may not dispatch anything itself.
 */
export {
    ClaimFold,
    type ClaimRecord,
    type ClaimVerdict,
    type HeldClaim,
    type PartitionRecord,
    type StoredAnswer,
} from "./claim-fold.js";
export {
    type ClaimDecision,
    type ClaimHandle,
    ClaimService,
    type ClaimServiceOptions,
} from "./claim-service.js";
export { PartitionFollower } from "./partition-follower.js";
