/** HTTP server of a simulated plain service. */
import fastify, { type FastifyInstance } from "fastify";
import { SystemTimerService } from "wigeonpulley";
import { SimulatedService } from "./simulated-service.js";

/** Creates the server of one service. `GET /runs` shows the executions by idempotency key. */
export const createServiceServer = (name: string): FastifyInstance => {
    const service = SimulatedService.create(SystemTimerService.create(), name);
    const app = fastify({ forceCloseConnections: true });
    app.get("/v1/report", () => ({ serves: name, version: "v1", running: 0, waiting: 0 }));
    app.get("/runs", () => Object.fromEntries(service.runsByKey));
    app.all("/*", async (request, reply) => {
        const key = request.headers["idempotency-key"];
        const response = await service.run(
            String(request.headers["x-request-id"] ?? ""),
            typeof key === "string" ? key : undefined,
            request.url,
        );
        return reply.status(response.status).type(response.contentType).send(response.body);
    });
    return app;
};
