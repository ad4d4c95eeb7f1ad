/** Schema and defaults of the settings of one process, which are read from a JSON file. */
import * as z from "zod";
import { clientSettingsSchema } from "../clients/index.js";
import { ipUrlSchema } from "./field-schemas.js";

const portSchema = z.number().int().min(0).max(65_535);
const millisecondsSchema = z.number().int().positive();
const countSchema = z.number().int().positive();
const hexDigestSchema = z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 digest in hexadecimal");

/** An IP address and TCP port to listen on. */
export const listenSchema = z.strictObject({
    /** @description IP address to listen on. */
    host: z.union([z.ipv4(), z.ipv6()]),
    /** @description TCP port; 0 lets the system choose. */
    port: portSchema,
}).describe("An IP address and a TCP port.");

/** An IP address and TCP port to listen on. */
export type ListenAddress = z.infer<typeof listenSchema>;

/** A key that signs resume tokens. */
const signingKeySchema = z.strictObject({
    /** @description Short name that appears in tokens, so that keys can be rotated. */
    id: z.string().regex(/^[a-z0-9]{1,8}$/),
    /** @description Secret of at least 32 characters. */
    secret: z.string().min(32),
});

/** Limits that protect one VM. */
const limitsSchema = z.strictObject({
    bodyBytes: countSchema.default(1_048_576).describe("Largest request body, in bytes."),
    headerTimeoutMs: millisecondsSchema.default(10_000).describe(
        "Timeout for a caller to send its headers, in milliseconds.",
    ),
    openRequests: countSchema.default(4_000).describe("Maximum number of open requests."),
    reservedForDurable: z.number().int().min(0).default(400).describe(
        "Part of `openRequests` that is reserved for durable tiers.",
    ),
});

/** Intervals and timeouts of one VM. */
const timingSchema = z.strictObject({
    heartbeatMs: millisecondsSchema.default(500).describe(
        "Interval of heartbeats to peers, in milliseconds.",
    ),
    peerTimeoutMs: millisecondsSchema.default(2_000).describe(
        "Time without contact after which a peer counts as dead, in milliseconds.",
    ),
    logPollMs: millisecondsSchema.default(500).describe(
        "Interval at which the log is read, in milliseconds.",
    ),
    vmListPollMs: millisecondsSchema.default(1_000).describe(
        "Interval at which the list of VMs is read, in milliseconds.",
    ),
    endpointConnectMs: millisecondsSchema.default(1_000).describe(
        "Timeout for connecting to an endpoint, in milliseconds.",
    ),
    streamSilenceMs: millisecondsSchema.default(3_000).describe(
        "Time without an event after which an endpoint's stream is resumed on a new connection, in milliseconds.",
    ),
    idleConnectionMs: millisecondsSchema.default(1_000).describe(
        "Idle time after which a connection is no longer reused, in milliseconds.",
    ),
    balancerDelayMs: z.number().int().min(0).default(2_000).describe(
        "Time for the load balancer to notice that a stopping VM is not ready, in milliseconds.",
    ),
    stopLimitMs: millisecondsSchema.default(600_000).describe(
        "Maximum time that a graceful shutdown waits for open requests, in milliseconds.",
    ),
    claimBatchMs: millisecondsSchema.default(20).describe(
        "Time during which claims are collected into one append, in milliseconds.",
    ),
    resumeTokenMs: millisecondsSchema.default(3_600_000).describe(
        "Validity of a resume token, in milliseconds.",
    ),
});

/** The settings of one VM. */
export const settingsSchema = z.strictObject({
    name: z.string().min(1).max(63).describe("Name of this VM; unique in the system."),
    region: z.string().min(1).describe("Region of this VM."),
    dataCentre: z.string().min(1).describe("Data centre of this VM."),
    listen: listenSchema.describe("Address for callers and operators."),
    peer: listenSchema.describe("Address for the other VMs."),
    platform: z.strictObject({
        log: ipUrlSchema.describe("URL of the platform's append-only log; its host is an IP address."),
        vmList: ipUrlSchema.describe("URL of the platform's list of VMs; its host is an IP address."),
    }).describe("The platform's services."),
    signingKeys: z.array(signingKeySchema).min(1).describe(
        "Keys for resume tokens: the first one signs, all of them verify.",
    ),
    operatorKeyHash: hexDigestSchema.describe("SHA-256 of the operators' key, in hexadecimal."),
    peerKey: z.string().min(32).describe(
        "Secret of at least 32 characters that all VMs share; peers present it.",
    ),
    claimPartitions: countSchema.default(4).describe(
        "Number of partitions of the claims in the log; must be the same on every VM.",
    ),
    endpointsPerGroup: countSchema.default(8).describe(
        "Maximum number of endpoints that one scheduler handles; must be the same on every VM.",
    ),
    groupsPerSelector: countSchema.default(8).describe(
        "Endpoint groups that this VM prefers for a selector, until all of them refuse.",
    ),
    limits: limitsSchema.prefault({}).describe("Limits that protect one VM."),
    timing: timingSchema.prefault({}).describe("Intervals and timeouts."),
    memoryMb: z.number().positive().default(512).describe("Memory that the process may use, in megabytes."),
    clients: clientSettingsSchema.omit({ maxOperatorConnections: true }).prefault({}).describe(
        "Bounds on what clients may hold of the process.",
    ),
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info").describe(
        "Lowest level that is logged.",
    ),
});

/** Settings of one VM, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;

/** Settings as written in a file. */
export type SettingsInput = z.input<typeof settingsSchema>;
