/**
 * Resources that clients hold: bytes, connections and time. Bounds them for one process, whatever the clients do.
 * Does not decide the order of requests.
 */
export { ByteAccount, ByteBudget, type ByteBudgetOptions, type ByteKind } from "./byte-budget.js";
export { ClientResources, type ClientResourcesOptions } from "./client-resources.js";
export { type ClientSettings, clientSettingsSchema } from "./client-settings.js";
export { CompactBytes, SegmentPool } from "./compact-bytes.js";
export { type ConnectionGroup, ConnectionMonitor } from "./connection-monitor.js";
export { InputScheduler, type InputSchedulerOptions, InputSource } from "./input-scheduler.js";
export { LimitRecorder } from "./limit-recorder.js";
export { KernelSendQueueReader, SendQueueReader } from "./send-queues.js";
export { createMemoryError, UploadReader } from "./upload-reader.js";
