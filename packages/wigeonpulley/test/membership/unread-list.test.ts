/** What a VM knows of the others before it has read the platform's list. */
import { create } from "@bufbuild/protobuf";
import { expect, test } from "vitest";
import {
    EventLogger,
    MemberDigestSchema,
    MembershipService,
    MemberStateSchema,
    MemorySink,
    SeededRandom,
    StoreVmList,
    StoreVmListCopies,
    type Topic,
    VirtualTimerService,
    type VmListEntry,
} from "wigeonpulley";
import { InMemoryKeyedStore } from "../fixtures/in-memory-keyed-store.js";
import { SilentTransport } from "../fixtures/silent-transport.js";

const createEntry = (name: string): VmListEntry => ({
    name,
    region: "south",
    dataCentre: "south-1",
    peerUrl: `http://${name}:7600`,
    state: "live",
});

const createMembership = (
    timers = VirtualTimerService.create(),
    store = InMemoryKeyedStore.create(),
    name = "vm-1",
) => {
    const membership = MembershipService.create({
        self: createEntry(name),
        timers,
        random: SeededRandom.create(1),
        logger: EventLogger.create(MemorySink.create()),
        vmList: StoreVmList.create(store),
        copies: StoreVmListCopies.create(store),
        transport: SilentTransport.create(),
        heartbeatMs: 500,
        peerTimeoutMs: 2_000,
        vmListPollMs: 8_000,
        getConfigurationVersion: () => 1,
    });
    return { timers, store, membership };
};

/** Starts VMs that register and read the list, and stops them once the first one has written the copies. */
const runSystem = async (vmCount: number) => {
    const { timers, store } = createMembership();
    const vms = Array.from(
        { length: vmCount },
        (unused, index) => createMembership(timers, store, `vm-${index + 1}`).membership,
    );
    vms.forEach(vm => void vm.start());
    await timers.advance(12_000);
    vms.forEach(vm => vm.stop());
    return { timers, store };
};

/** Many more than any system has: what a VM may use that knows nothing of the others must be small. */
const MIN_ASSUMED_VMS = 300;

// Guards against QUOTA: a VM that had not read the list took itself for the only one, and whole limits for its own.
test("a VM that knows nothing of the others does not count itself as the only one", async () => {
    const { timers, store, membership } = createMembership();
    store.isUnavailable = true;
    expect(membership.vmCount.isKnown).toBe(false);
    expect(membership.vmCount.count).toBeGreaterThan(MIN_ASSUMED_VMS);
    void membership.start();
    await timers.advance(20_000);
    expect(membership.vmCount.isKnown).toBe(false);
    expect(membership.vmCount.count).toBeGreaterThan(MIN_ASSUMED_VMS);
    membership.stop();
});

test("a VM that is alone knows so as soon as it has read the list", async () => {
    const { timers, membership } = createMembership();
    await Promise.all([membership.readList(), timers.advance(100)]);
    expect(membership.vmCount).toEqual({ count: 1, isKnown: true });
});

// Guards against QUOTA and RECOVER: all VMs were lost, and the topic with the list was down when they started again.
test.each<{ readonly down: readonly Topic[]; }>([
    { down: ["vms"] },
    { down: ["vms", "vms-copy-1"] },
    { down: ["vms", "vms-copy-2"] },
])(
    "VMs that start while the list can't be read know from a copy how many there are ($down)",
    async ({ down }) => {
        const { timers, store } = await runSystem(6);
        down.forEach(topic => store.unavailableTopics.add(topic));
        const { membership } = createMembership(timers, store, "vm-3");
        await Promise.all([membership.readList(), timers.advance(500)]);
        expect(membership.vmCount).toEqual({ count: 6, isKnown: true });
        expect(membership.listLive().map(({ name }) => name).toSorted())
            .toEqual(["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"]);
        membership.stop();
    },
);

test("a copy that is out of date gives way to the list", async () => {
    const { timers, store } = await runSystem(6);
    await store.put("vms", "vm-7", Buffer.from(JSON.stringify(createEntry("vm-7"))));
    store.unavailableTopics.add("vms");
    const { membership } = createMembership(timers, store, "vm-3");
    void membership.start();
    await timers.advance(2_000);
    expect(membership.vmCount.count).toBe(6);
    store.unavailableTopics.clear();
    await timers.advance(2_000);
    expect(membership.vmCount).toEqual({ count: 7, isKnown: true });
    membership.stop();
});

test("VMs that gossip names count beside those of a copy", async () => {
    const { timers, store } = await runSystem(3);
    store.unavailableTopics.add("vms");
    const { membership } = createMembership(timers, store, "vm-3");
    await Promise.all([membership.readList(), timers.advance(500)]);
    const members = [create(MemberStateSchema, { name: "vm-9", incarnation: 1n })];
    membership.handleDigest(create(MemberDigestSchema, { sender: "vm-1", members }));
    expect(membership.vmCount).toEqual({ count: 4, isKnown: true });
});

test("a VM that can't read the list learns the number of VMs from another one", () => {
    const { membership } = createMembership();
    membership.handleDigest(create(MemberDigestSchema, { sender: "vm-2", vmCount: 18 }));
    expect(membership.vmCount).toEqual({ count: 18, isKnown: true });
    // A build that doesn't name the number says nothing.
    const { membership: other } = createMembership();
    other.handleDigest(create(MemberDigestSchema, { sender: "vm-2" }));
    expect(other.vmCount.isKnown).toBe(false);
});

// Guards against high cost at size: as many writes as VMs at each start of all.
test("one VM writes the copies, and only when the list has changed", async () => {
    const { timers, store } = createMembership();
    const vms = Array.from(
        { length: 40 },
        (unused, index) => createMembership(timers, store, `vm-${index + 1}`).membership,
    );
    vms.forEach(vm => void vm.start());
    await timers.advance(60_000);
    expect(store.countRecords("vms-copy-1")).toBe(1);
    expect(store.countRecords("vms-copy-2")).toBe(1);
    vms.forEach(vm => vm.stop());
});

// Guards against SHORT: a VM that had not read the list of VMs took the whole of each quota for its own part.
test("VMs that gossip names count before the list has been read", () => {
    const { membership } = createMembership();
    const members = Array.from(
        { length: 17 },
        (unused, index) => create(MemberStateSchema, { name: `vm-${index + 2}`, incarnation: 1n }),
    );
    membership.handleDigest(create(MemberDigestSchema, { sender: "vm-2", members }));
    expect(membership.memberCount).toBe(18);
});

// Guards against SHORT: after one failed read, a VM that had started knew no other VM for 8 s.
test("the list is read again soon while it has never been read", async () => {
    const { timers, store, membership } = createMembership();
    await store.put("vms", "vm-2", Buffer.from(JSON.stringify(createEntry("vm-2"))));
    store.isUnavailable = true;
    void membership.start();
    await timers.advance(1_000);
    store.isUnavailable = false;
    await timers.advance(1_500);
    expect(membership.listMembers().map(({ entry }) => entry.name)).toContain("vm-2");
    membership.stop();
});
