/** Registration of a VM in the platform's list, from which the other VMs learn of it. */
import { expect, test } from "vitest";
import {
    EventLogger,
    MembershipService,
    MemorySink,
    SeededRandom,
    StoreVmList,
    VirtualTimerService,
} from "wigeonpulley";
import { InMemoryKeyedStore } from "../fixtures/in-memory-keyed-store.js";
import { SilentTransport } from "../fixtures/silent-transport.js";

const createMembership = () => {
    const timers = VirtualTimerService.create();
    const store = InMemoryKeyedStore.create();
    const sink = MemorySink.create();
    const membership = MembershipService.create({
        self: {
            name: "vm-1",
            region: "south",
            dataCentre: "south-1",
            peerUrl: "http://10.0.0.1:7600",
            state: "live",
        },
        timers,
        random: SeededRandom.create(1),
        logger: EventLogger.create(sink),
        vmList: StoreVmList.create(store),
        transport: SilentTransport.create(),
        heartbeatMs: 500,
        peerTimeoutMs: 2_000,
        vmListPollMs: 8_000,
        getConfigurationVersion: () => 1,
    });
    const listNames = async (): Promise<readonly string[]> =>
        (await store.readSnapshot("vms")).unwrap().records.map(({ key }) => key);
    return { timers, store, sink, membership, listNames };
};

test("a VM that starts while the store is down registers when it is back, and the failures are logged", async () => {
    const { timers, store, sink, membership, listNames } = createMembership();
    store.isUnavailable = true;
    void membership.start();
    await timers.advance(5_000);
    expect(sink.events.some(({ name }) => name === "Failure")).toBe(true);
    store.isUnavailable = false;
    await timers.advance(3_000);
    expect(await listNames()).toEqual(["vm-1"]);
});

test("a VM that is leaving does not register again", async () => {
    const { timers, store, membership, listNames } = createMembership();
    store.isUnavailable = true;
    void membership.start();
    await timers.advance(100);
    store.isUnavailable = false;
    await timers.runUntilSettled(membership.announceLeaving(), 100);
    await timers.advance(5_000);
    expect(await listNames()).toEqual([]);
});
