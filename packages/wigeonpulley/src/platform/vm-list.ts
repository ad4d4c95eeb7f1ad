/** The platform's list of VMs, which lags behind the truth. */
import type { Result } from "ts-results-es";
import { z } from "zod";
import type { SchedulerError } from "../errors/index.js";

/** One VM of the system. */
export const vmListEntrySchema = z.object({
    name: z.string(),
    region: z.string(),
    dataCentre: z.string(),
    /** Base URL for peers. */
    peerUrl: z.string(),
    state: z.enum(["live", "leaving"]),
});

/** One VM of the system. */
export type VmListEntry = z.infer<typeof vmListEntrySchema>;

/** State of an endpoint's VM in the platform's list. */
export const endpointListEntrySchema = z.object({
    name: z.string(),
    state: z.enum(["live", "leaving"]),
});

/** The list of the system's VMs and of the endpoints that are about to leave. */
export const vmListSchema = z.object({
    vms: z.array(vmListEntrySchema),
    endpoints: z.array(endpointListEntrySchema),
});

/** A reading of the list. */
export type VmListSnapshot = z.infer<typeof vmListSchema>;

/** Reads the list and registers this VM. */
export abstract class VmList {
    /** Reads the list. Fails with PeerUnavailable when the platform does not answer. */
    abstract read(): Promise<Result<VmListSnapshot, SchedulerError>>;

    /** Registers this VM or its change of state. */
    abstract register(entry: VmListEntry): Promise<Result<void, SchedulerError>>;
}
