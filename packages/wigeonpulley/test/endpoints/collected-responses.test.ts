/** Responses of plain services, which are collected before they are sent to a caller, over real connections. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, onTestFinished, test } from "vitest";
import {
    ByteBudget,
    DispatchPermit,
    type Endpoint,
    HttpEndpointClient,
    VirtualTimerService,
} from "wigeonpulley";

const RESPONSE_BYTES = 16_000_000;

/** Sends a request to a service with a long response, charged to a budget. */
const dispatchTo = async (limitBytes: number) => {
    let closedResponses = 0;
    const server = createServer((request, response) => {
        response.once("close", () => {
            closedResponses += response.writableFinished ? 0 : 1;
        });
        response.writeHead(200, { "content-type": "text/plain" });
        const write = (rest: number): void => {
            if (rest === 0) {
                response.end();
            }
            else {
                response.write("x".repeat(10_000), () => write(rest - 10_000));
            }
        };
        write(RESPONSE_BYTES);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    onTestFinished(() => {
        server.closeAllConnections();
        server.close();
    });
    const budget = ByteBudget.create({ timers: VirtualTimerService.create(), limitBytes });
    const account = budget.open("requests");
    const client = HttpEndpointClient.create({
        connectTimeoutMs: 1_000,
        maxIdleMs: 100,
        firstByteTimeoutMs: 1_000,
    });
    const { port } = server.address() as AddressInfo;
    const result = await client.dispatchToService(
        { name: "desk-1", url: `http://127.0.0.1:${port}` } as Endpoint,
        DispatchPermit.create("r-1"),
        {
            id: "r-1",
            method: "GET",
            path: "/long",
            contentType: "text/plain",
            body: "",
            idempotencyKey: undefined,
            account,
        },
        new AbortController().signal,
    );
    return { result, budget, account, countBroken: () => closedResponses };
};

test("a response is charged until its request ends", async () => {
    const { result, budget, account } = await dispatchTo(64_000_000);
    expect(result.unwrap().body.length).toBe(RESPONSE_BYTES);
    expect(budget.totalBytes).toBeGreaterThanOrEqual(2 * RESPONSE_BYTES);
    account.close();
    expect(budget.totalBytes).toBe(0);
});

// Guards against GONE: responses were collected whatever their length; and MIXED: a part of one is no response.
test("a response without room is not collected, and its request may have run", async () => {
    const { result, budget, countBroken } = await dispatchTo(4_000_000);
    const failure = result.unwrapErr();
    expect(failure.kind).toBe("maybe-sent");
    expect(failure.error).toMatchObject({ name: "EndpointFailed", retryAfterMs: undefined });
    expect(failure.error.entry.notRun).toBe(false);
    expect(budget.totalBytes).toBeLessThanOrEqual(4_000_000);
    await expect.poll(countBroken).toBe(1);
});
