// TWICE: a process passes a request that must not run twice on to another one, without saying so. The other one has an older
// configuration, by which the request may be repeated, and repeats it.
import { send } from "../lib-2/client.mjs";
import { createConfiguration, createRoute, createTenant } from "../lib-2/configuration.mjs";
import { sleep } from "../lib-2/daemon.mjs";
import { formatTime } from "../lib-2/judge.mjs";
import { FRONT, PassingSystem } from "../lib-2/passed-on.mjs";
import { RecordFile, runCase } from "../lib-2/record.mjs";
import { answerAfter } from "../lib-2/server.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const KEY = "key-1";
const WORK_MS = 15;
/** Of the runs at each server, one in so many ends with the server's own 500: 0.14 of them. */
const FAILURE_STEP = 7;
const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;
const BEFORE_MS = 2_000;
const AHEAD_MS = 300;
/** Requests on the new route begin so long after its acknowledgement; by then, the front has served some on it. */
const IN_FORCE_MS = 200;
const AFTER_MS = 4_000;
const LOOKUP_MS = 4;
const PAYMENT_MS = 4;

const record = new RecordFile(new URL("record.txt", import.meta.url));
const passing = new PassingSystem();
const lookups = [];
const payments = [];
const timers = [];

const putConfiguration = (version, hasPayments) => {
    const lookup = createRoute({ name: "r1", prefix: "/i/", service: "old" });
    const payment = {
        ...createRoute({ name: "r2", prefix: "/i/pay/", service: "new" }),
        route_type: "non_idempotent",
        max_attempts: 1,
    };
    passing.store.put(
        "keyed.op",
        "config",
        createConfiguration({
            version,
            routes: hasPayments ? [lookup, payment] : [lookup],
            services: ["old", "new"],
            tenants: [createTenant("t1", [KEY])],
        }),
    );
    record.add(
        `version ${version} is acknowledged: ${
            hasPayments ? "with" : "without"
        } the route r2, non_idempotent`,
    );
};

const answer = (run, response, headers) => {
    const count = passing.servers.find(({ id }) => id === run.server).runs.length;
    const status = count % FAILURE_STEP === 0 ? HTTP_SERVER_ERROR : HTTP_OK;
    answerAfter(WORK_MS, status)(run, response, headers);
};

const sendOne = (list, front, method, path) => {
    list.push(send(front, { host: "a.example", path, method, key: KEY, deadlineMs: 1_500 }));
};

/** Lookups go to all processes in turn. */
const sendLookup = () => {
    const { daemons } = passing.system;
    sendOne(lookups, daemons[lookups.length % daemons.length].front, "GET", "/i/x");
};

const judge = async () => {
    const requests = await Promise.all(payments);
    const runs = new Map(requests.map(({ attemptId }) => [attemptId, []]));
    passing.servers.forEach(server =>
        server.runs.forEach(run => runs.get(run.attemptId)?.push({ ...run, service: server.service }))
    );
    for (const { attemptId, sentAt, endedAt, status, problem } of requests) {
        const places = runs.get(attemptId)
            .toSorted((left, right) => left.at - right.at)
            .map(({ at, server, service }) => `${formatTime(record, at)} by ${server} of ${service}`);
        const answered = `${status || problem} at ${formatTime(record, endedAt)}`;
        const ran = places.length === 0 ? "not run" : `run at ${places.join(" and at ")}`;
        record.addPlain(
            `${formatTime(record, sentAt)} POST /i/pay/ ${attemptId} to ${FRONT}: ${answered}, ${ran}`,
        );
    }
    await Promise.all(lookups);
    const count = [...runs.values()].filter(list => list.length > 0).length;
    const broken = [...runs.values()].filter(list => list.length > 1).length;
    record.addPlain(
        `check: of ${requests.length} requests on the non_idempotent route, ${count} ran, ${broken} more than once`,
    );
    if (count === 0) {
        throw new Error("no request on the new route ran");
    }
    return broken > 0;
};

const run = async () => {
    putConfiguration(7, false);
    await passing.start(answer);
    timers.push(setInterval(sendLookup, LOOKUP_MS));
    await sleep(BEFORE_MS);
    if (HAS_TROUBLE) {
        passing.disturb(record);
    }
    await sleep(AHEAD_MS);
    putConfiguration(10, true);
    await sleep(IN_FORCE_MS);
    timers.push(setInterval(() => sendOne(payments, passing.getFront(), "POST", "/i/pay/1"), PAYMENT_MS));
    await sleep(AFTER_MS);
    timers.forEach(clearInterval);
    return await judge();
};

const clean = async () => {
    timers.forEach(clearInterval);
    await passing.clean();
};

await runCase(record, run, clean);
