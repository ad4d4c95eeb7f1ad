// CONFIG: a process that was cut off from the store reads a long backlog in parts, and takes the first part for all of it. It
// admits keys that were taken away long before.
import { send } from "../lib-2/client.mjs";
import { createConfiguration, createRoute, createTenant } from "../lib-2/configuration.mjs";
import { BOUNDS, createDaemons, sleep } from "../lib-2/daemon.mjs";
import { addRequests, formatTime, mapRuns } from "../lib-2/judge.mjs";
import { RecordFile, runCase } from "../lib-2/record.mjs";
import { answerAfter, ServerStandIn } from "../lib-2/server.mjs";
import { StoreStandIn } from "../lib-2/store.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ZONES = ["hobart-a", "launceston-a", "huon-b"];
const SLOTS = 12;
const WORK_MS = 15;
/** Routes after a change that adds 350. */
const ROUTES = 360;
/** A storm of changes: one each 80 ms for 2 s. */
const CHANGES = 25;
const CHANGE_MS = 80;
const VERSION_STEP = 3;
const SETTLE_MS = 5_000;
const BEFORE_MS = 1_000;
/** The process gets no answer of the store for so long. */
const CUT_MS = 8_000;
const AFTER_MS = 3_000;
const REQUEST_MS = 5;
/** Each so many requests, one with the key that stays. */
const KEPT_SHARE = 8;
const REVOKED_KEY = "key-revoked";
const KEPT_KEY = "key-kept";

const record = new RecordFile(new URL("record.txt", import.meta.url));
const store = new StoreStandIn();
const servers = [];
const sent = [];
let system = { daemons: [], remove: () => undefined };
let clients;
let version = 7;

const putConfiguration = keys => {
    version += VERSION_STEP;
    const routes = Array.from({ length: ROUTES }, (unused, index) =>
        createRoute({
            name: `r-${index}`,
            prefix: index === 0 ? "/i/" : `/i${index}x${version}/`,
            service: "s",
        }));
    const tenants = [createTenant("t1", [KEPT_KEY]), createTenant("t2", keys)];
    const configuration = createConfiguration({ version, routes, services: ["s"], tenants });
    const at = store.put("keyed.op", "config", configuration);
    record.add(
        `version ${version} is acknowledged: ${
            JSON.stringify(configuration).length
        } bytes, keys of t2: ${keys}`,
    );
    return at;
};

const sendOne = key => {
    const { front } = system.daemons[0];
    sent.push(send(front, { host: "a.example", path: "/i/x", method: "GET", key, deadlineMs: 1_500 }));
};

const start = async () => {
    putConfiguration([REVOKED_KEY, "key-other"]);
    for (const zone of ZONES) {
        const server = new ServerStandIn({
            store,
            service: "s",
            zone,
            slots: SLOTS,
            run: answerAfter(WORK_MS),
        });
        servers.push(await server.start("127.0.0.1"));
    }
    system = await createDaemons(1, store);
    system.daemons.forEach(daemon => daemon.start());
    const ready = await Promise.all(system.daemons.map(daemon => daemon.waitUntilReady()));
    if (ready.includes(false)) {
        throw new Error("the process did not become ready");
    }
    await sleep(SETTLE_MS);
    clients = setInterval(() => {
        sendOne(REVOKED_KEY);
        if (sent.length % KEPT_SHARE === 0) {
            sendOne(KEPT_KEY);
        }
    }, REQUEST_MS);
    await sleep(BEFORE_MS);
};

const judge = async revokedAt => {
    const requests = await Promise.all(sent);
    const runs = mapRuns(servers);
    addRequests(record, requests, runs, ({ key }) => `with ${key} `);
    const served = requests.filter(({ key, sentAt, attemptId }) =>
        key === KEPT_KEY && sentAt > revokedAt + BOUNDS.revoke_ms && runs.has(attemptId)
    );
    const broken = requests.filter(({ key, sentAt, attemptId }) =>
        key === REVOKED_KEY && sentAt > revokedAt + BOUNDS.revoke_ms && runs.has(attemptId)
    );
    record.addPlain(
        `check: ${broken.length} requests with the revoked key were sent later than ${BOUNDS.revoke_ms} ms after the `
            + `acknowledgement and ran; ${served.length} with the kept key ran`,
    );
    if (broken.length > 0) {
        const ages = [broken[0], broken.at(-1)].map(({ sentAt }) => Math.round(sentAt - revokedAt));
        record.addPlain(
            `check: the first was sent ${ages[0]} ms after it, the last ${
                ages[1]
            } ms; the key was revoked at ${formatTime(record, revokedAt)}`,
        );
    }
    if (served.length === 0) {
        throw new Error("no request with the kept key ran");
    }
    return broken.length > 0;
};

const run = async () => {
    await start();
    const isOver = sleep(CUT_MS);
    if (HAS_TROUBLE) {
        record.add(`disruption: the process gets no answer of the store for ${CUT_MS} ms`);
        store.decide = ({ caller }) => (caller === "edge-1" ? "silent" : "serve");
    }
    for (let change = 0; change < CHANGES; change += 1) {
        putConfiguration([REVOKED_KEY, "key-other"]);
        await sleep(CHANGE_MS);
    }
    const revokedAt = putConfiguration(["key-other"]);
    await isOver;
    store.decide = () => "serve";
    record.add("the store answers all calls");
    await sleep(AFTER_MS);
    clearInterval(clients);
    return await judge(revokedAt);
};

const clean = async () => {
    clearInterval(clients);
    await Promise.all(system.daemons.map(daemon => daemon.kill()));
    servers.forEach(server => server.close());
    store.close();
    system.remove();
};

await runCase(record, run, clean);
