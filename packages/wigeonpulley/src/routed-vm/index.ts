/**
 * One VM for routed traffic, and its daemon. Wires the other domains together; decides when the VM is ready and how it
 * shuts down.
 */
export { RoutedDaemon, type RoutedDaemonOptions } from "./daemon.js";
export { GossipedEvidence } from "./gossiped-evidence.js";
export { GossipedFreshness } from "./gossiped-freshness.js";
export { GossipedInstanceList, type InstanceListCopy } from "./gossiped-instance-list.js";
export { OperatorServer, type OperatorServerOptions } from "./operator-server.js";
export { type OperatorRecord, PlatformAdapter } from "./platform-adapter.js";
export { ReportService } from "./report-service.js";
export { type Bounds, type RoutedSettings, routedSettingsSchema } from "./routed-settings.js";
export { RoutedVm, type RoutedVmOptions } from "./routed-vm.js";
