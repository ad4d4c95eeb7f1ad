/** Interface of the platform's list of VMs, which lags behind the actual state. */
import type { Result } from "ts-results-es";
import * as z from "zod";
import type { SchedulerError } from "../errors/index.js";

/** One VM of the system, as a row of the list. */
export const vmListEntrySchema = z.object({
    name: z.string(),
    region: z.string(),
    dataCentre: z.string(),
    /** Base URL at which peers call this VM. */
    peerUrl: z.string(),
    /** IP address and port at which it takes requests that other VMs pass on; undefined if it takes none. */
    requestAddress: z.string().regex(/^[\d.]+:\d+$/).optional(),
    state: z.enum(["live", "leaving"]),
});

/** Row of the list for one VM. */
export type VmListEntry = z.infer<typeof vmListEntrySchema>;

/** Row of the list for the VM of an endpoint. */
export const endpointListEntrySchema = z.object({
    name: z.string(),
    state: z.enum(["live", "leaving"]),
});

/** The VMs of the system and the endpoints that are about to leave. */
export const vmListSchema = z.object({
    vms: z.array(vmListEntrySchema),
    endpoints: z.array(endpointListEntrySchema),
});

/** The list as read at one moment. */
export type VmListSnapshot = z.infer<typeof vmListSchema>;

/** Client of the list: reads it and registers this VM in it. */
export abstract class VmList {
    /** Reads the list. Fails with PeerUnavailable when the platform does not respond. */
    abstract read(): Promise<Result<VmListSnapshot, SchedulerError>>;

    /** Registers this VM or updates its state. Fails with PeerUnavailable when the platform does not respond. */
    abstract register(entry: VmListEntry): Promise<Result<void, SchedulerError>>;
}

/** Copies of the list, from which a VM that can't read the list itself learns which VMs there are. */
export abstract class VmListCopies {
    /** Reads the copies, which may be some seconds older than the list; undefined when there is none, or none can be read. */
    abstract read(): Promise<readonly VmListEntry[] | undefined>;

    /** Writes the copies that differ. Fails with StoreUnavailable, or with StoreConflict when another VM writes meanwhile. */
    abstract write(vms: readonly VmListEntry[]): Promise<Result<void, SchedulerError>>;
}
