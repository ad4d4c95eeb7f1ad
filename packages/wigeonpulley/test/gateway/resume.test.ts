/** Guards against lost or duplicate events when a stream is resumed through another VM, and against forged tokens. */
import { fc, test } from "@fast-check/vitest";
import * as Option from "fp-ts/lib/Option.js";
import { expect, test as plainTest } from "vitest";
import { hashKey, type ResumeTokenPayload, ResumeTokenSigner } from "wigeonpulley";
import { expectCompleteResponse, expectDispatchedAtMostOnce } from "../fixtures/invariants.js";
import { SYSTEM_PROPERTY, UNIT_PROPERTY } from "../fixtures/properties.js";
import { createTestConfiguration, TEST_CALLER_KEY } from "../fixtures/test-configuration.js";
import {
    collectResponse,
    createChatRequest,
    getTestCaller,
    serveRequest,
    TestSystem,
} from "../fixtures/test-system.js";

const TOKENS = 30;
const RUN_MS = 30_000;
const OLD_KEY = { id: "a", secret: "old-signing-secret-of-32-characters" };
const NEW_KEY = { id: "b", secret: "new-signing-secret-of-32-characters" };
const payload: ResumeTokenPayload = {
    id: "request-1",
    endpoint: "engine-1",
    caller: "cooperative",
    tier: 1,
    expiresAt: 1_000,
};

test.prop([fc.nat({ max: 1_500 }), fc.integer({ min: 2, max: 3 })], { ...SYSTEM_PROPERTY, numRuns: 20 })(
    "a caller whose VM is killed at any time gets the complete response through another VM",
    async (killAfterMs, otherVm) => {
        const system = await TestSystem.create();
        const served = await serveRequest(system, "vm-1", createChatRequest({ tokens: TOKENS }));
        const collected = collectResponse(served.unwrap());
        await system.timers.advance(killAfterMs);
        const received = [...collected.events];
        system.killVm("vm-1");
        const position = `${received.at(-1)?.sequence ?? 0}.${collected.resumeToken}`;
        if (received.length <= TOKENS) {
            const resumed = await system.timers.runUntilSettled(
                system.getVm(`vm-${otherVm}`).vm.gateway.resume(getTestCaller(system), position),
                RUN_MS,
            );
            const rest = collectResponse(resumed.unwrap());
            await system.timers.advance(RUN_MS);
            received.push(...rest.events);
        }
        expectCompleteResponse({ ...collected, events: received }, TOKENS);
        expectDispatchedAtMostOnce(system);
        system.close();
    },
);

plainTest("an event identifier issued to another caller is refused", async () => {
    const callers = ["cooperative", "stranger"].map(name => ({
        name,
        workspace: name,
        keyHash: hashKey(name === "cooperative" ? TEST_CALLER_KEY : "stranger-key"),
    }));
    const system = await TestSystem.create({ configuration: createTestConfiguration({ callers }) });
    const served = await serveRequest(system, "vm-1", createChatRequest({ tokens: TOKENS }));
    const { resumeToken } = collectResponse(served.unwrap());
    const otherCaller = system.options.configuration.callers[1] ?? getTestCaller(system);
    const refused = await system.getVm("vm-2").vm.gateway.resume(otherCaller, `0.${resumeToken}`);
    expect(refused.isErr() && refused.error.name).toBe("ResumeTokenInvalid");
    system.close();
});

plainTest("a token signed with a rotated key stays valid while the key is listed", () => {
    const token = ResumeTokenSigner.create([OLD_KEY]).sign(payload);
    const rotated = ResumeTokenSigner.create([NEW_KEY, OLD_KEY]);
    expect(Option.isSome(rotated.verify(`3.${token}`, "cooperative", 0))).toBe(true);
    expect(rotated.sign(payload).startsWith("b.")).toBe(true);
    expect(Option.isNone(ResumeTokenSigner.create([NEW_KEY]).verify(`3.${token}`, "cooperative", 0))).toBe(
        true,
    );
});

plainTest("an expired token is refused", () => {
    const tokens = ResumeTokenSigner.create([OLD_KEY]);
    expect(Option.isNone(tokens.verify(`3.${tokens.sign(payload)}`, "cooperative", payload.expiresAt))).toBe(
        true,
    );
});

test.prop([fc.nat(), fc.integer({ min: 1, max: 127 })], UNIT_PROPERTY)(
    "a token with any changed character is refused",
    (offset, change) => {
        const tokens = ResumeTokenSigner.create([OLD_KEY]);
        const token = tokens.sign(payload);
        const index = offset % token.length;
        const changed = String.fromCharCode(token.charCodeAt(index) ^ change);
        const forged = token.slice(0, index) + changed + token.slice(index + 1);
        const verified = tokens.verify(`3.${forged}`, "cooperative", 0);
        expect(Option.isNone(verified)).toBe(true);
    },
);
