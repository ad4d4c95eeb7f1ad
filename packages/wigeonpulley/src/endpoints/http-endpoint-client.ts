/** Endpoint client over HTTP: OpenAI-style server-sent events from engines, complete responses from services. */
import { EventSourceParserStream } from "eventsource-parser/stream";
import { Readable } from "node:stream";
import { Err, Ok, type Result } from "ts-results-es";
import { Agent, type Dispatcher, request as sendRequest } from "undici";
import * as z from "zod";
import { type ByteAccount, CompactBytes, SegmentPool } from "../clients/index.js";
import type { Endpoint } from "../config/index.js";
import { describeCause, SchedulerError } from "../errors/index.js";
import { isConnectFailure } from "../platform/index.js";
import type { ConsumedPermit, DispatchPermit } from "./dispatch-permit.js";
import {
    type CancelOutcome,
    type DispatchFailure,
    type DispatchResult,
    EndpointClient,
    type EndpointReport,
    endpointReportSchema,
    type EndpointRequest,
    type EngineEvent,
    type EngineStream,
    type ServiceResponse,
    type StartedStream,
} from "./endpoint-client.js";
import { createResetCheckingPool } from "./reset-check.js";

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_SERVER_ERROR = 500;
const REQUEST_ID_HEADER = "x-request-id";
/** Time for an endpoint to respond to any call other than a dispatch. */
const CONTROL_TIMEOUT_MS = 2_000;
/** Copies of a collected response that are held together: its bytes and its text. */
const TEXT_COPIES = 2;

const cancelResponseSchema = z.object({ outcome: z.enum(["never-seen", "cancelled", "finished"]) });

/** Timeouts of the client. */
export interface HttpEndpointOptions {
    readonly connectTimeoutMs: number;
    /** Longest idle time after which a connection is reused, in milliseconds. */
    readonly maxIdleMs: number;
    /** Time for an engine to start its response, in milliseconds. */
    readonly firstByteTimeoutMs: number;
}

/** Client of all endpoints over HTTP. */
export class HttpEndpointClient extends EndpointClient {
    private readonly agent: Agent;
    /** For resuming streams. Its connections are not reused, since an old one may have failed silently. */
    private readonly singleUseAgent: Agent;

    private constructor(private readonly options: HttpEndpointOptions) {
        super();
        this.singleUseAgent = new Agent({ connect: { timeout: options.connectTimeoutMs }, bodyTimeout: 0 });
        this.agent = new Agent({
            connect: { timeout: options.connectTimeoutMs },
            keepAliveTimeout: options.maxIdleMs,
            keepAliveMaxTimeout: options.maxIdleMs,
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            factory: createResetCheckingPool,
        });
    }

    /** Creates a client with its own connections. */
    static create(options: HttpEndpointOptions): HttpEndpointClient {
        return new HttpEndpointClient(options);
    }

    override async dispatchToEngine(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
    ): Promise<DispatchResult<StartedStream>> {
        const response = await this.send(endpoint, permit, request, {
            headersTimeout: this.options.firstByteTimeoutMs,
        });
        if (response.isErr()) {
            return response;
        }
        const { consumedPermit, data } = response.value;
        if (data.statusCode === HTTP_OK) {
            return Ok({ consumedPermit, stream: openStream(data) });
        }
        await data.body.dump();
        const error = createError(endpoint, `status ${data.statusCode}`);
        return Err(
            data.statusCode < HTTP_SERVER_ERROR
                ? { kind: "rejected", error }
                : { kind: "maybe-sent", consumedPermit, error },
        );
    }

    override async dispatchToService(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
        signal: AbortSignal,
    ): Promise<DispatchResult<ServiceResponse>> {
        const response = await this.send(endpoint, permit, request, { signal });
        if (response.isErr()) {
            return response;
        }
        const { consumedPermit, data } = response.value;
        try {
            const contentType = String(data.headers["content-type"] ?? "application/octet-stream");
            const body = await readText(data.body, request.account);
            if (body === undefined) {
                const error = createError(endpoint, "its response has no room in memory");
                return Err({ kind: "maybe-sent", consumedPermit, error });
            }
            return Ok({ status: data.statusCode, contentType, body });
        }
        catch (cause) {
            return Err({
                kind: "maybe-sent",
                consumedPermit,
                error: createError(endpoint, describeCause(cause)),
            });
        }
    }

    override async resume(
        endpoint: Endpoint,
        requestId: string,
        sequence: number,
    ): Promise<Result<EngineStream | undefined, SchedulerError>> {
        try {
            const response = await sendRequest(`${endpoint.url}/v1/requests/${requestId}/events`, {
                dispatcher: this.singleUseAgent,
                query: { from: sequence },
                reset: true,
                headersTimeout: CONTROL_TIMEOUT_MS,
            });
            if (response.statusCode === HTTP_NOT_FOUND) {
                await response.body.dump();
                return Ok(undefined);
            }
            if (response.statusCode !== HTTP_OK) {
                await response.body.dump();
                return Err(createError(endpoint, `status ${response.statusCode}`));
            }
            return Ok(openStream(response));
        }
        catch (cause) {
            return Err(createError(endpoint, describeCause(cause)));
        }
    }

    override async cancel(
        endpoint: Endpoint,
        requestId: string,
    ): Promise<Result<CancelOutcome, SchedulerError>> {
        try {
            const response = await sendRequest(`${endpoint.url}/v1/requests/${requestId}`, {
                method: "DELETE",
                dispatcher: this.agent,
                headersTimeout: CONTROL_TIMEOUT_MS,
            });
            return Ok(cancelResponseSchema.parse(await response.body.json()).outcome);
        }
        catch (cause) {
            return Err(createError(endpoint, describeCause(cause)));
        }
    }

    override async readReport(endpoint: Endpoint): Promise<Result<EndpointReport, SchedulerError>> {
        try {
            const response = await sendRequest(`${endpoint.url}/v1/report`, {
                dispatcher: this.agent,
                headersTimeout: CONTROL_TIMEOUT_MS,
                bodyTimeout: CONTROL_TIMEOUT_MS,
            });
            return Ok(endpointReportSchema.parse(await response.body.json()));
        }
        catch (cause) {
            return Err(createError(endpoint, describeCause(cause)));
        }
    }

    /** Consumes the permit and sends the request. */
    private async send(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
        limits: { readonly signal?: AbortSignal; readonly headersTimeout?: number; },
    ): Promise<
        DispatchResult<{ readonly consumedPermit: ConsumedPermit; readonly data: Dispatcher.ResponseData; }>
    > {
        const consumedPermit = permit.consume();
        const hasBody = request.method !== "GET" && request.method !== "HEAD";
        try {
            const data = await sendRequest(`${endpoint.url}${request.path}`, {
                method: request.method as Dispatcher.HttpMethod,
                dispatcher: this.agent,
                headers: {
                    [REQUEST_ID_HEADER]: request.id,
                    ...(hasBody ? { "content-type": request.contentType } : {}),
                    ...(request.idempotencyKey === undefined
                        ? {}
                        : { "idempotency-key": request.idempotencyKey }),
                },
                ...(hasBody ? { body: request.body } : {}),
                ...limits,
            });
            return Ok({ consumedPermit, data });
        }
        catch (cause) {
            return Err(createFailure(endpoint, consumedPermit, cause));
        }
    }
}

const createError = (endpoint: Endpoint, reason: string): SchedulerError =>
    SchedulerError.create("EndpointFailed", { endpoint: endpoint.name, reason });

const createFailure = (
    endpoint: Endpoint,
    consumedPermit: ConsumedPermit,
    cause: unknown,
): DispatchFailure => {
    const reason = describeCause(cause);
    return isConnectFailure(cause)
        ? {
            kind: "not-sent",
            permit: consumedPermit.restore("no-connection"),
            error: SchedulerError.create("EndpointUnreachable", { endpoint: endpoint.name, reason }),
        }
        : { kind: "maybe-sent", consumedPermit, error: createError(endpoint, reason) };
};

/** Reads a whole body as text; undefined when the account has no room for it, and the rest of it is not read. */
const readText = async (
    body: Readable,
    account: ByteAccount | undefined,
): Promise<string | undefined> => {
    const bytes = CompactBytes.create(SegmentPool.create(0));
    for await (const chunk of body as AsyncIterable<Buffer>) {
        const growth = bytes.computeGrowth(chunk.length);
        if (growth > 0 && account?.tryAdd(growth * TEXT_COPIES) === false) {
            // Leaving the loop destroys the body.
            return undefined;
        }
        bytes.push(chunk);
    }
    return bytes.take().toString();
};

const openStream = (response: Dispatcher.ResponseData): EngineStream => {
    const body = response.body;
    body.on("error", () => undefined); // Reading the events reports the error.
    return {
        requestId: String(response.headers[REQUEST_ID_HEADER] ?? ""),
        events: readEvents(body),
        close: () => body.destroy(),
    };
};

async function* readEvents(body: Readable): AsyncGenerator<EngineEvent, void, undefined> {
    const parser = new EventSourceParserStream();
    const text = Readable.toWeb(body) as ReadableStream<Uint8Array>;
    const events = text.pipeThrough(new TextDecoderStream()).pipeThrough(parser);
    for await (const { id, data } of events) {
        yield { sequence: Number(id), data };
    }
}
