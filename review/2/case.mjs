// A server spoils the first line of a few of its answers. No machine may end by that, and with it the requests that it has
// passed on to sound servers.
import { Agent } from "node:http";
import { Deployment, sleep, waitUntilReady } from "../lib/deployment.mjs";
import { Store } from "../lib/store.mjs";
import { CALLERS_HOST, createEntry, Record, send, startServer } from "../lib/traffic.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
/** The dose of the trouble: its share of the servers, its part of their answers, and its length: two times 6 s. */
const FAULTY_SERVERS = 2;
const SPOILED_EACH = 20;
const TROUBLE_MS = 12_000;
const CONTACT_MS = 4_000;
const AFTERWARDS_MS = 3_000;
const RESTART_MS = 300;
const ZONES = ["hobart-a", "launceston-a", "huon-b"];
const SETTLES_PER_S = 17.6;
const BRIEFS_PER_S = 32.7;
const SETTLE_DEADLINE_MS = 1_500;
const BRIEF_DEADLINE_MS = 15_000;
const FIRST_EVENT_MS = 400;
const EVENT_MS = 50;
const EVENTS = 30;
/** The rule allows three. */
const MOST_LOST = 3;

const record = new Record("record.txt");
/** Server that ran a request, by its id. */
const serverById = new Map();
const faultyIds = new Set();
const answers = [];
let sentCount = 0;
let isTrouble = false;
let ends = 0;

const createRoute = (name, kind, service, timeoutMs) => ({
    name,
    host: CALLERS_HOST,
    path_prefix: `/${name}/`,
    route_type: kind,
    timeout_ms: timeoutMs,
    target_latency_ms: name === "settle" ? 171 : 800,
    priority: 1,
    service,
    max_attempts: 1,
    public_access: true,
});

/** Sends an answer whose status line holds bytes that no status line may hold; all else is as it should be. */
const sendSpoiled = (request, id) => {
    const bytes = Buffer.from(
        [
            "HTTP/1.1 200 O\u0001K",
            `X-Wigeonpulley-Attempt-Id: ${request.headers["x-wigeonpulley-attempt-id"]}`,
            `X-Wigeonpulley-Server-Seal: seal-of-${id}`,
            "Content-Length: 4",
            "",
            "done",
        ].join("\r\n"),
        "latin1",
    );
    request.socket.end(bytes);
};

const startOrderServer = async (id, isFaulty) => {
    let answerCount = 0;
    return startServer(id, (request, response) => {
        const attempt = request.headers["x-wigeonpulley-attempt-id"];
        serverById.set(attempt, id);
        setTimeout(() => {
            answerCount += isTrouble ? 1 : 0;
            if (isFaulty && isTrouble && answerCount % SPOILED_EACH === 0) {
                record.write(`${attempt} answered by ${id} with a spoiled status line`);
                sendSpoiled(request, id);
                return;
            }
            response.end("done");
        }, 10 + 20 * Math.random());
    });
};

const startModelServer = id =>
    startServer(id, async (request, response) => {
        serverById.set(request.headers["x-wigeonpulley-attempt-id"], id);
        await sleep(FIRST_EVENT_MS);
        response.setHeader("content-type", "text/event-stream");
        for (let index = 0; index < EVENTS; index += 1) {
            response.write(`id: ${index}\ndata: piece ${index}\n\n`);
            await sleep(EVENT_MS);
        }
        response.end();
    });

const sendOne = async (vms, agents, route, deadlineMs) => {
    sentCount += 1;
    const id = `${route}-${sentCount}`;
    const index = sentCount % vms.length;
    const answer = await send({
        port: vms[index].front,
        path: `/${route}/${id}`,
        id,
        deadlineMs,
        patienceMs: deadlineMs,
        body: "text=1",
        agent: agents[index],
    });
    const server = serverById.get(id);
    record.write(
        `${id} sent to ${vms[index].name}, run by ${server ?? "none"}, ${
            answer.isComplete ? `answered ${answer.status}` : `connection ended after ${answer.bytes} bytes`
        }${answer.isOnKeptConnection ? ", on a kept connection" : ""}`,
    );
    answers.push({ ...answer, server });
};

const sendSteadily = async (perS, isOver, sendNext) => {
    while (!isOver()) {
        void sendNext();
        await sleep(1_000 / perS * (0.5 + Math.random()));
    }
};

/** Requests from kept connections that a sound server ran, and that ended without a byte of an answer. */
const judge = () => {
    const lost = answers.filter(({ isOnKeptConnection, headStatus, isComplete, server }) =>
        isOnKeptConnection && !isComplete && headStatus === 0 && server !== undefined
        && !faultyIds.has(server)
    );
    const cut = answers.filter(({ isComplete, headStatus }) => !isComplete && headStatus !== 0);
    record.write(`processes that ended by themselves: ${ends}`);
    record.write(`streams cut in the middle: ${cut.length}`);
    record.write(
        `sent on a kept connection, passed on to a sound server, not answered (LOST): ${lost.length}`,
    );
    return lost.length > MOST_LOST;
};

const play = async deployment => {
    const vms = await Promise.all(ZONES.map((zone, index) => deployment.startVm(`vm-${index + 1}`, zone)));
    if (!(await Promise.all(vms.map(vm => waitUntilReady(vm)))).every(Boolean)) {
        return 2;
    }
    vms.forEach(vm =>
        deployment.keepRunning(vm, RESTART_MS, (code, signal) => {
            ends += 1;
            const reason = /^\w*Error.*$/m.exec(vm.log)?.[0] ?? "";
            record.write(`${vm.name} ended by itself: ${signal ?? `code ${code}`} ${reason}`);
        })
    );
    const agents = vms.map(() => new Agent({ keepAlive: true }));
    let isOver = false;
    const traffic = [
        sendSteadily(SETTLES_PER_S, () => isOver, () => sendOne(vms, agents, "settle", SETTLE_DEADLINE_MS)),
        sendSteadily(BRIEFS_PER_S, () => isOver, () => sendOne(vms, agents, "brief", BRIEF_DEADLINE_MS)),
    ];
    await sleep(CONTACT_MS + 1_000);
    isTrouble = HAS_TROUBLE;
    await sleep(TROUBLE_MS);
    isTrouble = false;
    await sleep(AFTERWARDS_MS);
    isOver = true;
    await Promise.all(traffic);
    await sleep(FIRST_EVENT_MS + EVENT_MS * EVENTS + 1_000);
    return judge() ? 1 : 0;
};

const main = async () => {
    const store = await new Store().listen();
    const deployment = new Deployment(store.port);
    store.write("keyed.op", "config", {
        version: 1,
        routes: [
            createRoute("settle", "non_idempotent", "floor-app", SETTLE_DEADLINE_MS),
            createRoute("brief", "streaming", "leaf-model", BRIEF_DEADLINE_MS),
        ],
        services: [
            { name: "floor-app", health_path: "/healthz", max_connections: 100 },
            { name: "leaf-model", health_path: "/healthz", max_connections: 360 },
        ],
        limits: {
            max_header_bytes: 16384,
            max_body_bytes: 4194304,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
        },
    });
    for (const index of [1, 2, 3]) {
        const server = await startOrderServer(`order-${index}`, index <= FAULTY_SERVERS);
        if (index <= FAULTY_SERVERS) {
            faultyIds.add(server.id);
        }
        store.write(
            "keyed.servers",
            server.id,
            createEntry(server, "floor-app", "v1", { zone: ZONES[index - 1] }),
        );
    }
    for (const index of [1, 2, 3, 4, 5, 6, 7, 8]) {
        const server = await startModelServer(`model-${index}`);
        store.write(
            "keyed.servers",
            server.id,
            createEntry(server, "leaf-model", "v1", { zone: ZONES[index % 3], slots: 12 }),
        );
    }
    try {
        return await play(deployment);
    }
    finally {
        deployment.end();
        record.save();
    }
};

main().then(code => process.exit(code), cause => {
    process.stderr.write(`${cause.stack}\n`);
    process.exit(2);
});
