/** One chat completion and one order through complete VMs. */
import { createTokenText } from "@wigeonpulley/stand-ins";
import { expect, test } from "vitest";
import { END_OF_STREAM } from "wigeonpulley";
import {
    collectResponse,
    createChatRequest,
    createOrderRequest,
    serveRequest,
    TestSystem,
} from "../fixtures/test-system.js";

/** Joins the text of the events of a response. */
const joinText = (events: readonly { readonly data: string; }[]): string =>
    events.filter(({ data }) => data !== END_OF_STREAM)
        .map(({ data }) =>
            (JSON.parse(data) as { choices: { delta: { content: string; }; }[]; }).choices[0]?.delta.content
        )
        .join("");

test("a labelled request gets its complete response", async () => {
    const system = await TestSystem.create();
    const served = await serveRequest(system, "vm-1", createChatRequest({ kind: "quote", tokens: 20 }));
    const collected = collectResponse(served.unwrap());
    await system.timers.advance(5_000);
    const expected = Array.from(
        { length: 20 },
        (unused, index) => createTokenText(collected.requestId, index),
    ).join("");
    expect(collected.isEnded).toBe(true);
    expect(joinText(collected.events)).toBe(expected);
    system.close();
});

test("an order runs once and its replay gets the same response", async () => {
    const system = await TestSystem.create();
    const first = await serveRequest(system, "vm-1", createOrderRequest("order-1"));
    await system.timers.advance(1_000);
    const replay = await serveRequest(system, "vm-2", createOrderRequest("order-1"));
    expect(first.unwrap()).toMatchObject({ kind: "whole", status: 200 });
    expect(replay.unwrap()).toMatchObject({ body: (first.unwrap() as { body: string; }).body });
    expect(system.getService("orders-1").runsByKey.get("order-1")).toBe(1);
    system.close();
});
