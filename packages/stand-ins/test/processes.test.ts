/** Tests with real processes on the loopback interface: killed, frozen and stopped VMs, stalled and reset connections, a killed engine. */
import {
    createTokenText,
    DemoCluster,
    demoKeys,
    openChat,
    parseTokenText,
    type ReceivedEvent,
    type ReceivedStream,
    resumeChat,
    sendOrder,
    type VmName,
} from "@wigeonpulley/stand-ins";
import { request } from "undici";
import { afterAll, beforeAll, expect, test } from "vitest";

const VM_STOPPING = 102;
const MEMBER_LIVE = 301;
const MEMBER_DEAD = 302;
const MODEL = "grafting-7b";

let cluster: DemoCluster;

const startCluster = async (): Promise<void> => {
    cluster = await DemoCluster.create();
    await cluster.waitUntilReady();
};

beforeAll(startCluster);
afterAll(() => cluster.close());

const createBody = (tokens: number): object => ({
    model: MODEL,
    messages: [{ role: "user", content: "How much wax is in stock?" }],
    max_tokens: tokens,
});

const chat = (vm: VmName, tokens: number): Promise<ReceivedStream> =>
    openChat(cluster.getVmUrl(vm), demoKeys.caller, createBody(tokens), "kind=quote");

/** Reads events until the stream ends or the connection is lost. */
const collect = async (
    stream: ReceivedStream,
    received: ReceivedEvent[] = [],
    onEvent: (count: number) => void | Promise<void> = () => undefined,
): Promise<readonly ReceivedEvent[]> => {
    try {
        for await (const event of stream.events) {
            received.push(event);
            await onEvent(received.length);
        }
    }
    catch {
        // The connection was lost; the caller keeps the events that it received.
    }
    return received;
};

const expectComplete = (requestId: string, tokens: number, received: readonly ReceivedEvent[]): void => {
    const expected = Array.from({ length: tokens }, (unused, index) => createTokenText(requestId, index))
        .join("");
    expect(received.map(parseTokenText).join("")).toBe(expected);
    expect(received).toHaveLength(tokens + 1);
};

test("a caller resumes its stream through another VM after the first one was killed", async () => {
    const stream = await chat("vm-1", 40);
    const received: ReceivedEvent[] = [];
    await collect(stream, received, async count => {
        if (count === 8) {
            await cluster.stopVm("vm-1", "SIGKILL");
        }
    });
    const resumed = await resumeChat(cluster.getVmUrl("vm-2"), demoKeys.caller, received.at(-1)?.id ?? "");
    await collect(resumed, received);
    expectComplete(stream.requestId, 40, received);
    const refused = await resumeChat(cluster.getVmUrl("vm-2"), demoKeys.stranger, received[0]?.id ?? "");
    expect(refused.status).toBe(403);
    await cluster.startVm("vm-1");
    await cluster.waitUntilReady();
});

test.each(["silenceOpen", "cutOpen"] as const)(
    "responses are complete after %s on every connection to the engines",
    async fault => {
        const streams = await Promise.all(["vm-1", "vm-2", "vm-3"].map(vm => chat(vm as VmName, 60)));
        const collected = await Promise.all(streams.map((stream, index) =>
            collect(stream, [], count => {
                if (index === 0 && count === 10) {
                    cluster.forwarders.forEach(forwarder => forwarder[fault]());
                }
            })
        ));
        collected.forEach((received, index) => expectComplete(streams[index]?.requestId ?? "", 60, received));
    },
);

test("the other VMs serve requests while a VM is frozen, and its own streams continue when it resumes", async () => {
    const stream = await chat("vm-1", 150);
    const from = cluster.logLines.length;
    const received: ReceivedEvent[] = [];
    const { child } = cluster.getVm("vm-1");
    const reading = collect(stream, received, count => {
        if (count === 5) {
            child.kill("SIGSTOP");
        }
    });
    await cluster.waitForEvent(
        MEMBER_DEAD,
        from,
        line => line.vm === "vm-2" && line.message.includes("vm-1"),
    );
    const others = await Promise.all((["vm-2", "vm-3"] as const).map(vm => chat(vm, 20)));
    const responses = await Promise.all(others.map(other => collect(other)));
    responses.forEach((events, index) => expectComplete(others[index]?.requestId ?? "", 20, events));
    const order = await sendOrder(cluster.getVmUrl("vm-2"), demoKeys.caller, "order-frozen", {});
    expect(order.status).toBe(200);
    const resumedFrom = cluster.logLines.length;
    child.kill("SIGCONT");
    await cluster.waitForEvent(
        MEMBER_LIVE,
        resumedFrom,
        line => line.vm === "vm-2" && line.message.includes("vm-1"),
    );
    await reading;
    expectComplete(stream.requestId, 150, received);
    const replayed = await sendOrder(cluster.getVmUrl("vm-1"), demoKeys.caller, "order-frozen", {});
    expect(replayed.body).toBe(order.body);
    const runs = await (await fetch(`${cluster.getStandInUrl("orders-1")}/runs`)).json() as Record<
        string,
        number
    >;
    expect(runs["order-frozen"]).toBe(1);
});

test("a graceful shutdown completes all open streams", async () => {
    const streams = await Promise.all(Array.from({ length: 120 }, () => chat("vm-3", 12)));
    const reading = streams.map(stream => collect(stream));
    const ended = cluster.stopVm("vm-3", "SIGTERM");
    const responses = await Promise.all(reading);
    responses.forEach((received, index) => expectComplete(streams[index]?.requestId ?? "", 12, received));
    expect(await ended).toBe(0);
    await cluster.startVm("vm-3");
    await cluster.waitUntilReady();
});

test("a second signal aborts the open streams and sets exit code 1", async () => {
    const stream = await chat("vm-3", 2_000);
    const { child } = cluster.getVm("vm-3");
    const from = cluster.logLines.length;
    const reading = collect(stream, [], count => {
        if (count === 3) {
            child.kill("SIGTERM");
        }
    });
    await cluster.waitForEvent(VM_STOPPING, from);
    expect(await cluster.stopVm("vm-3", "SIGTERM")).toBe(1);
    expect((await reading).length).toBeLessThan(2_001);
    await cluster.startVm("vm-3");
    await cluster.waitUntilReady();
});

test("invalid requests get a problem response that names the error", async () => {
    const url = `${cluster.getVmUrl("vm-1")}/v1/chat/completions`;
    const send = async (
        headers: Record<string, string>,
        body: string,
    ): Promise<{ status: number; type: string; }> => {
        const response = await request(url, {
            method: "POST",
            headers: { "content-type": "application/json", ...headers },
            body,
        });
        return { status: response.statusCode, type: (await response.body.json() as { type: string; }).type };
    };
    const authorization = `Bearer ${demoKeys.caller}`;
    const body = JSON.stringify(createBody(5));
    const prefix = "urn:wigeonpulley:error:";
    expect(await send({}, body)).toEqual({ status: 401, type: `${prefix}UnknownCaller` });
    expect(await send({ authorization }, "{")).toEqual({ status: 400, type: `${prefix}InvalidRequest` });
    expect(await send({ authorization }, "{}")).toEqual({ status: 400, type: `${prefix}InvalidRequest` });
    expect(await send({ authorization, "wigeonpulley-labels": "=x" }, body)).toMatchObject({ status: 400 });
    expect(await send({ authorization }, JSON.stringify({ ...createBody(5), model: "none" })))
        .toEqual({ status: 422, type: `${prefix}NoSelectorMatches` });
    expect(await send({ authorization }, JSON.stringify({ pad: "x".repeat(2_000_000) }))).toMatchObject({
        status: 400,
    });
});

test("operators read status and audit, and exactly one of two concurrent changes takes effect", async () => {
    const path = cluster.writeConfiguration(cluster.createConfiguration());
    const vm = cluster.getVmUrl("vm-1");
    const status = await cluster.runCli("status", "--vm", vm);
    expect(JSON.parse(status.output)).toMatchObject({ vm: "vm-1", configuration: 0 });
    const results = await Promise.all(
        ["left", "right"].map(author =>
            cluster.runCli(
                "config",
                "publish",
                path,
                "--log",
                cluster.logUrl,
                "--base",
                "0",
                "--author",
                author,
            )
        ),
    );
    expect(results.map(result => result.code).sort()).toEqual([0, 1]);
    const published = await cluster.runCli(
        "config",
        "publish",
        path,
        "--log",
        cluster.logUrl,
        "--vm",
        vm,
        "--wait",
    );
    expect(JSON.parse(published.output)).toMatchObject({ isInForceEverywhere: true, missing: [] });
    const audit = await cluster.runCli("audit", "--log", cluster.logUrl);
    const entries = JSON.parse(audit.output) as { verdict: string; author: string; changes: unknown[]; }[];
    // The losing operator may have read the winner's change before its own append; then it appended nothing.
    expect(entries.filter(entry => entry.verdict === "effective")).toHaveLength(3);
    expect(entries.filter(entry => entry.verdict === "unknown")).toHaveLength(0);
    const wrongKey = await cluster.runCli("status", "--vm", vm, "--key", "wrong");
    expect(wrongKey).toMatchObject({ code: 1 });
    const invalid = await cluster.runCli("config", "check", cluster.writeConfiguration({ tiers: [] }));
    expect(invalid.code).toBe(1);
    expect(invalid.output).toContain("InvalidConfiguration");
});

test("requests on a killed engine end with [DONE] or an error, and later requests use the other engine", async () => {
    const streams = await Promise.all([chat("vm-1", 60), chat("vm-2", 60), chat("vm-1", 60)]);
    const ended: Promise<void>[] = [];
    const responses = await Promise.all(streams.map((stream, index) =>
        collect(stream, [], count => {
            if (index === 0 && count === 5) {
                ended.push(cluster.stopStandIn("engine-1", "SIGKILL"));
            }
        })
    ));
    await Promise.all(ended);
    const last = responses.map(received => received.at(-1)?.data ?? "");
    expect(last.every(data => data === "[DONE]" || data.includes("urn:wigeonpulley:error:"))).toBe(true);
    const later = await Promise.all(Array.from({ length: 6 }, () => chat("vm-1", 5)));
    const received = await Promise.all(later.map(stream => collect(stream)));
    received.forEach((events, index) => expectComplete(later[index]?.requestId ?? "", 5, events));
});
