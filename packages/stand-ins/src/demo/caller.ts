/** Minimal HTTP client of the system, as a caller would write it. */
import { EventSourceParserStream } from "eventsource-parser/stream";
import { Readable } from "node:stream";
import { request } from "undici";
import { END_OF_STREAM } from "wigeonpulley";

/** Server-sent event. */
export interface ReceivedEvent {
    readonly id: string;
    readonly data: string;
}

/** Response with a stream of events. */
export interface ReceivedStream {
    readonly status: number;
    readonly requestId: string;
    /** Throws when the connection is lost. */
    readonly events: AsyncIterable<ReceivedEvent>;
}

/** Sends a streaming chat request. */
export const openChat = (
    baseUrl: string,
    key: string,
    body: object,
    labels = "",
): Promise<ReceivedStream> =>
    openStream(`${baseUrl}/v1/chat/completions`, {
        method: "POST",
        headers: {
            authorization: `Bearer ${key}`,
            "content-type": "application/json",
            "wigeonpulley-labels": labels,
        },
        body: JSON.stringify({ ...body, stream: true }),
    });

/** Resumes a stream after the event `lastEventId`, through any VM. */
export const resumeChat = (baseUrl: string, key: string, lastEventId: string): Promise<ReceivedStream> =>
    openStream(`${baseUrl}/v1/answers`, {
        method: "GET",
        headers: { authorization: `Bearer ${key}`, "last-event-id": lastEventId },
    });

/** Sends an order to the plain service and returns status and body of the response. */
export const sendOrder = async (
    baseUrl: string,
    key: string,
    idempotencyKey: string,
    body: object,
): Promise<{ readonly status: number; readonly body: string; }> => {
    const response = await request(`${baseUrl}/services/orders/place`, {
        method: "POST",
        headers: {
            authorization: `Bearer ${key}`,
            "content-type": "application/json",
            "idempotency-key": idempotencyKey,
        },
        body: JSON.stringify(body),
    });
    return { status: response.statusCode, body: await response.body.text() };
};

/** Returns the token text of an event; empty for the event that ends the stream. */
export const parseTokenText = ({ data }: ReceivedEvent): string => {
    if (data === END_OF_STREAM) {
        return "";
    }
    const chunk = JSON.parse(data) as { choices: { delta: { content: string; }; }[]; };
    return chunk.choices[0]?.delta.content ?? "";
};

const openStream = async (
    url: string,
    options: NonNullable<Parameters<typeof request>[1]>,
): Promise<ReceivedStream> => {
    const response = await request(url, { ...options, reset: true });
    return {
        status: response.statusCode,
        requestId: String(response.headers["x-request-id"] ?? ""),
        events: readEvents(response.body),
    };
};

async function* readEvents(body: Readable): AsyncGenerator<ReceivedEvent, void, undefined> {
    const text = Readable.toWeb(body) as ReadableStream<Uint8Array>;
    for await (
        const { id, data } of text.pipeThrough(new TextDecoderStream()).pipeThrough(
            new EventSourceParserStream(),
        )
    ) {
        yield { id: id ?? "", data };
    }
}
