/** Merges a streamed chat completion into one body, for callers that do not stream. */
import * as z from "zod";
import { END_OF_STREAM } from "../endpoints/index.js";

const chunkSchema = z.looseObject({
    id: z.string(),
    model: z.string().optional(),
    choices: z.array(z.looseObject({
        delta: z.looseObject({ content: z.string().nullish() }).default({}),
        finish_reason: z.string().nullish(),
    })),
});

/** Merges the data of all events into the body of one completion. */
export const mergeChunks = (events: readonly string[]): string => {
    const chunks = events.filter(data => data !== END_OF_STREAM).map(data =>
        chunkSchema.parse(JSON.parse(data))
    );
    const choices = chunks.flatMap(chunk => chunk.choices.slice(0, 1));
    return JSON.stringify({
        id: chunks[0]?.id ?? "",
        object: "chat.completion",
        model: chunks[0]?.model ?? "",
        choices: [{
            index: 0,
            message: {
                role: "assistant",
                content: choices.map(choice => choice.delta.content ?? "").join(""),
            },
            finish_reason: choices.at(-1)?.finish_reason ?? "stop",
        }],
    });
};
