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

const createMembership = () => {
    const timers = VirtualTimerService.create();
    const store = InMemoryKeyedStore.create();
    const membership = MembershipService.create({
        self: createEntry("vm-1"),
        timers,
        random: SeededRandom.create(1),
        logger: EventLogger.create(MemorySink.create()),
        vmList: StoreVmList.create(store),
        transport: SilentTransport.create(),
        heartbeatMs: 500,
        peerTimeoutMs: 2_000,
        vmListPollMs: 8_000,
        getConfigurationVersion: () => 1,
    });
    return { timers, store, membership };
};

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
