/**
 * Decides which prompt blocks are quarantined because engines crash under them. It sees only how responses ended; what
 * happens to a request with a quarantined block is the forwarder's decision.
 */
export {
    type BlockReport,
    PromptQuarantine,
    type PromptQuarantineOptions,
    type QuarantinedBlock,
} from "./prompt-quarantine.js";
export { QuarantineStore, type QuarantineStoreOptions } from "./quarantine-store.js";
export { QUARANTINE_MS, SuspectBlock } from "./suspect-block.js";
