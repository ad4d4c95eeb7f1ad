import { expect, test } from "vitest";
import { BrittleServers } from "../fixtures/brittle-servers.js";
import type { FleetRequest } from "../fixtures/routed-fleet.js";

/** Time after which the bound on failures holds, in milliseconds. */
const CONTACT_MS = 4_000;
const LOAD_MS = 20_000;
const STEP_MS = 20;
/** Time after which every request has ended, in milliseconds. */
const DRAIN_MS = 10_000;
const SERVER_COUNT = 3;
const SLOTS = 6;

/**
 * Sends requests to the VMs in turn; at a load factor of 1 as many as the servers can take. Returns the number of those that
 * were answered.
 */
const sendLoad = async ({ fleet }: BrittleServers, loadFactor: number): Promise<number> => {
    const requestsPerStep = SERVER_COUNT * SLOTS / 100 * STEP_MS * loadFactor;
    const requests: FleetRequest[] = [];
    let due = 0;
    for (let elapsedMs = 0; elapsedMs < LOAD_MS; elapsedMs += STEP_MS) {
        for (due += requestsPerStep; due >= 1; due -= 1) {
            const vm = fleet.vmNames[requests.length % fleet.vmNames.length] ?? "";
            requests.push(fleet.sendPlain(vm, { path: `/stock/${requests.length}`, body: "", kind: "once" }));
        }
        await fleet.timers.advance(STEP_MS);
    }
    await fleet.timers.advance(DRAIN_MS);
    const summaries = await Promise.all(requests.map(({ summary }) => summary));
    return summaries.filter(({ outcome }) => outcome === "answered").length;
};

// Guards against LIMIT: VMs sent brittle servers more than they had room for, until these failed for some seconds.
test.each([3, 7, 20])(
    "brittle servers don't fail under twice the load that they take, on %d VMs",
    async vmCount => {
        const servers = await BrittleServers.create(vmCount, SERVER_COUNT);
        const answeredWhenRobust = await sendLoad(servers, 2);
        servers.rejectionsPerS = 5;
        const startedAt = servers.fleet.timers.now();
        const answered = await sendLoad(servers, 2);
        expect(servers.countFalls(startedAt + CONTACT_MS)).toBeLessThanOrEqual(2 + SERVER_COUNT / 10);
        expect(answered).toBeGreaterThan(answeredWhenRobust / 2);
    },
);

test("servers that are no longer brittle get as many requests as before", async () => {
    const servers = await BrittleServers.create(7, SERVER_COUNT);
    const answeredBefore = await sendLoad(servers, 0.9);
    servers.rejectionsPerS = 5;
    await sendLoad(servers, 0.9);
    servers.rejectionsPerS = undefined;
    await sendLoad(servers, 0.5);
    expect(await sendLoad(servers, 0.9)).toBeGreaterThan(0.95 * answeredBefore);
});
