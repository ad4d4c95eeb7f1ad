/** Parses callers' requests into the fields that scheduling and dispatch need. */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import type { ByteAccount } from "../clients/index.js";
import { formatProblems, type Labels, labelsSchema } from "../config/index.js";
import { SchedulerError } from "../errors/index.js";
import { hashText } from "../hashing/index.js";
import { PREFIX_BLOCK_TOKENS } from "../scheduling/index.js";

/** Estimated number of characters in a token. */
const CHARACTERS_PER_TOKEN = 4;

/** Maximum number of leading prompt blocks that are hashed. */
const MAX_PREFIX_BLOCKS = 16;

/** Fields of all requests. */
interface RequestBase {
    readonly labels: Labels;
    /** Time limit set by the caller, in milliseconds; undefined uses the tier's. */
    readonly deadlineMs: number | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: string;
    readonly contentType: string;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
    /** What the request and its response hold; closed with the response. */
    readonly account?: ByteAccount | undefined;
}

/** A request for a model. */
export interface EngineRequest extends RequestBase {
    readonly kind: "engine";
    readonly model: string;
    /** False when the caller wants the response as one body. */
    readonly isStreaming: boolean;
    /** Estimated from the length of the prompt in characters. */
    readonly promptTokens: number;
    /** Undefined when the caller sets no limit. */
    readonly maximumTokens: number | undefined;
    /** Hashes of the leading prompt blocks. */
    readonly prefixBlocks: readonly number[];
}

/** A request for a plain service. */
export interface ServiceRequest extends RequestBase {
    readonly kind: "service";
    readonly service: string;
    readonly method: string;
    /** Path at the service, with the query. */
    readonly path: string;
}

/** A request for a model or for a service. */
export type CallerRequest = EngineRequest | ServiceRequest;

const chatBodySchema = z.looseObject({
    model: z.string().min(1),
    messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
    stream: z.boolean().default(false),
    max_tokens: z.number().int().positive().optional(),
});

const headersSchema = z.object({
    /** Labels, encoded like a query string. */
    labels: z.string().default(""),
    deadlineMs: z.coerce.number().int().positive().optional(),
    idempotencyKey: z.string().min(1).max(255).optional(),
});

/** Headers that requests of both kinds may carry. */
export type RequestHeaders = z.input<typeof headersSchema>;

/** Fields parsed from the headers. */
type ParsedHeaders = Pick<RequestBase, "labels" | "deadlineMs" | "idempotencyKey">;

/** Parses labels, deadline and idempotency key. Fails with InvalidRequest. */
export const parseHeaders = (headers: Record<string, unknown>): Result<ParsedHeaders, SchedulerError> => {
    const checked = headersSchema.safeParse({
        labels: headers["wigeonpulley-labels"],
        deadlineMs: headers["wigeonpulley-deadline-ms"],
        idempotencyKey: headers["idempotency-key"],
    });
    if (!checked.success) {
        return Err(SchedulerError.create("InvalidRequest", { problems: formatProblems(checked.error) }));
    }
    const labels = labelsSchema.safeParse(Object.fromEntries(new URLSearchParams(checked.data.labels)));
    if (!labels.success) {
        const problems = `Wigeonpulley-Labels: ${formatProblems(labels.error)}`;
        return Err(SchedulerError.create("InvalidRequest", { problems }));
    }
    const { deadlineMs, idempotencyKey } = checked.data;
    return Ok({ labels: labels.data, deadlineMs, idempotencyKey });
};

/** Fields parsed from the body of a chat completion. */
type ParsedChat = Pick<
    EngineRequest,
    "model" | "isStreaming" | "promptTokens" | "maximumTokens" | "prefixBlocks" | "body"
>;

/**
 * Parses the body of a chat completion. The returned body, which goes to the engine, always asks for a stream.
 * Fails with InvalidRequest.
 */
export const parseChatBody = (body: unknown): Result<ParsedChat, SchedulerError> => {
    const checked = chatBodySchema.safeParse(body);
    if (!checked.success) {
        return Err(SchedulerError.create("InvalidRequest", { problems: formatProblems(checked.error) }));
    }
    const { model, messages, stream, max_tokens: maximumTokens } = checked.data;
    const prompt = messages
        .map(({ role, content }) =>
            `${role}\n${typeof content === "string" ? content : JSON.stringify(content)}\n`
        )
        .join("");
    return Ok({
        model,
        isStreaming: stream,
        maximumTokens,
        promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
        prefixBlocks: hashPrefixBlocks(prompt),
        body: JSON.stringify({ ...checked.data, stream: true }),
    });
};

/** Hashes the complete blocks at the start of a prompt. Each hash also covers all blocks before it. */
export const hashPrefixBlocks = (prompt: string): readonly number[] => {
    const blockLength = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    const count = Math.min(MAX_PREFIX_BLOCKS, Math.floor(prompt.length / blockLength));
    const blocks: number[] = [];
    for (let index = 0; index < count; index += 1) {
        const block = prompt.slice(index * blockLength, (index + 1) * blockLength);
        blocks.push(hashText(`${blocks.at(-1) ?? ""}\n${block}`));
    }
    return blocks;
};
