/** The client of the platform's list of VMs, against a real HTTP server. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, onTestFinished, test } from "vitest";
import { HttpVmList, type VmListEntry } from "wigeonpulley";

const ENTRY: VmListEntry = {
    name: "vm-1",
    region: "south",
    dataCentre: "south-1",
    peerUrl: "http://127.0.0.1:1",
    state: "live",
};

/** Starts a platform that gives the same response to each call, and returns a client of it. */
const createVmList = async (status: number, body: string): Promise<HttpVmList> => {
    const server = createServer((request, response) => {
        request.resume();
        response.writeHead(status, { "content-type": "application/json" }).end(body);
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", () => resolve());
    });
    onTestFinished(() => {
        server.closeAllConnections();
        server.close();
    });
    return HttpVmList.create(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
};

test("a registration that the platform refuses fails", async () => {
    const registered = await (await createVmList(503, "{}")).register(ENTRY);
    expect(registered.isErr() && registered.error.message).toContain("status 503");
});

test("a registration that the platform accepts succeeds", async () => {
    expect((await (await createVmList(204, "")).register(ENTRY)).isOk()).toBe(true);
});

test("a list that comes with an error status is not used", async () => {
    const read = await (await createVmList(500, JSON.stringify({ vms: [], endpoints: [] }))).read();
    expect(read.isErr() && read.error.name).toBe("PeerUnavailable");
});
