/** Parses the log lines of a VM that tell how requests ended. */
import * as z from "zod";

/** Result of a request from its caller's point of view. */
export type RequestResult =
    | "on-time"
    | "late-first"
    | "slow-gaps"
    | "refused-load"
    | "refused-quota"
    | "refused-other"
    | "timed-out"
    | "failed"
    | "cancelled";

/** All results, from best to worst. */
export const REQUEST_RESULTS: readonly RequestResult[] = [
    "on-time",
    "late-first",
    "slow-gaps",
    "refused-load",
    "refused-quota",
    "refused-other",
    "timed-out",
    "failed",
    "cancelled",
];

/** Request that has ended. */
export interface EndedRequest {
    readonly id: string;
    readonly route: string;
    /** Priority rank of the route; -1 if it was never determined. */
    readonly rank: number;
    /** Wall-clock time of the end, in milliseconds since 1970-01-01 UTC. */
    readonly endedAt: number;
    readonly result: RequestResult;
    /** Wait for a slot; 0 for a request that was not admitted. */
    readonly waitedMs: number;
    /** Time to the first event of the response; undefined without one. */
    readonly firstEventMs: number | undefined;
    /** How much later (below zero: earlier) the first event came than was predicted at dispatch. */
    readonly predictionErrorMs: number | undefined;
    /** Number of times that the request was sent to an endpoint. */
    readonly attempts: number;
}

const endedSchema = z.object({
    name: z.literal("RequestEnded"),
    time: z.iso.datetime(),
    details: z.object({
        id: z.string(),
        route: z.string(),
        rank: z.number(),
        outcome: z.string(),
        sends: z.number(),
        waitedMs: z.number(),
        firstMs: z.number(),
        predictedMs: z.number(),
        targetMs: z.number(),
        longestGapMs: z.number(),
        gapTargetMs: z.number(),
        events: z.number(),
        tookMs: z.number(),
    }),
});

const notAdmittedSchema = z.object({
    name: z.literal("RequestNotAdmitted"),
    time: z.iso.datetime(),
    details: z.object({ id: z.string(), route: z.string(), error: z.string() }),
});

const lineSchema = z.discriminatedUnion("name", [endedSchema, notAdmittedSchema]);

type EndedDetails = z.infer<typeof endedSchema>["details"];

/** Priority rank of requests that were refused before the rank of their route was determined. */
const NO_RANK = -1;

const evaluateAnswered = (details: EndedDetails): RequestResult => {
    const firstMs = details.events > 0 ? details.firstMs : details.tookMs;
    if (firstMs > details.targetMs) {
        return "late-first";
    }
    return details.gapTargetMs > 0 && details.longestGapMs > details.gapTargetMs ? "slow-gaps" : "on-time";
};

/** Returns undefined unless the only attempt was answered as a stream: the prediction was made for the first attempt. */
const computePredictionErrorMs = (
    { sends, firstMs, waitedMs, predictedMs }: EndedDetails,
): number | undefined =>
    sends === 1 && firstMs >= 0 && predictedMs >= 0 ? firstMs - waitedMs - predictedMs : undefined;

const evaluateEnded = (details: EndedDetails): RequestResult => {
    switch (details.outcome) {
        case "answered":
            return evaluateAnswered(details);
        case "Overloaded":
        case "NoEndpoint":
            return "refused-load";
        case "DeadlineExceeded":
            return "timed-out";
        case "RequestCancelled":
            return "cancelled";
        case "Stopping":
        case "EndpointUnreachable":
            return "refused-other";
        default:
            return "failed";
    }
};

/**
 * Parses one line, which may have a prefix before its JSON. Returns undefined for lines that don't end a request. Lines
 * of other events are numerous, so only candidates are parsed as JSON.
 */
export const parseRequestLogLine = (line: string): EndedRequest | undefined => {
    const start = line.indexOf("{");
    if (start === -1 || !/"name":"Request(Ended|NotAdmitted)"/.test(line)) {
        return undefined;
    }
    const parsed = lineSchema.safeParse(parseJson(line.slice(start)));
    if (!parsed.success) {
        return undefined;
    }
    const endedAt = Date.parse(parsed.data.time);
    if (parsed.data.name === "RequestNotAdmitted") {
        const { id, route, error } = parsed.data.details;
        const result = error === "QuotaExceeded" ? "refused-quota" : "refused-other";
        return {
            id,
            route,
            rank: NO_RANK,
            endedAt,
            result,
            waitedMs: 0,
            firstEventMs: undefined,
            predictionErrorMs: undefined,
            attempts: 0,
        };
    }
    const { details } = parsed.data;
    return {
        id: details.id,
        route: details.route,
        rank: details.rank,
        endedAt,
        result: evaluateEnded(details),
        waitedMs: details.waitedMs,
        firstEventMs: details.firstMs < 0 ? undefined : details.firstMs,
        predictionErrorMs: computePredictionErrorMs(details),
        attempts: details.sends,
    };
};

/** Returns undefined for invalid JSON, for example in a truncated line. */
const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};
