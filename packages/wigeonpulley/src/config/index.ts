/**
 * Configuration: settings of a process, the configuration that operators publish, and which version is active.
 * Decides which selector a request matches; must not depend on requests, endpoints or peers.
 */
export { ConfigurationFollower, type ConfigurationFollowerOptions } from "./commands/follow.js";
export { createPublishRecord, publishConfiguration, type PublishOutcome } from "./commands/publish.js";
export {
    applyVersion,
    type CheckpointRecord,
    CONFIGURATION_STREAM,
    type ConfigurationState,
    type ConfigurationVersion,
    configurationVersionSchema,
    createConfigurationState,
    foldConfiguration,
    NO_VERSION,
    type PublishRecord,
} from "./config-fold.js";
export {
    type Caller,
    type Configuration,
    type ConfigurationInput,
    configurationSchema,
    type Endpoint,
    type Maintenance,
    MAX_TIERS,
    type Selector,
    type Tier,
} from "./configuration.js";
export { hasLabels, type Labels, labelsSchema } from "./field-schemas.js";
export { type AuditEntry, readAuditTrail } from "./queries/audit.js";
export {
    checkConfiguration,
    checkDocument,
    checkSettings,
    formatProblems,
    readJsonFile,
} from "./queries/check.js";
export { type ConfigurationChange, diffConfigurations } from "./queries/diff.js";
export { findCaller, hashKey } from "./queries/find-caller.js";
export { isUnderMaintenance } from "./queries/maintenance.js";
export { matchSelector, type SelectorMatch } from "./queries/match.js";
export { parseJson } from "./queries/parse-json.js";
export { readCurrentVersion } from "./queries/read-current.js";
export { type ListenAddress, type Settings, type SettingsInput, settingsSchema } from "./settings.js";
