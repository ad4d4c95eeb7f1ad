import { expect, test } from "vitest";
import { listTraits, RequestLifetime, type RoutedRequest, VirtualTimerService } from "wigeonpulley";
import { createRequestMetadata } from "../fixtures/forwarding-fixture.js";
import { createRoutingConfiguration } from "../fixtures/routing-fixture.js";

const createRequest = (
    blocks: readonly string[],
    { workspaceName = "lushoto", ...fields }: Partial<RoutedRequest> & { readonly workspaceName?: string; } =
        {},
): RoutedRequest => {
    const { routes: [route], workspaces } = createRoutingConfiguration({
        workspaces: [{ name: workspaceName, keys: ["key-1"] }],
    });
    if (route === undefined) {
        throw new RangeError("the configuration has a route");
    }
    return {
        metadata: createRequestMetadata({ promptBlocks: blocks.map(id => ({ id, tokens: 10 })) }),
        method: "POST",
        path: "/stock/1?page=2",
        rawHeaders: [],
        body: Buffer.from("body"),
        route,
        service: "order-desk",
        tokensPerEvent: undefined,
        workspace: workspaces?.[0],
        arrivedAt: 0,
        earlierAttemptsMs: 0,
        configurationVersion: 1,
        lifetime: RequestLifetime.create(VirtualTimerService.create(), 1_000),
        peer: undefined,
        ...fields,
    };
};

test("the traits of a request are its prompt blocks but the last one, and its fingerprint", () => {
    const [fingerprint] = listTraits(createRequest([]));
    expect(fingerprint).toMatch(/^request:[\w-]{16}$/);
    expect(listTraits(createRequest(["own"]))).toEqual([fingerprint]);
    expect(listTraits(createRequest(["system", "subject", "own"]))).toEqual([
        "system",
        "subject",
        fingerprint,
    ]);
});

test("a request that comes again has the same fingerprint, whatever its id", () => {
    const again = createRequest([], { metadata: createRequestMetadata({ attemptId: "r-2" }) });
    expect(listTraits(again)).toEqual(listTraits(createRequest([])));
});

test.each<[string, Parameters<typeof createRequest>[1]]>([
    ["method", { method: "PUT" }],
    ["path", { path: "/stock/2?page=2" }],
    ["query", { path: "/stock/1?page=3" }],
    ["body", { body: Buffer.from("bodies") }],
    ["body that is missing", { body: undefined }],
    ["workspace", { workspaceName: "korogwe" }],
    ["workspace that is missing", { workspace: undefined }],
])("a request with another %s has another fingerprint", (unused, fields) => {
    expect(listTraits(createRequest([], fields))).not.toEqual(listTraits(createRequest([])));
});
