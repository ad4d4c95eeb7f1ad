/** Settings of a VM that serves routed traffic, read from a JSON file. */
import * as z from "zod";
import { clientSettingsSchema } from "../clients/index.js";

const addressSchema = z.string().regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
    "expected an IP address and a port, for example 10.0.0.1:8080",
);
const millisecondsSchema = z.number().positive();
const optionalAddressSchema = addressSchema.optional();

/** Guarantees that the operators of the platform require. */
const boundsSchema = z.object({
    contactMs: millisecondsSchema.default(4_000).describe(
        "Time without disruption after which the bounds hold, in milliseconds.",
    ),
    drainMs: millisecondsSchema.default(2_500).describe(
        "Time within which a leaving endpoint gets no more new requests, in milliseconds.",
    ),
    graceS: z.number().positive().default(8).describe("Time from SIGTERM to SIGKILL, in seconds."),
    applyMs: millisecondsSchema.default(2_500).describe(
        "Time within which a new configuration is in force, in milliseconds.",
    ),
    keyRevokeMs: millisecondsSchema.default(5_000).describe(
        "Time within which a revoked key is refused, in milliseconds.",
    ),
    repeatRatio: z.number().min(0).default(0.2).describe(
        "Retries allowed for each request of a service.",
    ),
    repeatWindowS: z.number().positive().default(10).describe("Window of the retry budget, in seconds."),
    repeatExtra: z.number().min(0).default(50).describe(
        "Additional retries allowed in a window, over all VMs.",
    ),
    quotaWindowS: z.number().positive().default(8).describe("Window of quotas, in seconds."),
    quotaOverrun: z.number().min(0).default(0.1).describe(
        "Share by which a quota may be exceeded in a window.",
    ),
    quotaSlack: z.number().min(0).default(0).describe("Units by which a quota may be exceeded in a window."),
    exposureShare: z.number().min(0).default(0.1).describe(
        "Share of a service's requests that a new version may get during a rollout.",
    ),
    exposureSlack: z.number().min(0).default(0).describe("Additional requests that a new version may get."),
    rollbackMs: millisecondsSchema.default(5_000).describe(
        "Time within which a bad version gets no more requests, in milliseconds.",
    ),
    coldOverrun: z.number().min(1).default(1.5).describe(
        "Factor by which the rate that a cold endpoint tolerates may be exceeded in one second, over all VMs.",
    ),
    coldSlack: z.number().min(0).default(5).describe(
        "Additional requests that a cold endpoint may get in one second, over all VMs.",
    ),
    evacuateMs: millisecondsSchema.default(5_000).describe(
        "Time within which the endpoints of an evacuated data centre get no more requests, in milliseconds.",
    ),
});

/** Concurrency that instances take well, learned from their pace. */
const learnedConcurrencySchema = z.object({
    enabled: z.boolean().default(false).describe(
        "Sends an instance no more requests at the same time than it takes without a loss of throughput.",
    ),
    floorShare: z.number().positive().max(1).default(0.33).describe(
        "Share of an instance's slots below which it is not limited; at least one request.",
    ),
    probeIntervalMs: millisecondsSchema.default(2_000).describe(
        "Time between two requests beyond an instance's limit that all VMs together send to learn whether it takes more, in "
            + "milliseconds.",
    ),
});

/** Shares of workspaces in a service whose slots are scarce. */
const workspaceSharesSchema = z.object({
    enabled: z.boolean().default(false).describe(
        "Shares room within a rank between workspaces in proportion to their quotas, in tokens of work.",
    ),
});

/** Refusal of requests at their arrival. */
const admissionForecastSchema = z.object({
    enabled: z.boolean().default(false).describe(
        "Refuses a request at its arrival when it can't be expected to start in time.",
    ),
});

/** Homes of prompt blocks. */
const promptHomesSchema = z.object({
    enabled: z.boolean().default(false).describe(
        "Prefers the instances on which all VMs agree by hashing for a request's shared prompt blocks.",
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
        metrics: optionalAddressSchema.describe("Address of the metrics."),
        peers: addressSchema.describe("Address for the other VMs."),
        peerRequests: optionalAddressSchema.describe(
            "Address for requests that other VMs pass on; without it, this VM takes none.",
        ),
    }).describe("Addresses to listen on."),
    store: z.object({
        address: addressSchema.describe("Address of the platform's store."),
    }).describe("The platform's store."),
    operatorKeyHash: z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 digest in hexadecimal").optional()
        .describe(
            "SHA-256 of the operators' key, in hexadecimal; without it, status and drain are not available.",
        ),
    memoryMb: z.number().positive().default(256).describe("Memory that the process may use, in megabytes."),
    mostDescriptors: z.number().int().positive().default(1_024).describe(
        "File descriptors that the process may use.",
    ),
    clients: clientSettingsSchema.prefault({}).describe("Bounds on what clients may hold of the process."),
    bounds: boundsSchema.prefault({}).describe("Bounds that the operators of the platform require."),
    learnedConcurrency: learnedConcurrencySchema.prefault({}).describe(
        "Concurrency that instances take well, learned from their pace.",
    ),
    promptHomes: promptHomesSchema.prefault({}).describe("Instances that are homes of prompt blocks."),
    workspaceShares: workspaceSharesSchema.prefault({}).describe("Shares of workspaces in scarce slots."),
    admissionForecast: admissionForecastSchema.prefault({}).describe("Refusal of requests at their arrival."),
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info").describe(
        "Lowest level that is logged.",
    ),
});

/** Settings with defaults filled in. */
export type RoutedSettings = z.infer<typeof routedSettingsSchema>;

/** Bounds with defaults filled in. */
export type Bounds = RoutedSettings["bounds"];
