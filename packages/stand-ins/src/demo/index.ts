/** Demo with real processes: a stream that survives a killed VM, an idempotent order, and a graceful shutdown. */
import { createTokenText } from "../engine/simulated-engine.js";
import { openChat, parseTokenText, type ReceivedEvent, resumeChat, sendOrder } from "./caller.js";
import { DemoCluster, demoKeys, type VmName } from "./cluster.js";

const RESPONSE_TOKENS = 60;
const EVENTS_BEFORE_KILL = 10;

const print = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

const chatBody = {
    model: "grafting-7b",
    messages: [{ role: "user", content: "Quote 400 kg of grafting wax for the Lushoto cooperative." }],
    max_tokens: RESPONSE_TOKENS,
};

/** Reads events until the stream ends or the connection is lost; calls `onEvent` after each event. */
const collect = async (
    events: AsyncIterable<ReceivedEvent>,
    received: ReceivedEvent[],
    onEvent: () => Promise<void>,
): Promise<void> => {
    try {
        for await (const event of events) {
            received.push(event);
            await onEvent();
        }
    }
    catch {
        print(`  the connection was lost after ${received.length} events`);
    }
};

const runResumeDemo = async (cluster: DemoCluster): Promise<void> => {
    print("1. A labelled streaming request goes through vm-1, which is killed during the response");
    const opened = await openChat(cluster.getVmUrl("vm-1"), demoKeys.caller, chatBody, "kind=quote");
    const received: ReceivedEvent[] = [];
    await collect(opened.events, received, async () => {
        if (received.length === EVENTS_BEFORE_KILL) {
            await cluster.stopVm("vm-1", "SIGKILL");
        }
    });
    print("   the caller resumes through vm-2 after the last event that it received");
    const resumed = await resumeChat(cluster.getVmUrl("vm-2"), demoKeys.caller, received.at(-1)?.id ?? "");
    await collect(resumed.events, received, () => Promise.resolve());
    const text = received.map(parseTokenText).join("");
    const expected = Array.from(
        { length: RESPONSE_TOKENS },
        (unused, index) => createTokenText(opened.requestId, index),
    ).join("");
    print(`   ${received.length} events; the response is ${text === expected ? "complete" : "INCOMPLETE"}`);
    if (text !== expected) {
        throw new Error("the response is incomplete");
    }
};

const runOrderDemo = async (cluster: DemoCluster): Promise<void> => {
    print("2. The same order is sent to two VMs at once with the same idempotency key");
    const order = { item: "grafting wax", kilograms: 400 };
    const vms: readonly VmName[] = ["vm-2", "vm-3"];
    const responses = await Promise.all(
        vms.map(vm => sendOrder(cluster.getVmUrl(vm), demoKeys.caller, "order-17", order)),
    );
    responses.forEach((response, index) =>
        print(`   ${vms[index]}: status ${response.status}, ${response.body}`)
    );
    const replayed = await sendOrder(cluster.getVmUrl("vm-3"), demoKeys.caller, "order-17", order);
    print(`   repeated later: status ${replayed.status}, ${replayed.body}`);
    const runs = await (await fetch(`${cluster.getStandInUrl("orders-1")}/runs`)).json() as Record<
        string,
        number
    >;
    print(`   the service executed it ${runs["order-17"]} time(s)`);
    if (runs["order-17"] !== 1) {
        throw new Error("the order was not executed exactly once");
    }
};

const runShutdownDemo = async (cluster: DemoCluster): Promise<void> => {
    print("3. vm-2 shuts down gracefully during a response");
    const opened = await openChat(cluster.getVmUrl("vm-2"), demoKeys.caller, chatBody, "kind=quote");
    const received: ReceivedEvent[] = [];
    let ended: Promise<number | undefined> | undefined;
    await collect(opened.events, received, () => {
        ended ??= cluster.stopVm("vm-2", "SIGTERM");
        return Promise.resolve();
    });
    const code = await ended;
    print(`   the response ended after ${received.length} events; vm-2 exited with code ${code}`);
    const lastCode = await cluster.stopVm("vm-3", "SIGTERM");
    print(`   vm-3 exited with code ${lastCode}`);
    if (received.length !== RESPONSE_TOKENS + 1 || code !== 0 || lastCode !== 0) {
        throw new Error("the shutdown was not graceful");
    }
};

const runDemo = async (): Promise<void> => {
    print("Starting a platform, two engines, a service and three VMs");
    const cluster = await DemoCluster.create();
    try {
        await cluster.waitUntilReady();
        await runResumeDemo(cluster);
        await cluster.waitUntilReady(["vm-2", "vm-3"]);
        await runOrderDemo(cluster);
        await runShutdownDemo(cluster);
        print("Done.");
    }
    finally {
        await cluster.close();
    }
};

await runDemo();
