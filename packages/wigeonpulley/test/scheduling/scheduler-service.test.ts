/** Streams of gateways to the schedulers of one VM. */
import { create } from "@bufbuild/protobuf";
import { expect, test } from "vitest";
import { type GatewayMessage, GatewayMessageSchema, MessageQueue, type SchedulerMessage } from "wigeonpulley";
import { createTestTicket } from "../fixtures/group-scheduler-fixture.js";
import { TestSystem } from "../fixtures/test-system.js";

const GROUP = "south-1/grafting-7b/0";

const createTicketMessage = (id: string): GatewayMessage =>
    create(GatewayMessageSchema, {
        kind: {
            case: "ticket",
            value: createTestTicket(id, { group: GROUP, selector: "quotes", durable: true }),
        },
    });

const readAll = async (messages: AsyncIterable<SchedulerMessage>, kinds: string[]): Promise<void> => {
    for await (const { kind } of messages) {
        kinds.push(kind.case ?? "");
    }
};

test("a late end of a gateway's old stream does not withdraw the tickets of its new one", async () => {
    const system = await TestSystem.create({ vmCount: 1 });
    const { schedulers } = system.getVm("vm-1").vm;
    const [oldStream, newStream] = [
        MessageQueue.create<GatewayMessage>(),
        MessageQueue.create<GatewayMessage>(),
    ];
    const kinds: string[] = [];
    void readAll(schedulers.serveGateway("vm-2", oldStream), []);
    void readAll(schedulers.serveGateway("vm-2", newStream), kinds);
    for (let index = 0; index < 40; index += 1) {
        newStream.push(createTicketMessage(`ticket-${index}`));
    }
    await system.timers.flushPromises();
    const waiting = schedulers.listSchedulers().get(GROUP)?.countWaiting() ?? 0;
    oldStream.close();
    await system.timers.advance(100);
    expect(waiting).toBeGreaterThan(0);
    expect(schedulers.listSchedulers().get(GROUP)?.countWaiting()).toBe(waiting);
    newStream.close();
    await system.timers.advance(100);
    expect(schedulers.listSchedulers().get(GROUP)?.countWaiting()).toBe(0);
    expect(kinds).toContain("grant");
    system.close();
});
