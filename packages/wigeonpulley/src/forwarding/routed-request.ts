/** One request of a caller, matched to its route. */
import { combineRanks } from "../placement/index.js";
import type { Route, Workspace } from "../routing/index.js";
import type { RequestMetadata } from "./header-codec.js";
import type { RequestLifetime } from "./request-lifetime.js";

/** A request that is being served. */
export interface RoutedRequest {
    readonly metadata: RequestMetadata;
    readonly method: string;
    /** Path with query, byte for byte. */
    readonly path: string;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer | undefined;
    readonly route: Route;
    readonly service: string;
    /** Tokens of one event, for requests to engines. */
    readonly tokensPerEvent: number | undefined;
    readonly workspace: Workspace | undefined;
    /** Monotonic time of its arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Time that the caller had spent on earlier tries, in milliseconds, as far as its deadline shows. */
    readonly earlierAttemptsMs: number;
    /** Version of the configuration that admitted it. */
    readonly configurationVersion: number;
    readonly lifetime: RequestLifetime;
}

/** Callers abandon a stream that stays silent for the longest of these (PROTOCOL, "Requests"). */
const PATIENCE_SHORTEST_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;

/** Silence after which the caller of a stream gives up, in milliseconds; the whole time for other requests. */
export const computeCallerTimeoutMs = ({ route, lifetime }: RoutedRequest): number =>
    route.kind === "stream"
        ? Math.max(
            PATIENCE_SHORTEST_MS,
            PATIENCE_TARGETS * route.targetLatencyMs,
            PATIENCE_GAPS * (route.gapTargetMs ?? 0),
        )
        : lifetime.remainingMs;

/** One number for the order of ranks: the workspace's goes before the route's. */
export const computeRank = (route: Route, workspace: Workspace | undefined): number =>
    combineRanks(workspace?.rank ?? 0, route.rank);

/** True when a second run does no harm. */
export const isRetryable = (route: Route): boolean =>
    route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);

/** Tokens that the request counts against a quota. */
export const countQuotaUnits = ({ metadata, workspace }: RoutedRequest): number => {
    const quota = workspace?.quota;
    if (quota === undefined) {
        return 0;
    }
    if (quota.unit === "requests") {
        return 1;
    }
    return metadata.tokens === undefined
        ? quota.plainTokens
        : metadata.tokens.prompt + metadata.tokens.output;
};

/** Share of the most output tokens that is expected of a request without a hint. */
const EXPECTED_OUTPUT_SHARE = 0.5;

/** Events that the answer is expected to have. */
export const estimateEventCount = ({ metadata, tokensPerEvent }: RoutedRequest): number => {
    const most = metadata.tokens?.output ?? 0;
    const tokens = Math.min(most, metadata.outputTokensHint ?? most * EXPECTED_OUTPUT_SHARE);
    return tokens / (tokensPerEvent ?? 1);
};
