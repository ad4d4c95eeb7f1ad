/**
 * Decides which traits of requests are quarantined because instances crash under them. It sees only how responses ended;
 * what happens to a request with a quarantined trait is the forwarder's decision.
 */
export { QuarantineStore, type QuarantineStoreOptions } from "./quarantine-store.js";
export {
    type LiveInstance,
    Quarantine,
    type QuarantineChange,
    type QuarantinedTrait,
    type QuarantineOptions,
    type SuspectReport,
} from "./quarantine.js";
export { QUARANTINE_MS, Suspect } from "./suspect.js";
