// QUOTA: all processes are killed while a tenant asks for more than its limit, and start again while one partition of the
// store is down, the one with the list of the system's processes.
import { send } from "../lib-2/client.mjs";
import { BOUNDS, createDaemons, sleep } from "../lib-2/daemon.mjs";
import { RecordFile, runCase } from "../lib-2/record.mjs";
import { ServerStandIn } from "../lib-2/server.mjs";
import { StoreStandIn } from "../lib-2/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const PROCESSES = 6;
const SERVERS = 8;
const SLOTS = 12;
const ZONES = ["hobart-a", "launceston-a", "huon-b"];
/** The limit of the tenant; the bench sets it to 1.8 times what the tenant usually sends. */
const RATE_PER_S = 141_514;
/** The tenant sends 7.4 times its usual: 4 requests of 7,000 tokens each 48 ms. */
const TOKENS = 7_000;
const TOKENS_OUT = 380;
const ROUND = 4;
const ROUND_MS = 48;
const BEFORE_MS = 2_000;
const DOWN_MS = 1_000;
const STORE_DOWN_MS = 6_000;
const AFTER_MS = 2_000;
const SETTLE_MS = 9_000;
const WINDOW_MS = BOUNDS.quota_window_s * 1_000;
const LIMIT = (RATE_PER_S * BOUNDS.quota_window_s + RATE_PER_S) * (1 + BOUNDS.quota_overrun)
    + BOUNDS.quota_slack;
const VM_TOPIC = "keyed.wigeonpulley-vms";
const EVENTS = 5;
const EVENT_MS = 40;

const CONFIGURATION = {
    version: 7,
    routes: [{
        name: "r1",
        host: "a.example",
        path_prefix: "/p/",
        route_type: "streaming",
        timeout_ms: 15_000,
        target_latency_ms: 800,
        priority: 0,
        service: "m",
        max_attempts: 2,
        public_access: false,
        session_affinity: false,
        stream_resume: true,
        gap_target_ms: 300,
    }],
    services: [{
        name: "m",
        health_path: "/healthz",
        max_connections: 360,
        engine: { slots: SLOTS, kv_capacity_tokens: 627_915, stride: 5 },
    }],
    limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    },
    tenants: [{
        name: "t1",
        api_keys: ["k1"],
        priority: 1,
        unit: "tokens",
        plain_tokens: 200,
        rate_per_s: RATE_PER_S,
        burst: RATE_PER_S,
    }],
};

const record = new RecordFile(new URL("record.txt", import.meta.url));
const store = new StoreStandIn();
const servers = [];
const sent = [];
let system = { daemons: [], remove: () => undefined };
let clients;

const stream = (run, response, headers) => {
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    let number = 0;
    const timer = setInterval(() => {
        number += 1;
        response.write(`id: ${number}\ndata: ${number}\n\n`);
        if (number === EVENTS) {
            clearInterval(timer);
            response.end();
        }
    }, EVENT_MS);
    response.once("close", () => clearInterval(timer));
};

const sendRound = () => {
    for (let index = 0; index < ROUND; index += 1) {
        const number = sent.length + 1;
        const prompt = TOKENS - TOKENS_OUT;
        sent.push(send(system.daemons[number % PROCESSES].front, {
            host: "a.example",
            path: "/p/x",
            key: "k1",
            deadlineMs: 8_000,
            headers: {
                "x-wigeonpulley-model": "m",
                "x-wigeonpulley-token-count": `${prompt},${TOKENS_OUT}`,
                "x-wigeonpulley-prompt-prefix": `ab${number.toString(16)}:${prompt}`,
            },
        }));
    }
};

const disturb = async () => {
    record.add(`disruption: all ${PROCESSES} processes are killed`);
    await Promise.all(system.daemons.map(daemon => daemon.kill()));
    record.add(
        `disruption: calls on ${VM_TOPIC} get 503 for ${STORE_DOWN_MS} ms; all other topics are served`,
    );
    store.decide = ({ topic }) => (topic === VM_TOPIC ? "busy" : "serve");
    setTimeout(() => {
        store.decide = () => "serve";
        record.add("disruption: all topics are served again");
    }, STORE_DOWN_MS);
    await sleep(DOWN_MS);
    system.daemons.forEach(daemon => daemon.start());
    record.add("disruption: the processes are started");
};

const findBusiestWindow = (runs, byId) => {
    const arrivals = runs.map(run => ({ sentAt: byId.get(run.attemptId).sentAt, at: run.at }));
    let worst = { tokens: 0, from: 0 };
    for (const { sentAt: from } of arrivals) {
        const count = arrivals.filter(({ sentAt, at }) => sentAt >= from && at <= from + WINDOW_MS).length;
        worst = count * TOKENS > worst.tokens ? { tokens: count * TOKENS, from } : worst;
    }
    return worst;
};

const judge = async () => {
    const requests = await Promise.all(sent);
    const byId = new Map(requests.map(request => [request.attemptId, request]));
    const runs = servers.flatMap(server => server.runs);
    const ran = new Map(runs.map(run => [run.attemptId, run]));
    const time = at => ((at - record.startedAt) / 1_000).toFixed(3);
    requests.forEach(({ attemptId, front, sentAt, status, problem }) => {
        const run = ran.get(attemptId);
        const end = run === undefined ? "not run" : `run at ${time(run.at)} by ${run.server}`;
        record.addPlain(`${time(sentAt)} ${attemptId} to ${front}: ${status || problem}, ${end}`);
    });
    const { tokens, from } = findBusiestWindow(runs, byId);
    record.addPlain(
        `check: ${tokens} tokens in the ${WINDOW_MS} ms from ${time(from)}; the rule allows ${
            LIMIT.toFixed(0)
        }`,
    );
    return tokens > LIMIT;
};

const run = async () => {
    store.put("keyed.op", "config", CONFIGURATION);
    for (let index = 0; index < SERVERS; index += 1) {
        const zone = ZONES[index % ZONES.length];
        servers.push(
            await new ServerStandIn({ store, service: "m", zone, slots: SLOTS, run: stream }).start(
                "127.0.0.1",
            ),
        );
    }
    system = await createDaemons(PROCESSES, store);
    system.daemons.forEach(daemon => daemon.start());
    const ready = await Promise.all(system.daemons.map(daemon => daemon.waitUntilReady()));
    if (ready.includes(false)) {
        throw new Error("a process did not become ready");
    }
    await sleep(SETTLE_MS);
    clients = setInterval(sendRound, ROUND_MS);
    record.add("the tenant begins to send");
    await sleep(BEFORE_MS);
    const pause = sleep(DOWN_MS + STORE_DOWN_MS);
    if (HAS_TROUBLE) {
        await disturb();
    }
    await pause;
    await sleep(AFTER_MS);
    clearInterval(clients);
    record.add("the tenant ends");
    return await judge();
};

const clean = async () => {
    clearInterval(clients);
    await Promise.all(system.daemons.map(daemon => daemon.kill()));
    servers.forEach(server => server.close());
    store.close();
    system.remove();
};

await runCase(record, run, clean);
