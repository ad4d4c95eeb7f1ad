/** HTTP interface for callers and operators. Parses requests and writes responses; the gateway makes all decisions. */
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from "fastify";
import * as Option from "fp-ts/lib/Option.js";
import { timingSafeEqual } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Readable } from "node:stream";
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import { type ByteAccount, type ClientResources, createMemoryError } from "../clients/index.js";
import { type Caller, findCaller, hashKey, type Settings } from "../config/index.js";
import { computeRetryAfterSeconds, createProblemBody, SchedulerError } from "../errors/index.js";
import { listOpenResponses } from "../http-connections/index.js";
import type { MetricsRegistry } from "../metrics/index.js";
import { type CallerRequest, parseChatBody, parseHeaders } from "./caller-request.js";
import { mergeChunks } from "./chat-completion.js";
import type { Gateway, GatewayResponse, StreamedResponse } from "./gateway.js";

/** Implementation of the operators' routes. */
export interface OperatorHandlers {
    readonly getStatus: () => unknown;
    /** Starts a graceful shutdown. */
    readonly drain: () => void;
}

/** Dependencies and settings of the server. */
export interface HttpServerOptions {
    readonly settings: Settings;
    readonly gateway: Gateway;
    readonly metrics: MetricsRegistry;
    readonly clients: ClientResources;
    /** Callers by the hash of their key. */
    readonly getCallers: () => ReadonlyMap<string, Caller>;
    readonly isReady: () => boolean;
    readonly operators: OperatorHandlers;
}

/** Interval at which Node.js checks connections for requests that exceed their timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;
/** Unanswered requests on one connection above which it is closed; ordinary callers send far fewer without waiting. */
const MAX_UNANSWERED = 256;
/** Memory planned for a request beside its body, in bytes. */
const REQUEST_BYTES = 8_192;
/** Memory planned for an event of a collected response beside its data, in bytes. */
const EVENT_BYTES = 64;
/** Copies of a body that are held while its request is served: its text, and its parsed fields or what goes to the endpoint. */
const BODY_COPIES = 2;
const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_UNAVAILABLE = 503;
const BEARER_PREFIX = "Bearer ";
const EVENT_STREAM = "text/event-stream";
const PROBLEM = "application/problem+json";

const streamingBodySchema = z.looseObject({ stream: z.literal(true) });

/** HTTP server of one VM for callers and operators. */
export class HttpServer {
    private readonly accounts = new WeakMap<IncomingMessage, ByteAccount>();
    /** What ends when a request has been served, also after its caller has left. */
    private readonly serving = new WeakMap<IncomingMessage, Promise<unknown>>();

    private constructor(private readonly app: FastifyInstance, private readonly options: HttpServerOptions) {}

    /** Creates a server that does not listen yet. */
    static create(options: HttpServerOptions): HttpServer {
        const { limits } = options.settings;
        const app = fastify({
            bodyLimit: limits.bodyBytes,
            requestTimeout: limits.headerTimeoutMs,
            http: {
                headersTimeout: limits.headerTimeoutMs,
                connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
            },
            forceCloseConnections: "idle",
        });
        const server = new HttpServer(app, options);
        server.watchClients();
        server.addCallerRoutes();
        server.addOperatorRoutes();
        app.setErrorHandler((cause, request, reply) => {
            const isClientError = !(cause instanceof SchedulerError) && cause instanceof Error
                && "statusCode" in cause
                && Number(cause.statusCode) < 500;
            const problems = cause instanceof Error ? cause.message : String(cause);
            const error = isClientError
                ? SchedulerError.create("InvalidRequest", { problems })
                : SchedulerError.fromUnknown(cause);
            return sendProblem(reply, error);
        });
        return server;
    }

    /** Starts listening and returns the port in use. */
    async listen(): Promise<number> {
        const { host, port } = this.options.settings.listen;
        const url = await this.app.listen({ host, port });
        return Number(new URL(url).port);
    }

    /** Closes idle connections at once and the others when their responses are complete. */
    close(): Promise<void> {
        return this.app.close();
    }

    private watchClients(): void {
        const { connections, uploads, requestConnections } = this.options.clients;
        connections.watchPipelined(this.app.server, requestConnections, MAX_UNANSWERED);
        this.app.addHook("onResponse", (request, reply, done) => {
            uploads.closeUnlessEnded(request.raw);
            done();
        });
    }

    /** Returns the account of a request, which is closed when its response is closed and the request has been served. */
    private getOrOpenAccount(request: IncomingMessage, response: ServerResponse): ByteAccount {
        const known = this.accounts.get(request);
        if (known !== undefined) {
            return known;
        }
        const account = this.options.clients.budget.open("requests");
        this.accounts.set(request, account);
        const close = (): void => account.close();
        if (response.closed) {
            close();
        }
        response.once("close", () => void Promise.resolve(this.serving.get(request)).then(close, close));
        return account;
    }

    /** Reads the body of a known caller as text. What it holds is released when the response ends. */
    private async readText(request: FastifyRequest): Promise<string> {
        const { clients, settings, getCallers } = this.options;
        const { raw } = request;
        if (Option.isNone(findCaller(getCallers(), parseBearer(request)))) {
            throw SchedulerError.create("UnknownCaller", {});
        }
        const response = listOpenResponses(raw.socket).find(({ req }) => req === raw);
        if (response === undefined || response.closed) {
            throw SchedulerError.create("RequestCancelled", {});
        }
        const account = this.getOrOpenAccount(raw, response);
        if (!account.tryAdd(REQUEST_BYTES)) {
            clients.recorder.record("memory");
            throw createMemoryError();
        }
        const body = await clients.uploads.read(raw, account, settings.limits.bodyBytes);
        if (body.isErr()) {
            throw body.error.name === "BodyTooLong"
                ? SchedulerError.create("InvalidRequest", { problems: body.error.message })
                : body.error;
        }
        const bytes = body.value ?? Buffer.alloc(0);
        account.set(REQUEST_BYTES + bytes.length * BODY_COPIES);
        return bytes.toString();
    }

    private addCallerRoutes(): void {
        const { gateway } = this.options;
        const parseJson = this.app.getDefaultJsonParser("error", "error");
        this.app.removeAllContentTypeParsers();
        this.app.addContentTypeParser("application/json", (request, payload, done) => {
            this.readText(request).then(
                text => void parseJson(request, text, done),
                (cause: Error) => done(cause),
            );
        });
        this.app.addContentTypeParser("text/plain", (request: FastifyRequest) => this.readText(request));
        this.app.post(
            "/v1/chat/completions",
            (request, reply) =>
                this.handle(
                    request,
                    reply,
                    caller =>
                        parseHeaders(request.headers).andThen(headers =>
                            parseChatBody(request.body).map(chat => ({ ...headers, ...chat }))
                        ).map(fields =>
                            gateway.serve(caller, {
                                ...fields,
                                kind: "engine",
                                contentType: "application/json",
                                signal: createCloseSignal(reply),
                                account: this.getOrOpenAccount(request.raw, reply.raw),
                            })
                        ),
                    isStreamingBody(request.body),
                ),
        );
        this.app.get(
            "/v1/answers",
            (request, reply) =>
                this.handle(
                    request,
                    reply,
                    caller => Ok(gateway.resume(caller, String(request.headers["last-event-id"] ?? ""))),
                    true,
                ),
        );
        this.addServiceRoutes();
    }

    private addServiceRoutes(): void {
        const { gateway } = this.options;
        void this.app.register((scope, options, done) => {
            scope.removeAllContentTypeParsers();
            scope.addContentTypeParser("*", (request: FastifyRequest) => this.readText(request));
            scope.all<{ Params: { service: string; "*": string; }; }>(
                "/services/:service/*",
                (request, reply) =>
                    this.handle(
                        request,
                        reply,
                        caller =>
                            parseHeaders(request.headers).map(headers =>
                                gateway.serve(caller, {
                                    ...createServiceRequest(request, reply, headers),
                                    account: this.getOrOpenAccount(request.raw, reply.raw),
                                })
                            ),
                        false,
                    ),
            );
            done();
        });
    }

    private addOperatorRoutes(): void {
        const { metrics, operators, isReady } = this.options;
        this.app.get("/health/live", () => ({ status: "live" }));
        this.app.get(
            "/health/ready",
            (request, reply) =>
                reply.status(isReady() ? HTTP_OK : HTTP_UNAVAILABLE).send({
                    status: isReady() ? "ready" : "not ready",
                }),
        );
        this.app.get("/metrics", async (request, reply) => {
            reply.type(metrics.contentType);
            return metrics.formatText();
        });
        this.app.get("/operator/status", (request, reply) =>
            this.isOperator(request)
                ? reply.send(operators.getStatus())
                : sendProblem(reply, SchedulerError.create("NotPermitted", {})));
        this.app.post("/operator/drain", (request, reply) => {
            if (!this.isOperator(request)) {
                return sendProblem(reply, SchedulerError.create("NotPermitted", {}));
            }
            operators.drain();
            return reply.status(HTTP_ACCEPTED).send({ status: "draining" });
        });
    }

    /** Authenticates the caller, runs the request and writes the response. */
    private async handle(
        request: FastifyRequest,
        reply: FastifyReply,
        run: (caller: Caller) => Result<Promise<Result<GatewayResponse, SchedulerError>>, SchedulerError>,
        isStreaming: boolean,
    ): Promise<FastifyReply> {
        const caller = findCaller(this.options.getCallers(), parseBearer(request));
        if (Option.isNone(caller)) {
            return sendProblem(reply, SchedulerError.create("UnknownCaller", {}));
        }
        const started = run(caller.value);
        if (started.isOk()) {
            this.serving.set(request.raw, started.value);
        }
        const response = started.isOk() ? await started.value : Err(started.error);
        if (response.isErr()) {
            return sendProblem(reply, response.error);
        }
        reply.header("x-request-id", response.value.requestId);
        if (response.value.kind === "whole") {
            return reply.status(response.value.status).type(response.value.contentType).send(
                response.value.body,
            );
        }
        return isStreaming
            ? sendStream(reply, response.value)
            : sendCompletion(reply, response.value, this.getOrOpenAccount(request.raw, reply.raw));
    }

    private isOperator(request: FastifyRequest): boolean {
        const presented = Buffer.from(hashKey(parseBearer(request)));
        return timingSafeEqual(presented, Buffer.from(this.options.settings.operatorKeyHash));
    }
}

const parseBearer = (request: FastifyRequest): string => {
    const header = request.headers.authorization ?? "";
    return header.startsWith(BEARER_PREFIX) ? header.slice(BEARER_PREFIX.length) : "";
};

const isStreamingBody = (body: unknown): boolean => streamingBodySchema.safeParse(body).success;

const createServiceRequest = (
    request: FastifyRequest<{ Params: { service: string; "*": string; }; }>,
    reply: FastifyReply,
    headers: Pick<CallerRequest, "labels" | "deadlineMs" | "idempotencyKey">,
): CallerRequest => {
    const { search } = new URL(request.url, "http://service");
    return {
        ...headers,
        kind: "service",
        service: request.params.service,
        method: request.method,
        path: `/${request.params["*"]}${search}`,
        contentType: request.headers["content-type"] ?? "application/octet-stream",
        body: typeof request.body === "string" ? request.body : "",
        signal: createCloseSignal(reply),
    };
};

/** Creates a signal that aborts when the caller disconnects before the response is complete. */
const createCloseSignal = (reply: FastifyReply): AbortSignal => {
    const abort = new AbortController();
    reply.raw.once("close", () => {
        if (!reply.raw.writableFinished) {
            abort.abort();
        }
    });
    return abort.signal;
};

const sendProblem = (reply: FastifyReply, error: SchedulerError): FastifyReply => {
    if (error.retryAfterMs !== undefined) {
        reply.header("retry-after", computeRetryAfterSeconds(error.retryAfterMs));
    }
    return reply.status(error.entry.status).type(PROBLEM).send(JSON.stringify(createProblemBody(error)));
};

const sendStream = (reply: FastifyReply, stream: StreamedResponse): FastifyReply =>
    reply
        .type(EVENT_STREAM)
        .header("cache-control", "no-store")
        .send(Readable.from(formatEvents(stream), { objectMode: false }));

async function* formatEvents(
    { response, resumeToken }: StreamedResponse,
): AsyncGenerator<string, void, undefined> {
    for await (const item of response.events) {
        yield item.isOk()
            ? `id: ${item.value.sequence}.${resumeToken}\ndata: ${item.value.data}\n\n`
            : `event: error\ndata: ${JSON.stringify(createProblemBody(item.error))}\n\n`;
    }
}

const sendCompletion = async (
    reply: FastifyReply,
    { response }: StreamedResponse,
    account: ByteAccount,
): Promise<FastifyReply> => {
    const events: string[] = [];
    for await (const item of response.events) {
        if (item.isErr()) {
            return sendProblem(reply, item.error);
        }
        if (!account.tryAdd(EVENT_BYTES + item.value.data.length * BODY_COPIES)) {
            const reason = "the response has no room in memory";
            return sendProblem(reply, SchedulerError.create("EndpointFailed", { endpoint: "", reason }));
        }
        events.push(item.value.data);
    }
    return reply.type("application/json").send(mergeChunks(events));
};
