/** Platform: the append-only log and the list of VMs. Decides nothing; only talks. */
export { HttpPlatformLog, HttpVmList, isConnectFailure } from "./http-platform.js";
export { type LogPage, type LogRecord, PlatformLog } from "./platform-log.js";
export {
    endpointListEntrySchema,
    VmList,
    type VmListEntry,
    vmListEntrySchema,
    vmListSchema,
    type VmListSnapshot,
} from "./vm-list.js";
