/**
 * Catalogue of all errors that wigeonpulley reports.
 * docs/ERRORS.md is generated from it.
 */

/** One entry of the error catalogue. */
export interface ErrorEntry<Details> {
    /** Short sentence for the `title` of a problem+json body. */
    readonly title: string;
    /** Formats the message from the details of one occurrence. */
    readonly message: (details: Details) => string;
    /** What the reader can do about it. */
    readonly hint: string;
    /** Status of the HTTP response. */
    readonly status: number;
    /** True when the error proves that the request did not run on any endpoint. */
    readonly notRun: boolean;
}

const defineError = <Details>(entry: ErrorEntry<Details>): ErrorEntry<Details> => entry;

/** All errors by name. */
export const errorCatalogue = {
    InvalidSettings: defineError<{ problems: string; }>({
        title: "The settings are not valid.",
        message: ({ problems }) => `The settings are not valid: ${problems}`,
        hint: "Correct every listed path; docs/CONFIGURATION.md describes each option.",
        status: 500,
        notRun: true,
    }),
    InvalidConfiguration: defineError<{ problems: string; }>({
        title: "The configuration is not valid.",
        message: ({ problems }) => `The configuration is not valid: ${problems}`,
        hint: "Correct every listed path, then run `wigeonpulley config check` again.",
        status: 422,
        notRun: true,
    }),
    UnreadableFile: defineError<{ path: string; reason: string; }>({
        title: "A file could not be read.",
        message: ({ path, reason }) => `Could not read ${path}: ${reason}`,
        hint: "Check that the path exists and holds JSON.",
        status: 500,
        notRun: true,
    }),
    ConfigurationConflict: defineError<{ base: number; current: number; }>({
        title: "Another change was published first.",
        message: ({ base, current }) =>
            `The change is based on version ${base}, but version ${current} is in force.`,
        hint: "Run `wigeonpulley config diff` against the current version and publish again.",
        status: 409,
        notRun: true,
    }),
    ConfigurationUnavailable: defineError<Record<never, never>>({
        title: "No configuration is known yet.",
        message: () => "This VM has not received any configuration yet.",
        hint: "Publish a configuration, or wait until the log or a peer answers.",
        status: 503,
        notRun: true,
    }),
    LogUnavailable: defineError<{ operation: string; reason: string; }>({
        title: "The platform log did not answer.",
        message: ({ operation, reason }) => `The platform log did not answer to ${operation}: ${reason}`,
        hint: "Wait for the platform; requests without an idempotency key are unaffected.",
        status: 503,
        notRun: true,
    }),
    LogAnswerUnknown: defineError<{ operation: string; reason: string; }>({
        title: "It is unknown whether the log took the record.",
        message: ({ operation, reason }) => `The answer to ${operation} was lost: ${reason}`,
        hint: "The writer reads the log to settle it; no action is needed.",
        status: 503,
        notRun: true,
    }),
    LogTrimmed: defineError<{ offset: number; firstOffset: number; }>({
        title: "The log no longer holds the records asked for.",
        message: ({ offset, firstOffset }) =>
            `Offset ${offset} is past retention; the first retained is ${firstOffset}.`,
        hint: "The reader starts again at the first retained offset.",
        status: 503,
        notRun: true,
    }),
    UnknownCaller: defineError<Record<never, never>>({
        title: "The caller is not known.",
        message: () => "The Authorization header holds no key of a declared caller.",
        hint: "Send `Authorization: Bearer <key>` with a key that the configuration declares.",
        status: 401,
        notRun: true,
    }),
    NotPermitted: defineError<Record<never, never>>({
        title: "Operators only.",
        message: () => "This path needs the operator key.",
        hint: "Send `Authorization: Bearer <key>` with the key whose hash the settings hold.",
        status: 403,
        notRun: true,
    }),
    InvalidRequest: defineError<{ problems: string; }>({
        title: "The request is not valid.",
        message: ({ problems }) => `The request is not valid: ${problems}`,
        hint: "Correct the listed fields and send the request again.",
        status: 400,
        notRun: true,
    }),
    NoSelectorMatches: defineError<{ labels: string; }>({
        title: "No selector matches the request.",
        message: ({ labels }) => `No selector matches the labels ${labels}.`,
        hint: "Check the labels of the request, or ask an operator to declare a selector.",
        status: 422,
        notRun: true,
    }),
    NoEndpoint: defineError<{ target: string; }>({
        title: "No endpoint serves the target.",
        message: ({ target }) => `No live endpoint serves ${target}.`,
        hint: "Try again later; operators see the endpoints with `wigeonpulley status`.",
        status: 503,
        notRun: true,
    }),
    Overloaded: defineError<{ tier: string; }>({
        title: "The request was refused because of load.",
        message: ({ tier }) => `Tier ${tier} is not admitted at the moment; the request did not run.`,
        hint: "Send the request again after the time in Retry-After.",
        status: 503,
        notRun: true,
    }),
    DeadlineUnattainable: defineError<{ estimateMs: number; deadlineMs: number; }>({
        title: "The request can't finish by its deadline.",
        message: ({ estimateMs, deadlineMs }) =>
            `The request needs about ${estimateMs} ms and has ${deadlineMs} ms; it did not run.`,
        hint: "Ask for a shorter answer or allow more time.",
        status: 503,
        notRun: true,
    }),
    DeadlineExceeded: defineError<Record<never, never>>({
        title: "The deadline passed while the request was running.",
        message: () => "The deadline passed after the request had been dispatched.",
        hint: "The outcome is unknown unless the request is idempotent.",
        status: 504,
        notRun: false,
    }),
    EndpointFailed: defineError<{ endpoint: string; reason: string; }>({
        title: "The endpoint failed after the request was dispatched.",
        message: ({ endpoint, reason }) => `Endpoint ${endpoint} failed: ${reason}`,
        hint: "Send an idempotent request again; for others ask for the outcome first.",
        status: 502,
        notRun: false,
    }),
    EndpointUnreachable: defineError<{ endpoint: string; reason: string; }>({
        title: "No connection to the endpoint could be made.",
        message: ({ endpoint, reason }) =>
            `Endpoint ${endpoint} took no connection (${reason}); the request did not run.`,
        hint: "Send the request again after the time in Retry-After.",
        status: 503,
        notRun: true,
    }),
    KeyRequired: defineError<Record<never, never>>({
        title: "The request needs an idempotency key.",
        message: () => "The selector declares the request as not idempotent, and it has no Idempotency-Key.",
        hint: "Send an Idempotency-Key header with a value that is unique to the operation.",
        status: 400,
        notRun: true,
    }),
    KeyReused: defineError<Record<never, never>>({
        title: "The idempotency key belongs to another request.",
        message: () => "The Idempotency-Key was used before with another body.",
        hint: "Use a new key for a new operation.",
        status: 422,
        notRun: true,
    }),
    KeyInProgress: defineError<Record<never, never>>({
        title: "A request with this idempotency key is in progress.",
        message: () => "Another request with the same Idempotency-Key holds the claim.",
        hint: "Send the request again after the time in Retry-After to read its outcome.",
        status: 409,
        notRun: false,
    }),
    OutcomeUnknown: defineError<Record<never, never>>({
        title: "The outcome of the request is unknown.",
        message: () => "The request was claimed, but its outcome was never recorded; it may have run.",
        hint: "Check the state of the service before using a new key.",
        status: 409,
        notRun: false,
    }),
    AnswerNotKept: defineError<Record<never, never>>({
        title: "The request ran before, and its answer was not kept.",
        message: () => "The request with this Idempotency-Key ran once; its answer was too long to keep.",
        hint: "Read the result from the service; do not use a new key for the same operation.",
        status: 409,
        notRun: false,
    }),
    ResumeTokenInvalid: defineError<Record<never, never>>({
        title: "The Last-Event-ID is not valid.",
        message: () => "The Last-Event-ID is forged, expired, or belongs to another caller.",
        hint: "Send the request again without Last-Event-ID.",
        status: 403,
        notRun: false,
    }),
    ResumeUnavailable: defineError<{ endpoint: string; }>({
        title: "The answer can't be resumed.",
        message: ({ endpoint }) => `Endpoint ${endpoint} no longer holds the answer.`,
        hint: "Send an idempotent request again.",
        status: 410,
        notRun: false,
    }),
    Stopping: defineError<Record<never, never>>({
        title: "This VM is stopping.",
        message: () => "This VM takes no new requests; the request did not run.",
        hint: "Send the request again; the balancer picks another VM.",
        status: 503,
        notRun: true,
    }),
    ProcessorOverloaded: defineError<{ delayMs: number; }>({
        title: "This VM lacks processor time.",
        message: ({ delayMs }) => `This VM is ${delayMs} ms late with its work; the request did not run.`,
        hint: "Send the request again after the time in Retry-After.",
        status: 503,
        notRun: true,
    }),
    TooManyStreams: defineError<{ limit: number; }>({
        title: "This VM has too many open requests.",
        message: ({ limit }) => `This VM has reached its limit of ${limit} open requests.`,
        hint: "Send the request again after the time in Retry-After.",
        status: 503,
        notRun: true,
    }),
    PeerUnavailable: defineError<{ peer: string; reason: string; }>({
        title: "A peer did not answer.",
        message: ({ peer, reason }) => `Peer ${peer} did not answer: ${reason}`,
        hint: "No action is needed; another peer takes over.",
        status: 503,
        notRun: true,
    }),
    RequestCancelled: defineError<Record<never, never>>({
        title: "The caller closed the request.",
        message: () => "The caller closed the request before it was dispatched.",
        hint: "No action is needed.",
        status: 499,
        notRun: true,
    }),
    ConfigurationStale: defineError<{ ageMs: number; }>({
        title: "The configuration has not been confirmed lately.",
        message: ({ ageMs }) =>
            `The configuration was last confirmed ${ageMs} ms ago, so keys and routes can't be checked.`,
        hint: "Send the request again after the time in Retry-After; operators check the platform's store.",
        status: 503,
        notRun: true,
    }),
    ConfigurationBehind: defineError<{ version: number; wantedVersion: number; }>({
        title: "The VM has an older configuration than the VM that passed the request on.",
        message: ({ version, wantedVersion }) =>
            `This VM has version ${version} of the configuration; the request was admitted by version ${wantedVersion}.`,
        hint:
            "The VM that passed the request on tries another one; operators check why this VM reads the store late.",
        status: 503,
        notRun: true,
    }),
    NoRoute: defineError<{ path: string; }>({
        title: "No route matches the request.",
        message: ({ path }) => `No route of this host matches the path ${path}.`,
        hint: "Check the host and the path, or ask an operator to declare a route.",
        status: 404,
        notRun: true,
    }),
    BodyTooLong: defineError<{ limit: number; }>({
        title: "The body is too long.",
        message: ({ limit }) => `The body is longer than ${limit} bytes.`,
        hint: "Send a shorter body.",
        status: 413,
        notRun: true,
    }),
    UploadTooSlow: defineError<{ bytesPerS: number; }>({
        title: "The body arrives too slowly.",
        message: ({ bytesPerS }) =>
            `The body arrives at less than ${bytesPerS} bytes a second; the request did not run.`,
        hint: "Send the body faster; operators find the limit in the settings' section `clients`.",
        status: 408,
        notRun: true,
    }),
    ClientMemoryExhausted: defineError<Record<never, never>>({
        title: "The memory for callers' requests is used up.",
        message: () =>
            "This VM holds as many bytes for callers as its settings allow; the request did not run.",
        hint:
            "Send the request again after the time in Retry-After; operators look at wigeonpulley_client_bytes.",
        status: 503,
        notRun: true,
    }),
    QuotaExceeded: defineError<{ workspace: string; }>({
        title: "The quota of the workspace is used up.",
        message: ({ workspace }) => `Workspace ${workspace} has used its quota up; the request did not run.`,
        hint: "Send the request again after the time in Retry-After.",
        status: 429,
        notRun: true,
    }),
    PromptQuarantined: defineError<{ block: string; }>({
        title: "A part of the prompt is quarantined.",
        message: ({ block }) =>
            `Engines crashed under requests with prompt block ${block}; the request did not run.`,
        hint:
            "Send no request with this block before the time in Retry-After; operators find its crashes in the logs.",
        status: 503,
        notRun: true,
    }),
    RequestQuarantined: defineError<{ request: string; }>({
        title: "The request is quarantined.",
        message: ({ request }) =>
            `Instances crashed under requests with the same path, caller and body (${request}); the request did not run.`,
        hint: "Don't send it again before the time in Retry-After; operators find its crashes in the logs.",
        status: 503,
        notRun: true,
    }),
    RegionUnavailable: defineError<{ target: string; regions: string; }>({
        title: "No allowed region can serve the request.",
        message: ({ target, regions }) =>
            regions === ""
                ? `The regions that route and workspace allow for ${target} have none in common; the request did not run.`
                : `No endpoint in the regions ${regions} can serve ${target} now; the request did not run.`,
        hint:
            "Send the request again after the time in Retry-After; operators check allowed_regions and the endpoints there.",
        status: 503,
        notRun: true,
    }),
    InvalidPlatformEntry: defineError<{ entry: string; reason: string; }>({
        title: "An entry of the platform can't be read.",
        message: ({ entry, reason }) => `The entry ${entry} can't be read: ${reason}`,
        hint: "The last readable state stays in use; correct the writer of the entry.",
        status: 500,
        notRun: true,
    }),
    StoreUnavailable: defineError<{ call: string; reason: string; }>({
        title: "The platform's store did not answer.",
        message: ({ call, reason }) => `The platform's store did not answer ${call}: ${reason}`,
        hint: "The call is repeated after a delay; requests without a key are unaffected.",
        status: 503,
        notRun: true,
    }),
    StoreHistoryLost: defineError<{ topic: string; from: number; }>({
        title: "The store no longer holds the records asked for.",
        message: ({ topic, from }) => `The records of ${topic} from offset ${from} on have been deleted.`,
        hint: "The reader lists the newest record of each key.",
        status: 503,
        notRun: true,
    }),
    StoreConflict: defineError<{ topic: string; expectedEnd: number; }>({
        title: "Another record was stored first.",
        message: ({ topic, expectedEnd }) =>
            `The topic ${topic} no longer ends at offset ${expectedEnd}; nothing was stored.`,
        hint: "The writer reads the topic again and decides anew.",
        status: 503,
        notRun: true,
    }),
    InternalError: defineError<{ reason: string; }>({
        title: "Something unexpected failed.",
        message: ({ reason }) => `Unexpected failure: ${reason}`,
        hint: "Report it with the logs of the VM.",
        status: 500,
        notRun: false,
    }),
} as const;

/** The name of an entry of the catalogue. */
export type ErrorName = keyof typeof errorCatalogue;

/** True for the name of an entry of the catalogue. */
export const isErrorName = (name: string): name is ErrorName => Object.hasOwn(errorCatalogue, name);

/** The details that one kind of error carries. */
export type ErrorDetails<Name extends ErrorName> = Parameters<(typeof errorCatalogue)[Name]["message"]>[0];
