/** HTTP server of a simulated engine: chat completions as server-sent events. */
import fastify, { type FastifyInstance, type FastifyReply } from "fastify";
import { Readable } from "node:stream";
import { parseChatBody, SystemTimerService } from "wigeonpulley";
import * as z from "zod";
import { type EngineOptions, type EngineRun, SimulatedEngine } from "./simulated-engine.js";

const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const DEFAULT_ANSWER_TOKENS = 64;

const versionOrderSchema = z.object({ fencingNumber: z.number().int(), version: z.string() });

const exportedRunSchema = z.object({
    work: z.object({
        id: z.string(),
        promptTokens: z.number(),
        answerTokens: z.number(),
        prefixBlocks: z.array(z.number()),
    }),
    events: z.array(z.object({ sequence: z.number(), data: z.string() })),
});

/** Creates the server of one engine. `GET /runs` shows how often each request was started. */
export const createEngineServer = (
    options: Pick<EngineOptions, "name" | "serves"> & Partial<EngineOptions>,
): FastifyInstance => {
    const engine = SimulatedEngine.create({ ...options, timers: SystemTimerService.create() });
    const app = fastify({ forceCloseConnections: true, bodyLimit: 10_000_000 });
    const sendEvents = (reply: FastifyReply, run: EngineRun, from: number): FastifyReply =>
        reply
            .type("text/event-stream")
            .header("x-request-id", run.work.id)
            .send(Readable.from(formatEvents(engine, run, from), { objectMode: false }));
    app.post("/v1/chat/completions", (request, reply) => {
        const body = parseChatBody(request.body);
        const id = String(request.headers["x-request-id"] ?? "");
        if (body.isErr() || id === "") {
            return reply.status(HTTP_BAD_REQUEST).send({});
        }
        const { promptTokens, maximumTokens, prefixBlocks } = body.value;
        const answerTokens = maximumTokens ?? DEFAULT_ANSWER_TOKENS;
        const run = engine.start({ id, promptTokens, answerTokens, prefixBlocks });
        return run === undefined ? reply.status(HTTP_CONFLICT).send({}) : sendEvents(reply, run, 0);
    });
    app.get<{ Params: { id: string; }; Querystring: { from?: string; }; }>(
        "/v1/requests/:id/events",
        (request, reply) => {
            const run = engine.runs.get(request.params.id);
            return run === undefined
                ? reply.status(HTTP_NOT_FOUND).send({})
                : sendEvents(reply, run, Number(request.query.from ?? 0));
        },
    );
    app.delete<{ Params: { id: string; }; }>("/v1/requests/:id", request => ({
        outcome: engine.cancel(request.params.id),
    }));
    app.put(
        "/v1/order",
        async (request, reply) =>
            await engine.applyOrder(versionOrderSchema.parse(request.body))
                ? {}
                : reply.status(HTTP_CONFLICT).send({}),
    );
    app.post<{ Params: { id: string; }; }>(
        "/v1/requests/:id/export",
        (request, reply) => engine.exportRun(request.params.id) ?? reply.status(HTTP_NOT_FOUND).send({}),
    );
    app.post("/v1/import", request => {
        engine.importRun(exportedRunSchema.parse(request.body));
        return {};
    });
    app.get("/v1/report", () => engine.createReport());
    app.get(
        "/runs",
        () => [...engine.runs.values()].map(({ work, starts, state }) => ({ id: work.id, starts, state })),
    );
    return app;
};

async function* formatEvents(engine: SimulatedEngine, run: EngineRun, from: number): AsyncGenerator<string> {
    for await (const { sequence, data } of engine.readEvents(run, from)) {
        yield `id: ${sequence}\ndata: ${data}\n\n`;
    }
}
