/** Settings of a VM that serves routed traffic, read from a JSON file. */
import { z } from "zod";

const addressSchema = z.string().regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
    "expected an IP number and a port, for example 10.0.0.1:8080",
);
const milliseconds = z.number().positive();
const optionalAddressSchema = addressSchema.optional();

/** Bounds that the operators of the platform ask for. */
const boundsSchema = z.object({
    contactMs: milliseconds.default(4_000).describe(
        "Time without disruption after which bounds hold, in milliseconds.",
    ),
    drainMs: milliseconds.default(2_500).describe(
        "Time in which a leaving endpoint's new work stops, in milliseconds.",
    ),
    graceS: z.number().positive().default(8).describe("Time from SIGTERM to SIGKILL, in seconds."),
    applyMs: milliseconds.default(2_500).describe(
        "Time in which a configuration is in force, in milliseconds.",
    ),
    keyRevokeMs: milliseconds.default(5_000).describe(
        "Time in which a key that was taken away is dead, in milliseconds.",
    ),
    repeatRatio: z.number().min(0).default(0.2).describe(
        "Repeated sends allowed for each request of a service.",
    ),
    repeatWindowS: z.number().positive().default(10).describe("Window of the repeat budget, in seconds."),
    repeatExtra: z.number().min(0).default(50).describe("Repeated sends allowed besides, over all VMs."),
    quotaWindowS: z.number().positive().default(8).describe("Window of quotas, in seconds."),
    quotaOverrun: z.number().min(0).default(0.1).describe(
        "Share by which a quota may be exceeded in a window.",
    ),
    quotaSlack: z.number().min(0).default(0).describe("Units by which a quota may be exceeded in a window."),
    exposureShare: z.number().min(0).default(0.1).describe(
        "Share of a service's requests that a new version gets.",
    ),
    exposureSlack: z.number().min(0).default(0).describe("Requests that a new version may get besides."),
    rollbackMs: milliseconds.default(5_000).describe(
        "Time in which a bad version gets nothing, in milliseconds.",
    ),
});

/** Settings of one VM. */
export const routedSettingsSchema = z.object({
    name: z.string().min(1).max(63).describe("Name of this VM; unique in the system."),
    region: z.string().min(1).describe("Region of this VM."),
    dataCentre: z.string().min(1).describe("Data centre of this VM."),
    regions: z.record(z.string(), z.string()).default({}).describe("Region of each data centre."),
    listen: z.object({
        callers: addressSchema.describe("Address for callers."),
        ready: addressSchema.describe("Address of the readiness check."),
        operators: optionalAddressSchema.describe("Address for operators."),
        metrics: optionalAddressSchema.describe("Address that answers with the metrics."),
        peers: addressSchema.describe("Address for the other VMs."),
    }).describe("Addresses to listen on."),
    store: z.object({
        address: addressSchema.describe("Address of the platform's store."),
    }).describe("The platform's store."),
    operatorKeyHash: z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 digest in hexadecimal").optional()
        .describe(
            "SHA-256 of the operators' key, in hexadecimal; without it there is no status and no drain.",
        ),
    memoryMb: z.number().positive().default(256).describe("Memory that the process may use, in megabytes."),
    mostDescriptors: z.number().int().positive().default(1_024).describe(
        "File descriptors that the process may use.",
    ),
    bounds: boundsSchema.prefault({}).describe("Bounds that the operators of the platform ask for."),
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info").describe(
        "Lowest level that is logged.",
    ),
});

/** Settings with defaults filled in. */
export type RoutedSettings = z.infer<typeof routedSettingsSchema>;

/** Bounds with defaults filled in. */
export type Bounds = RoutedSettings["bounds"];
