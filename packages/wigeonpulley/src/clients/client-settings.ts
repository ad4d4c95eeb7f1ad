/** Settings that bound what clients may hold of a process. */
import * as z from "zod";

const millisecondsSchema = z.number().positive();

/** Section `clients` of the settings. */
export const clientSettingsSchema = z.object({
    memoryShare: z.number().positive().max(0.5).default(0.15).describe(
        "Share of `memoryMb` that bodies, queued requests, responses in progress and connections may hold together.",
    ),
    minUploadBytesPerS: z.number().min(0).default(100).describe(
        "Lowest rate of a body, in bytes a second over `uploadWindowMs`; a slower one is refused as not run.",
    ),
    uploadWindowMs: millisecondsSchema.default(10_000).describe(
        "Window in which the rate of a body is measured, in milliseconds; also the time for which the rest of a refused body is read.",
    ),
    unreadMs: millisecondsSchema.default(10_000).describe(
        "Time for which a client may read nothing of a response that waits for it before its connection is closed, in milliseconds.",
    ),
    parserCallbacksPerTurn: z.number().int().min(100).default(2_000).describe(
        "Callbacks of the HTTP parser in one turn of the event loop, over all connections; further input waits, that of the connections with the most callbacks for longest.",
    ),
    maxConnections: z.number().int().positive().optional().describe(
        "Connections of callers and of other VMs with requests; by default half of `mostDescriptors`, or twice `limits.openRequests`.",
    ),
    maxOperatorConnections: z.number().int().positive().optional().describe(
        "Connections to each of the operators', readiness and metrics ports; by default a 32nd of `mostDescriptors`, from 4 to 32.",
    ),
    maxUnverifiedPeers: z.number().int().positive().default(64).describe(
        "Connections to the port for other VMs whose clients have not shown the VMs' key; the oldest one is closed for a new one.",
    ),
});

/** Section `clients` with defaults filled in. */
export type ClientSettings = z.infer<typeof clientSettingsSchema>;
