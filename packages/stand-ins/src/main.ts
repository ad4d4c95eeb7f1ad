/** Command that starts one stand-in and prints its port as JSON when it listens. */
import { cac } from "cac";
import type { FastifyInstance } from "fastify";
import type { AddressInfo } from "node:net";
import { createEngineServer } from "./engine/engine-server.js";
import { createPlatformServer } from "./platform/platform-server.js";
import { createServiceServer } from "./service/service-server.js";

const LOOPBACK = "127.0.0.1";

const run = async (app: FastifyInstance, port: number): Promise<void> => {
    await app.listen({ host: LOOPBACK, port });
    const address = app.server.address() as AddressInfo;
    process.stdout.write(`${JSON.stringify({ port: address.port })}\n`);
    process.on("SIGTERM", () => void app.close().then(() => process.exit()));
};

interface StandInOptions {
    readonly port: number;
    readonly name: string;
    readonly serves: string;
    readonly stepMs: number;
}

const cli = cac("stand-in");
const defaults = { default: 0 };
cli.command("platform").option("--port <port>", "Port", defaults)
    .action(({ port }: StandInOptions) => run(createPlatformServer(), port));
cli.command("engine").option("--port <port>", "Port", defaults).option("--name <name>", "Name")
    .option("--serves <model>", "Model").option(
        "--step-ms <ms>",
        "Duration of a step with an empty batch, in milliseconds",
        { default: 20 },
    )
    .action(({ port, name, serves, stepMs }: StandInOptions) =>
        run(createEngineServer({ name, serves, baseStepMs: stepMs }), port)
    );
cli.command("service").option("--port <port>", "Port", defaults).option("--name <name>", "Name")
    .action(({ port, name }: StandInOptions) => run(createServiceServer(name), port));
cli.parse();
