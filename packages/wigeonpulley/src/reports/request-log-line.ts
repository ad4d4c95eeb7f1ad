/** Reads what a VM's log lines say of ended requests. */
import { z } from "zod";

/** What became of a request, from its caller's side. */
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

/** All results, best first. */
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

/** An ended request. */
export interface EndedRequest {
    readonly id: string;
    readonly route: string;
    readonly rank: number;
    /** Wall-clock time of its end, in milliseconds since 1970-01-01 UTC. */
    readonly endedAt: number;
    readonly result: RequestResult;
    readonly waitedMs: number;
    /** Time to the first byte of its answer, in milliseconds; undefined without one. */
    readonly firstMs: number | undefined;
    /** How much earlier (below zero) or later the first byte came than was expected at dispatch, in milliseconds. */
    readonly predictionErrorMs: number | undefined;
    /** Endpoints that it was sent to. */
    readonly sends: number;
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

/** Rank of requests that were refused before their route's rank was looked at. */
const NO_RANK = -1;

const judgeAnswered = (details: EndedDetails): RequestResult => {
    const firstMs = details.events > 0 ? details.firstMs : details.tookMs;
    if (firstMs > details.targetMs) {
        return "late-first";
    }
    return details.gapTargetMs > 0 && details.longestGapMs > details.gapTargetMs ? "slow-gaps" : "on-time";
};

/** Only a first send that was answered as a stream can be compared with what was expected. */
const readPredictionError = ({ sends, firstMs, waitedMs, predictedMs }: EndedDetails): number | undefined =>
    sends === 1 && firstMs >= 0 && predictedMs >= 0 ? firstMs - waitedMs - predictedMs : undefined;

const judgeEnded = (details: EndedDetails): RequestResult => {
    switch (details.outcome) {
        case "answered":
            return judgeAnswered(details);
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
 * Reads one line, which may have a prefix before its JSON. Undefined for lines that end no request; lines of other events
 * are many, so only those that can be meant are parsed.
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
            firstMs: undefined,
            predictionErrorMs: undefined,
            sends: 0,
        };
    }
    const { details } = parsed.data;
    return {
        id: details.id,
        route: details.route,
        rank: details.rank,
        endedAt,
        result: judgeEnded(details),
        waitedMs: details.waitedMs,
        firstMs: details.firstMs < 0 ? undefined : details.firstMs,
        predictionErrorMs: readPredictionError(details),
        sends: details.sends,
    };
};

/** A line that was cut off is no JSON; the report counts it as unreadable. */
const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};
