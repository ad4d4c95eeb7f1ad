/** Schema of the configuration that operators publish for routed traffic: routes, services, workspaces and limits. */
import * as z from "zod";

const millisecondsSchema = z.number().positive();
const allowedRegionsSchema = z.array(z.string().min(1)).default([]);

/** A service that receives a share of a route's traffic. */
export const routeTargetSchema = z.object({
    service: z.string().min(1).describe("Name of the service."),
    weight: z.number().min(0).default(1).describe("Weight relative to the other targets of the route."),
});

/** Which requests go to which services, and their time limits. */
export const routeSchema = z.object({
    name: z.string().min(1).describe("Name of the route; unique."),
    host: z.string().min(1).describe("Value of the Host header, in lower case and without a port."),
    pathPrefix: z.string().min(1).describe("Prefix of the path; starts and ends with a slash."),
    kind: z.enum(["idempotent", "once", "stream"]).describe(
        "`idempotent` requests may be retried; `once` requests run at most once; `stream` responses are event streams.",
    ),
    targets: z.array(routeTargetSchema).min(1).describe("Services that share the traffic."),
    timeoutMs: millisecondsSchema.describe("Longest time until the response is complete, in milliseconds."),
    targetLatencyMs: millisecondsSchema.describe("Time within which a response is on time, in milliseconds."),
    gapTargetMs: millisecondsSchema.optional().describe(
        "Longest event gap that is on time, in milliseconds.",
    ),
    rank: z.number().int().min(0).default(0).describe(
        "Priority rank of the requests; 0 is the most important.",
    ),
    maxAttempts: z.number().int().positive().default(1).describe(
        "Maximum number of endpoints that may run one request.",
    ),
    isPublic: z.boolean().default(false).describe("True when requests need no key."),
    hasAffinity: z.boolean().default(false).describe("True when requests share prompt blocks."),
    isResumable: z.boolean().default(false).describe("True when another endpoint may resume a stream."),
    allowedRegions: allowedRegionsSchema.describe(
        "Regions whose endpoints may serve the requests; empty allows all. The workspace's regions bind too.",
    ),
});

/** A route. */
export type Route = z.infer<typeof routeSchema>;

/** A service that endpoints serve. */
export const serviceSchema = z.object({
    name: z.string().min(1).describe("Name of the service; unique."),
    healthPath: z.string().optional().describe("Path of the health check."),
    maxConnections: z.number().int().positive().optional().describe(
        "Maximum number of connections that one endpoint accepts from all VMs together.",
    ),
    engine: z.object({
        tokensPerEvent: z.number().positive().default(1).describe("Tokens per stream event."),
        memoryTokens: z.number().positive().optional().describe(
            "Tokens that fit into the memory of an engine.",
        ),
    }).optional().describe("Present for model engines."),
    coldStartMs: z.number().min(0).default(0).describe(
        "Time for which an endpoint is cold after its start, in milliseconds; 0 when the service has no cold phase.",
    ),
    coldPerS: z.number().min(0).default(0).describe(
        "Requests a second that a cold endpoint tolerates from all VMs together; 0 for no limit.",
    ),
});

/** A service. */
export type Service = z.infer<typeof serviceSchema>;

/** Limit on the traffic of a workspace. */
export const quotaSchema = z.object({
    ratePerS: z.number().positive().describe("Sustained rate, in units per second."),
    burst: z.number().min(0).describe("Units that may be used in a burst."),
    unit: z.enum(["tokens", "requests"]).describe("Unit that is counted."),
    plainTokens: z.number().min(0).default(0).describe("Tokens that count for a request that declares none."),
});

/** A quota. */
export type Quota = z.infer<typeof quotaSchema>;

/** A workspace with the keys of its callers. */
export const workspaceSchema = z.object({
    name: z.string().min(1).describe("Name of the workspace; unique."),
    keys: z.array(z.string().min(1)).describe("Keys that its callers present."),
    rank: z.number().int().min(0).optional().describe(
        "Priority rank of the workspace; goes before the route's rank.",
    ),
    quota: quotaSchema.optional().describe("Limit over all VMs; without it the workspace is unlimited."),
    allowedRegions: allowedRegionsSchema.describe(
        "Regions whose endpoints may serve the workspace's requests; empty allows all. The route's regions bind too.",
    ),
});

/** A workspace. */
export type Workspace = z.infer<typeof workspaceSchema>;

/** Limits on the size and duration of what callers send. */
export const callerLimitsSchema = z.object({
    headerBytes: z.number().int().positive().default(16_384).describe("Longest request head, in bytes."),
    bodyBytes: z.number().int().positive().default(4_194_304).describe("Longest request body, in bytes."),
    headerTimeoutMs: millisecondsSchema.default(3_000).describe(
        "Time limit for sending the request head, in milliseconds.",
    ),
    idleTimeoutMs: millisecondsSchema.default(15_000).describe(
        "Time for which a connection may stay idle, in milliseconds.",
    ),
});

/** Limits on callers. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** One version of the routing configuration. */
export const routingConfigurationSchema = z.object({
    version: z.number().int().describe("Version; a higher one replaces a lower one."),
    routes: z.array(routeSchema).describe("Routes."),
    services: z.array(serviceSchema).describe("Services."),
    workspaces: z.array(workspaceSchema).optional().describe(
        "Workspaces; when absent, requests need no key.",
    ),
    limits: callerLimitsSchema.prefault({}).describe("Limits on callers."),
});

/** One version of the routing configuration. */
export type RoutingConfiguration = z.infer<typeof routingConfigurationSchema>;
