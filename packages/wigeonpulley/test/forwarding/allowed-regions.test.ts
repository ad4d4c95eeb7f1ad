import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import {
    DataCentreRegions,
    PeerSelector,
    type RequestPeer,
    type RouteTable,
    SeededRandom,
    VirtualTimerService,
} from "wigeonpulley";
import {
    createForwarding,
    createRequestPeer,
    createSignedHead,
    createSignedResponse,
} from "../fixtures/forwarding-fixture.js";
import { UNIT_PROPERTY } from "../fixtures/properties.js";
import { createInstance } from "../fixtures/raw-endpoint.js";
import { createRouteInput, createRoutingConfiguration } from "../fixtures/routing-fixture.js";
import type { ScriptedStep } from "../fixtures/scripted-transport.js";

const LIMIT_MS = 30_000;
const REGIONS = { "north-1": "north", "south-1": "south", "south-2": "south" };
const INSTANCES = Object.keys(REGIONS).map((dataCentre, index) =>
    createInstance({ id: `i-${dataCentre}`, dataCentre, port: index + 1 })
);
const UNREACHABLE: readonly ScriptedStep[] = [{ kind: "fail", mayHaveRun: false }];

const createPeer = (name: string, dataCentre: string, region: string): RequestPeer =>
    createRequestPeer({ name, dataCentre, region });

/** Another version of the configuration, in which the route allows the given regions. */
const createTable = (version: number, allowedRegions: readonly string[]): RouteTable => ({
    configuration: createRoutingConfiguration({
        version,
        routes: [createRouteInput({ allowedRegions: [...allowedRegions] })],
    }),
} as RouteTable);

// Guards against a request whose body reaches a VM outside its regions, by the VM's announcement or by the settings.
propertyTest.prop([
    fc.array(
        fc.record({
            dataCentre: fc.constantFrom("north-1", "south-1", "south-2", "unlisted-1"),
            region: fc.constantFrom("north", "south"),
        }),
        { maxLength: 8 },
    ),
    fc.option(fc.uniqueArray(fc.constantFrom("north", "south", "west"), { maxLength: 3 }), {
        nil: undefined,
    }),
    fc.integer(),
], UNIT_PROPERTY)(
    "a request is passed on only to a VM in its regions, and to one if there is one",
    (places, allowed, seed) => {
        const peers = places.map(({ dataCentre, region }, index) =>
            createPeer(`vm-${index}`, dataCentre, region)
        );
        const regions = DataCentreRegions.create(REGIONS);
        const selector = PeerSelector.create({
            timers: VirtualTimerService.create(),
            random: SeededRandom.create(seed),
            region: "south",
            regions,
            listPeers: () => peers,
        });
        const usable = peers.filter(({ dataCentre, region }) =>
            allowed === undefined
            || (allowed.some(name => name === region)
                && allowed.some(name => name === regions.getRegion(dataCentre)))
        );
        const selected = selector.select({
            service: "stock",
            excludedIds: new Set(),
            allowedRegions: allowed === undefined ? undefined : new Set(allowed),
            configurationVersion: 1,
        });
        expect(selected === undefined).toBe(usable.length === 0);
        if (selected !== undefined) {
            expect(usable.map(({ name }) => `vm:${name}`)).toContain(selected.instance.id);
        }
    },
);

// Guards against retries that leave the regions after a failure, a refusal or a connection that can't be opened.
test.each<[string, readonly ScriptedStep[]]>([
    ["fails", createSignedResponse("fault", 500)],
    ["can't be reached", UNREACHABLE],
    ["refuses", [{ kind: "head", status: 503, headers: { "x-not-run": "1" }, afterMs: 5 }, { kind: "end" }]],
    ["is silent", [createSignedHead(1_500), { kind: "end" }]],
])("a request bound to a region whose instance %s is tried nowhere else", async (fault, steps) => {
    const { timers, transport, serve } = createForwarding({
        instances: INSTANCES,
        regions: REGIONS,
        script: () => steps,
    });
    for (let count = 0; count < 5; count += 1) {
        const { summary } = serve({ allowedRegions: ["south"], maxAttempts: 4 });
        await timers.runUntilSettled(summary, LIMIT_MS);
    }
    const used = new Set(transport.dispatches.map(({ instance }) => instance));
    expect([...used].toSorted()).toEqual(["i-south-1", "i-south-2"]);
});

test("a request that route and workspace bind to no common region is refused as not run", async () => {
    const { timers, transport, serve } = createForwarding({
        instances: INSTANCES,
        regions: REGIONS,
        script: () => createSignedResponse("served"),
    });
    const { summary, view } = serve({ allowedRegions: ["south"] }, {
        workspace: { name: "lushoto", keys: [], rank: 0, allowedRegions: ["north"], quota: undefined },
    });
    expect(await timers.runUntilSettled(summary, LIMIT_MS)).toMatchObject({
        status: 503,
        outcome: "RegionUnavailable",
        mayHaveRun: false,
        waitedMs: 0,
    });
    expect(view.headers.has("retry-after")).toBe(true);
    expect(transport.dispatches).toEqual([]);
});

// Guards against a VM that is cut off from the allowed region and hands the body to the next best VM.
test("a VM that is cut off from the allowed region passes the request on within it only", async () => {
    const { timers, transport, serve } = createForwarding({
        instances: INSTANCES,
        regions: REGIONS,
        peers: [createPeer("vm-2", "south-1", "south"), createPeer("vm-3", "north-1", "north")],
        script: ({ id }) => id === "i-north-1" ? UNREACHABLE : createSignedResponse("served"),
    });
    for (let count = 0; count < 6; count += 1) {
        await timers.runUntilSettled(serve({ allowedRegions: ["north"] }).summary, LIMIT_MS);
    }
    const used = new Set(transport.dispatches.map(({ instance }) => instance));
    expect([...used].toSorted()).toEqual(["i-north-1", "vm:vm-3"]);
    await timers.runUntilSettled(serve({}).summary, LIMIT_MS);
    expect(transport.dispatches.at(-1)?.instance).toMatch(/^i-south/);
});

// Guards against requests that wait for a region which a newer configuration no longer allows.
test("a new configuration binds a request that already waits", async () => {
    const activeConfiguration: { routeTable: RouteTable | undefined; } = { routeTable: createTable(1, []) };
    const instances = INSTANCES.filter(({ dataCentre }) => dataCentre !== "south-2").map(instance => ({
        ...instance,
        slots: 1,
    }));
    const { timers, transport, serve, directory } = createForwarding({
        instances: [],
        regions: REGIONS,
        activeConfiguration,
        script: () => createSignedResponse("served"),
    });
    const { summary } = serve({ allowedRegions: [] });
    await timers.advance(100);
    activeConfiguration.routeTable = createTable(2, ["north"]);
    directory.applyChanges(instances.map(instance => ({ id: instance.id, instance })));
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches.map(({ instance }) => instance)).toEqual(["i-north-1"]);
});

// Guards against a retry whose instance was reserved under the configuration before.
test("a new configuration binds the retry of a request that runs", async () => {
    const activeConfiguration: { routeTable: RouteTable | undefined; } = { routeTable: createTable(1, []) };
    const { timers, transport, serve } = createForwarding({
        instances: INSTANCES,
        regions: REGIONS,
        activeConfiguration,
        script: (instance, count) =>
            count === 1
                ? [{ kind: "head", status: 500, headers: {}, afterMs: 100 }, { kind: "end" }]
                : createSignedResponse("served"),
    });
    const { summary } = serve({ allowedRegions: [] });
    await timers.advance(50);
    expect(transport.dispatches.map(({ instance }) => instance)).toEqual(["i-south-1"]);
    activeConfiguration.routeTable = createTable(2, ["north"]);
    await timers.runUntilSettled(summary, LIMIT_MS);
    expect(transport.dispatches.map(({ instance }) => instance)).toEqual(["i-south-1", "i-north-1"]);
});
