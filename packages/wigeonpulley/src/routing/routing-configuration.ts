/** What operators publish for routed traffic: routes, services, workspaces and limits, in the product's own words. */
import { z } from "zod";

const millisecondsSchema = z.number().positive();

/** A share of a route's traffic. */
export const routeTargetSchema = z.object({
    service: z.string().min(1).describe("Name of the service."),
    weight: z.number().min(0).default(1).describe("Weight against the other targets of the route."),
});

/** Which requests go where, and how long they may take. */
export const routeSchema = z.object({
    name: z.string().min(1).describe("Name of the route; unique."),
    host: z.string().min(1).describe("Value of the Host header, in lower case and without a port."),
    pathPrefix: z.string().min(1).describe("Beginning of the path; begins and ends with a slash."),
    kind: z.enum(["idempotent", "once", "stream"]).describe(
        "`idempotent` requests may be repeated; `once` at most one run; `stream` is an event stream.",
    ),
    targets: z.array(routeTargetSchema).min(1).describe("Services that share the traffic."),
    timeoutMs: millisecondsSchema.describe("Longest time without a final answer, in milliseconds."),
    targetLatencyMs: millisecondsSchema.describe("Time in which an answer is on time, in milliseconds."),
    gapTargetMs: millisecondsSchema.optional().describe(
        "Longest pause between events that is on time, in milliseconds.",
    ),
    rank: z.number().int().min(0).default(0).describe("Tier of the requests; 0 is the most important."),
    maxAttempts: z.number().int().positive().default(1).describe(
        "Most endpoints that one request is sent to.",
    ),
    isPublic: z.boolean().default(false).describe("True when requests need no key."),
    hasAffinity: z.boolean().default(false).describe("True when requests share prompt parts."),
    isResumable: z.boolean().default(false).describe("True when a stream may go on at another endpoint."),
});

/** A route. */
export type Route = z.infer<typeof routeSchema>;

/** A service that endpoints serve. */
export const serviceSchema = z.object({
    name: z.string().min(1).describe("Name of the service; unique."),
    healthPath: z.string().optional().describe("Path of the health check."),
    maxConnections: z.number().int().positive().optional().describe(
        "Most connections that one endpoint takes from all VMs together.",
    ),
    engine: z.object({
        tokensPerEvent: z.number().positive().default(1).describe("Tokens that one event of a stream holds."),
        memoryTokens: z.number().positive().optional().describe("Tokens that an engine can hold in memory."),
    }).optional().describe("Present for model engines."),
});

/** A service. */
export type Service = z.infer<typeof serviceSchema>;

/** Limit on the traffic of a workspace. */
export const quotaSchema = z.object({
    ratePerS: z.number().positive().describe("Sustained rate, in units a second."),
    burst: z.number().min(0).describe("Units that may be used at once."),
    unit: z.enum(["tokens", "requests"]).describe("What is counted."),
    plainTokens: z.number().min(0).default(0).describe("Tokens of a request that declares none."),
});

/** A quota. */
export type Quota = z.infer<typeof quotaSchema>;

/** A workspace with the keys of its callers. */
export const workspaceSchema = z.object({
    name: z.string().min(1).describe("Name of the workspace; unique."),
    keys: z.array(z.string().min(1)).describe("Keys that its callers present."),
    rank: z.number().int().min(0).optional().describe("Tier of the workspace; goes before the route's."),
    quota: quotaSchema.optional().describe("Limit over all VMs; none when absent."),
});

/** A workspace. */
export type Workspace = z.infer<typeof workspaceSchema>;

/** What a caller may send, and how long it may take. */
export const callerLimitsSchema = z.object({
    headerBytes: z.number().int().positive().default(16_384).describe("Longest request head, in bytes."),
    bodyBytes: z.number().int().positive().default(4_194_304).describe("Longest request body, in bytes."),
    headerTimeoutMs: millisecondsSchema.default(3_000).describe("Time to send the head, in milliseconds."),
    idleTimeoutMs: millisecondsSchema.default(15_000).describe(
        "Time that a connection may stay idle, in milliseconds.",
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
