/** Schema of the configuration that operators publish: tiers, models, endpoints, callers, selectors and maintenance. */
import * as z from "zod";
import { ipUrlSchema, labelsSchema } from "./field-schemas.js";

const nameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    "expected lower-case letters, digits, . and -",
);
const millisecondsSchema = z.number().int().positive();
const tokensSchema = z.number().int().positive();

/** A tier of requests. The order of the list is the order of importance, most important first. */
export const tierSchema = z.strictObject({
    name: nameSchema.describe("Name of the tier."),
    deadlineMs: millisecondsSchema.describe("Total time that a request may take, in milliseconds."),
    durable: z.boolean().default(false).describe(
        "True for requests that wait as long as memory allows instead of being refused early.",
    ),
});

/** A tier. */
export type Tier = z.infer<typeof tierSchema>;

/** A model and the versions that may serve it. */
export const modelSchema = z.strictObject({
    name: nameSchema.describe("Name of the model."),
    versions: z.array(nameSchema).min(1).describe("Versions that may get requests."),
});

/** An endpoint: a model engine or a plain service. */
export const endpointSchema = z.strictObject({
    name: nameSchema.describe("Name of the endpoint; unique."),
    kind: z.enum(["engine", "service"]).describe("Model engine or plain service."),
    url: ipUrlSchema.describe("Base URL; its host is an IP address."),
    region: z.string().min(1).describe("Region of the endpoint."),
    dataCentre: z.string().min(1).describe("Data centre of the endpoint."),
    rack: z.string().min(1).default("rack-1").describe("Rack of the endpoint, for planned maintenance."),
    serves: z.string().min(1).describe("Name of the model or of the service."),
    version: nameSchema.default("v1").describe("Version that the endpoint reports."),
    labels: labelsSchema.default({}).describe("Labels for selectors."),
    concurrency: z.strictObject({
        initial: z.number().int().positive().default(8),
        maximum: z.number().int().positive().default(64),
    }).prefault({}).describe("Bounds of the adaptive concurrency limit, in requests."),
    checksFencing: z.boolean().default(false).describe(
        "True when it refuses rollout orders with an outdated fencing number. Has no effect yet: no rollout orders are sent to endpoints.",
    ),
    deduplicatesKeys: z.boolean().default(false).describe(
        "True when it deduplicates idempotency keys itself. Has no effect: claims decide for every endpoint.",
    ),
});

/** An endpoint. */
export type Endpoint = z.infer<typeof endpointSchema>;

/** A caller with its key. */
export const callerSchema = z.strictObject({
    name: nameSchema.describe("Name of the caller; unique."),
    workspace: nameSchema.describe("Workspace that the caller belongs to."),
    keyHash: z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 digest in hexadecimal").describe(
        "SHA-256 of the caller's key, in hexadecimal.",
    ),
    labels: labelsSchema.default({}).describe("Labels for selectors."),
});

/** A caller. */
export type Caller = z.infer<typeof callerSchema>;

/** Determines the target and the tier of matching requests. The first selector that matches is used. */
export const selectorSchema = z.strictObject({
    name: nameSchema.describe("Name of the selector; unique."),
    caller: labelsSchema.default({}).describe("Labels that the caller must have."),
    request: labelsSchema.default({}).describe("Labels that the request must have."),
    tier: nameSchema.describe("Tier of the matching requests."),
    target: z.strictObject({
        serves: z.string().min(1).describe("Model or service that handles the requests."),
        versions: z.array(nameSchema).default([]).describe("Allowed versions; empty allows all."),
        labels: labelsSchema.default({}).describe("Labels that the endpoint must have."),
    }).describe("Where the requests go."),
    idempotent: z.boolean().default(true).describe(
        "False for requests that must not run twice; they need an Idempotency-Key.",
    ),
    expectedTokens: tokensSchema.default(256).describe(
        "Expected length of a response when the request sets no limit, in tokens.",
    ),
});

/** A selector. */
export type Selector = z.infer<typeof selectorSchema>;

/** A planned interruption by the data centre's provider or an operator. */
export const maintenanceSchema = z.strictObject({
    name: nameSchema.describe("Name of the maintenance; unique."),
    dataCentre: z.string().optional().describe("Affected data centre."),
    rack: z.string().optional().describe("Affected rack, within the data centre."),
    endpoint: nameSchema.optional().describe("Affected endpoint."),
    from: z.iso.datetime().describe("Start, as an ISO 8601 date in UTC."),
    until: z.iso.datetime().describe("End, as an ISO 8601 date in UTC."),
    drainMs: millisecondsSchema.default(600_000).describe(
        "Time before `from` at which affected endpoints get no more new requests, in milliseconds.",
    ),
});

/** A maintenance. */
export type Maintenance = z.infer<typeof maintenanceSchema>;

/** Adds an issue for every duplicate name in a list. */
const checkUnique = (list: readonly { name: string; }[], path: string, context: z.RefinementCtx): void => {
    const seen = new Set<string>();
    list.forEach(({ name }, index) => {
        if (seen.has(name)) {
            context.addIssue({
                code: "custom",
                path: [path, index, "name"],
                message: `duplicate name "${name}"`,
            });
        }
        seen.add(name);
    });
};

/** Maximum number of tiers in a configuration. */
export const MAX_TIERS = 16;

const configurationFields = z.strictObject({
    tiers: z.array(tierSchema).min(1).max(MAX_TIERS).describe("Tiers, most important first."),
    models: z.array(modelSchema).default([]).describe("Models and their versions."),
    endpoints: z.array(endpointSchema).default([]).describe("Endpoints."),
    callers: z.array(callerSchema).default([]).describe("Callers and their keys."),
    selectors: z.array(selectorSchema).default([]).describe("Selectors; the first match is used."),
    maintenance: z.array(maintenanceSchema).default([]).describe("Planned interruptions."),
});

type Fields = z.infer<typeof configurationFields>;

const addIssue = (context: z.RefinementCtx, path: readonly (string | number)[], message: string): void => {
    context.addIssue({ code: "custom", path: [...path], message });
};

/** Durable tiers must come first; otherwise load shedding would refuse a higher tier before a lower, durable one. */
const checkTiers = ({ tiers }: Fields, context: z.RefinementCtx): void => {
    const firstRefusable = tiers.findIndex(tier => !tier.durable);
    tiers.forEach((tier, index) => {
        if (tier.durable && firstRefusable !== -1 && index > firstRefusable) {
            addIssue(
                context,
                ["tiers", index, "durable"],
                "a durable tier can't come after one that is not durable",
            );
        }
    });
};

const checkSelectors = ({ tiers, models, selectors }: Fields, context: z.RefinementCtx): void => {
    const tierNames = new Set(tiers.map(tier => tier.name));
    const modelNames = new Set(models.map(model => model.name));
    selectors.forEach((selector, index) => {
        if (!tierNames.has(selector.tier)) {
            addIssue(context, ["selectors", index, "tier"], `tier "${selector.tier}" is not declared`);
        }
        if (!selector.idempotent && modelNames.has(selector.target.serves)) {
            const message =
                "requests for a model are always idempotent; only a service can be declared otherwise";
            addIssue(context, ["selectors", index, "idempotent"], message);
        }
    });
};

const checkEndpoints = ({ endpoints, models }: Fields, context: z.RefinementCtx): void => {
    const modelNames = new Set(models.map(model => model.name));
    endpoints.forEach((endpoint, index) => {
        if (endpoint.kind === "engine" && !modelNames.has(endpoint.serves)) {
            addIssue(context, ["endpoints", index, "serves"], `model "${endpoint.serves}" is not declared`);
        }
    });
};

const checkMaintenance = ({ maintenance: list }: Fields, context: z.RefinementCtx): void => {
    list.forEach((maintenance, index) => {
        if (Date.parse(maintenance.from) >= Date.parse(maintenance.until)) {
            addIssue(context, ["maintenance", index, "until"], "must be later than `from`");
        }
        if (
            [maintenance.dataCentre, maintenance.rack, maintenance.endpoint].every(part => part === undefined)
        ) {
            addIssue(context, ["maintenance", index], "must name a data centre, rack or endpoint");
        }
    });
};

/** The configuration, with the rules that span several fields. */
export const configurationSchema = configurationFields.superRefine((configuration, context) => {
    const sections = ["tiers", "models", "endpoints", "callers", "selectors", "maintenance"] as const;
    sections.forEach(section => checkUnique(configuration[section], section, context));
    checkTiers(configuration, context);
    checkSelectors(configuration, context);
    checkEndpoints(configuration, context);
    checkMaintenance(configuration, context);
});

/** A configuration with defaults filled in. */
export type Configuration = z.infer<typeof configurationSchema>;

/** A configuration as operators write it. */
export type ConfigurationInput = z.input<typeof configurationSchema>;
