/** Guards against invalid settings or configurations that pass the check, and against problems that it leaves out. */
import { expect, test } from "vitest";
import { checkConfiguration, checkSettings } from "wigeonpulley";
import { createEngineEndpoint, createTestConfiguration } from "../fixtures/test-configuration.js";

test("all problems of the settings are listed with their paths", () => {
    const checked = checkSettings({
        name: "",
        listen: { host: "example.org", port: 70_000 },
        platform: { log: "http://log.example.org", vmList: "http://127.0.0.1:1" },
        timing: { heartbeatMs: -1 },
        extra: true,
    });
    const message = checked.isErr() ? checked.error.message : "";
    for (
        const path of [
            "name",
            "region",
            "dataCentre",
            "listen.host",
            "listen.port",
            "platform.log",
            "signingKeys",
            "operatorKeyHash",
            "timing.heartbeatMs",
            "(document)",
        ]
    ) {
        expect(message).toContain(`${path}: `);
    }
});

test("a configuration with duplicate or undeclared names or a misplaced durable tier is refused", () => {
    const checked = checkConfiguration({
        ...createTestConfiguration(),
        tiers: [{ name: "answers", deadlineMs: 1_000 }, { name: "quotes", deadlineMs: 1_000, durable: true }],
        endpoints: [
            createEngineEndpoint("engine-1"),
            createEngineEndpoint("engine-1"),
            createEngineEndpoint("engine-2", { serves: "none" }),
        ],
    });
    const message = checked.isErr() ? checked.error.message : "";
    expect(message).toContain("tiers.1.durable: ");
    expect(message).toContain("endpoints.1.name: ");
    expect(message).toContain("endpoints.2.serves: ");
    expect(message).toContain("selectors.2.tier: ");
});
