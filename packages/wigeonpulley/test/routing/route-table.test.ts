import * as Option from "fp-ts/lib/Option.js";
import { expect, test } from "vitest";
import { RouteTable, selectTarget } from "wigeonpulley";
import { createRouteInput, createRoutingConfiguration } from "../fixtures/routing-fixture.js";

const findName = (table: RouteTable, host: string, path: string): string | undefined =>
    Option.toUndefined(table.findRoute(host, path))?.name;

test("the route of the host with the longest prefix is found", () => {
    const table = RouteTable.create(createRoutingConfiguration({
        routes: [
            createRouteInput({ name: "short", pathPrefix: "/a/" }),
            createRouteInput({ name: "long", pathPrefix: "/a/b/" }),
            createRouteInput({ name: "other-host", host: "leaf.example", pathPrefix: "/a/b/c/" }),
        ],
    }));
    expect(findName(table, "wax.example", "/a/b/c/d")).toBe("long");
    expect(findName(table, "WAX.example:8080", "/a/x")).toBe("short");
    expect(findName(table, "leaf.example", "/a/b/c/d")).toBe("other-host");
    expect(findName(table, "wax.example", "/ab")).toBeUndefined();
    expect(findName(table, "unknown.example", "/a/b/")).toBeUndefined();
});

test("a key belongs to one workspace, and public routes require none", () => {
    const table = RouteTable.create(createRoutingConfiguration({
        routes: [
            createRouteInput(),
            createRouteInput({ name: "open", pathPrefix: "/open/", isPublic: true }),
        ],
        workspaces: [{ name: "lushoto", keys: ["key-1", "key-2"] }, { name: "arusha", keys: ["key-3"] }],
    }));
    expect(Option.toUndefined(table.findWorkspace("key-2"))?.name).toBe("lushoto");
    expect(Option.isNone(table.findWorkspace("key-9"))).toBe(true);
    expect(table.configuration.routes.map(route => table.isKeyRequired(route))).toEqual([true, false]);
});

test("a configuration without workspaces requires no key", () => {
    const table = RouteTable.create(createRoutingConfiguration({ workspaces: undefined }));
    expect(table.configuration.routes.map(route => table.isKeyRequired(route))).toEqual([false]);
});

test("targets are selected by weight, and never with weight zero", () => {
    const [route] = createRoutingConfiguration({
        routes: [createRouteInput({
            targets: [
                { service: "none", weight: 0 },
                { service: "most", weight: 90 },
                { service: "few", weight: 10 },
            ],
        })],
    }).routes;
    if (route === undefined) {
        throw new RangeError("the configuration has a route");
    }
    const picks = Array.from({ length: 100 }, (unused, index) => selectTarget(route, index / 100));
    expect(picks.filter(pick => pick === "most")).toHaveLength(90);
    expect(picks.filter(pick => pick === "few")).toHaveLength(10);
});
