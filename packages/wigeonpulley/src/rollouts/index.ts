/**
 * Moves the requests of a service to another version by a deadline, or rolls back when the evidence shows that version
 * to be bad.
 * Decides which version a request may get; may not decide which instance or when.
 */
export { CanaryAnalysis, type RouteSamples } from "./canary-analysis.js";
export { ExposureCap, type ExposureLimits } from "./exposure-cap.js";
export {
    isFinalState,
    type RolloutOrder,
    rolloutOrderSchema,
    type RolloutState,
    rolloutStateSchema,
    type RolloutStatus,
} from "./rollout-order.js";
export { RolloutService, type RolloutServiceOptions } from "./rollout-service.js";
export { RolloutStateStore, RolloutStatusCodec } from "./rollout-state-store.js";
export { Rollout, type RolloutProgress } from "./rollout.js";
