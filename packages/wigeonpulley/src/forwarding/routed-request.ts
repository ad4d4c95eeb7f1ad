/** A caller's request with its route, and values derived from both. */
import type { ByteAccount } from "../clients/index.js";
import { combineRanks } from "../placement/index.js";
import type { Route, Workspace } from "../routing/index.js";
import type { RequestMetadata } from "./header-codec.js";
import type { RequestLifetime } from "./request-lifetime.js";

/** A request that is being served. */
export interface RoutedRequest {
    readonly metadata: RequestMetadata;
    readonly method: string;
    /** Path with query, byte for byte as the caller sent it. */
    readonly path: string;
    readonly rawHeaders: readonly string[];
    readonly body: Buffer | undefined;
    readonly route: Route;
    readonly service: string;
    /** Tokens per stream event; undefined when the service is not an engine. */
    readonly tokensPerEvent: number | undefined;
    readonly workspace: Workspace | undefined;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Estimated time that the caller spent on earlier attempts, in milliseconds. */
    readonly earlierAttemptsMs: number;
    /** Version of the configuration that admitted it. */
    readonly configurationVersion: number;
    readonly lifetime: RequestLifetime;
    /** VM that passed the request on; undefined when a caller sent it to this VM. */
    readonly peer: string | undefined;
    /** Regions that this VM allows by its own configuration; undefined for all. */
    readonly peerAllowedRegions?: ReadonlySet<string> | undefined;
    /** False when the VM that passed the request on knows that it may run once only; undefined for a caller's request. */
    readonly isRepeatableForPeer?: boolean | undefined;
    /** Holds its bytes; undefined where nothing bounds them. */
    readonly account?: ByteAccount | undefined;
}

/** By the platform's protocol, callers abandon a stream that is silent for the longest of these three limits. */
const MIN_CALLER_TIMEOUT_MS = 2_000;
const CALLER_TIMEOUT_TARGET_FACTOR = 4;
const CALLER_TIMEOUT_GAP_FACTOR = 8;

/** Silence after which the caller of a stream gives up; the remaining time for other requests. In milliseconds. */
export const computeCallerTimeoutMs = ({ route, lifetime }: RoutedRequest): number =>
    route.kind === "stream"
        ? Math.max(
            MIN_CALLER_TIMEOUT_MS,
            CALLER_TIMEOUT_TARGET_FACTOR * route.targetLatencyMs,
            CALLER_TIMEOUT_GAP_FACTOR * (route.gapTargetMs ?? 0),
        )
        : lifetime.remainingMs;

/** Priority rank of a request, 0 being the most important; the workspace's rank goes before the route's. */
export const computeRank = (route: Route, workspace: Workspace | undefined): number =>
    combineRanks(workspace?.rank ?? 0, route.rank);

/**
 * True when running the request a second time does no harm, by the configuration of this VM and by that of the VM which
 * passed it on.
 */
export const isRetryable = (
    { route, isRepeatableForPeer = true }: Pick<RoutedRequest, "route" | "isRepeatableForPeer">,
): boolean =>
    isRepeatableForPeer
    && (route.kind === "idempotent" || (route.kind === "stream" && route.isResumable));

/** Units that the request consumes of its workspace's quota; 0 without a quota. */
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

/** Share of the maximum output tokens that is expected without a hint. */
const EXPECTED_OUTPUT_SHARE = 0.5;

const estimateOutputTokens = ({ metadata }: RoutedRequest): number => {
    const maxOutput = metadata.tokens?.output ?? 0;
    return Math.min(maxOutput, metadata.outputTokensHint ?? maxOutput * EXPECTED_OUTPUT_SHARE);
};

/** Expected number of events of the response. */
export const estimateEventCount = (request: RoutedRequest): number =>
    estimateOutputTokens(request) / (request.tokensPerEvent ?? 1);

/** Tokens that the request is expected to cost an engine; 1 for a request that declares none. */
export const estimateWorkTokens = (request: RoutedRequest): number =>
    Math.max(1, (request.metadata.tokens?.prompt ?? 0) + estimateOutputTokens(request));
