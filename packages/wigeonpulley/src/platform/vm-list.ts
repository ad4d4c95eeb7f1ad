/** The platform's list of VMs, which lags behind the truth. */
import type { Result } from "ts-results-es";
import { z } from "zod";
import type { SchedulerError } from "../errors/index.js";

/** One VM of the system. */
export const vmEntrySchema = z.object({
    name: z.string(),
    region: z.string(),
    dataCentre: z.string(),
    /** Base URL for peers. */
    peerUrl: z.string(),
    state: z.enum(["live", "leaving"]),
});

/** One VM of the system. */
export type VmEntry = z.infer<typeof vmEntrySchema>;

/** State of an endpoint's VM in the platform's list. */
export const endpointEntrySchema = z.object({
    name: z.string(),
    state: z.enum(["live", "leaving"]),
});

/** The list of the system's VMs and of the endpoints that are about to leave. */
export const vmListSchema = z.object({
    vms: z.array(vmEntrySchema),
    endpoints: z.array(endpointEntrySchema),
});

/** A reading of the list. */
export type VmListing = z.infer<typeof vmListSchema>;

/** Reads the list and registers this VM. */
export abstract class VmList {
    /** Reads the list. Fails with PeerUnavailable when the platform does not answer. */
    abstract read(): Promise<Result<VmListing, SchedulerError>>;

    /** Registers this VM or its change of state. */
    abstract register(entry: VmEntry): Promise<Result<void, SchedulerError>>;
}
