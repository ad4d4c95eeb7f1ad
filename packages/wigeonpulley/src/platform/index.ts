/** Platform: clients of the platform's append-only log and of its list of VMs. Decides nothing. */
export { HttpPlatformLog, HttpVmList, isConnectFailure } from "./http-platform.js";
export { checkEndReached, type LogPage, type LogRecord, PlatformLog } from "./platform-log.js";
export {
    endpointListEntrySchema,
    VmList,
    VmListCopies,
    type VmListEntry,
    vmListEntrySchema,
    vmListSchema,
    type VmListSnapshot,
} from "./vm-list.js";
