/** HTTP server of the in-memory platform, for tests with real processes. */
import fastify, { type FastifyInstance } from "fastify";
import { SystemTimerService, type VmListEntry, vmListEntrySchema } from "wigeonpulley";
import * as z from "zod";
import { type LogFault, SimulatedPlatform } from "./simulated-platform.js";
import { SimulatedWeightStore } from "./simulated-weight-store.js";

const HTTP_UNAVAILABLE = 503;

/** Rate of the weight store: one gigabyte per second. */
const WEIGHT_BYTES_PER_MS = 1_000_000;

const appendBodySchema = z.object({ values: z.array(z.unknown()) });
const faultsSchema = z.object({
    isLogOut: z.boolean().optional(),
    slownessMs: z.number().optional(),
    appendFault: z.enum(["none", "refused", "lost-request", "lost-answer", "lands-late"]).optional(),
});

/** Creates a server with an empty platform. `PUT /faults` switches its faults on and off. */
export const createPlatformServer = (): FastifyInstance => {
    const timers = SystemTimerService.create();
    const platform = SimulatedPlatform.create(timers);
    const weights = SimulatedWeightStore.create(timers, WEIGHT_BYTES_PER_MS);
    const app = fastify({ forceCloseConnections: true });
    app.post<{ Params: { stream: string; }; }>("/log/streams/:stream", async (request, reply) => {
        const { values } = appendBodySchema.parse(request.body);
        const appended = await platform.append(request.params.stream, values);
        if (appended.isOk()) {
            return { offset: appended.value };
        }
        if (appended.error.name === "LogAnswerUnknown") {
            reply.raw.destroy(); // The client must see a lost connection, not an error response.
            return reply.hijack();
        }
        return reply.status(HTTP_UNAVAILABLE).send({});
    });
    app.get<{ Params: { stream: string; }; Querystring: { from?: string; }; }>(
        "/log/streams/:stream",
        async (request, reply) => {
            const page = await platform.read(request.params.stream, Number(request.query.from ?? 0));
            return page.isOk() ? page.value : reply.status(HTTP_UNAVAILABLE).send({});
        },
    );
    app.get<{ Params: { model: string; }; Querystring: { bytes?: string; }; }>(
        "/weights/:model",
        async request => {
            await weights.load(Number(request.query.bytes ?? 0));
            return { model: request.params.model };
        },
    );
    app.get("/vms", () => platform.getVmListSnapshot());
    app.put<{ Params: { name: string; }; }>("/vms/:name", request => {
        const entry: VmListEntry = vmListEntrySchema.parse(request.body);
        platform.registerVm(entry);
        return {};
    });
    app.delete<{ Params: { name: string; }; }>("/vms/:name", request => {
        platform.removeVm(request.params.name);
        return {};
    });
    app.put<{ Params: { name: string; }; }>("/endpoints/:name", request => {
        const { state } = z.object({ state: z.enum(["live", "leaving"]) }).parse(request.body);
        platform.setEndpointState(request.params.name, state);
        return {};
    });
    app.put("/faults", request => {
        const faults = faultsSchema.parse(request.body);
        platform.isLogUnavailable = faults.isLogOut ?? platform.isLogUnavailable;
        platform.extraLatencyMs = faults.slownessMs ?? platform.extraLatencyMs;
        const fault: LogFault = faults.appendFault ?? "none";
        platform.chooseAppendFault = () => fault;
        return {};
    });
    return app;
};
