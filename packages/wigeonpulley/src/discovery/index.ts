/**
 * Discovery: tracks which instances of endpoints exist and which of them may receive new requests.
 * Decides nothing about load, health or order.
 */
export { type EvacuationListener, Evacuations } from "./evacuations.js";
export { type DirectoryListener, type InstanceChange, InstanceDirectory } from "./instance-directory.js";
export { hashIncarnation, type Instance, instanceSchema, isSameIncarnation } from "./instance.js";
