/** Headers by which VMs recognise each other. All VMs of a system share one key. */
import { timingSafeEqual } from "node:crypto";
import { hashKey } from "../config/index.js";

/** Name of the calling VM. */
export const VM_HEADER = "x-vm-name";
/** Key that all VMs share. */
export const PEER_KEY_HEADER = "x-peer-key";

/** True when the presented key is the shared one. */
export const isPeerKey = (presented: string, key: string): boolean =>
    timingSafeEqual(Buffer.from(hashKey(presented)), Buffer.from(hashKey(key)));
