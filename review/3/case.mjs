// A machine gets SIGTERM while it answers its first requests after a start, and the platform's store is slow.
import { Deployment, sleep } from "../lib/deployment.mjs";
import { Store } from "../lib/store.mjs";
import { CALLERS_HOST, createEntry, Record, send, startServer } from "../lib/traffic.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const SERVICE = "floor-app";
const USUAL_STORE_MS = 4;
/** The pages name 60 times as long for this site, in the list of its disruptions. */
const STORE_MS = HAS_TROUBLE ? USUAL_STORE_MS * 60 : USUAL_STORE_MS;
const DEADLINE_MS = 1_500;
const SEND_INTERVAL_MS = 50;
const STARTS = 6;
const WORK_MS = 60;
/** Time from the first request that a server runs to SIGTERM. */
const STOP_AFTER_MS = 100;
const CYCLE_MS = 3_000;
const GRACE_MS = 8_000;

const record = new Record("record.txt");
/** Time at which a server began to run a request, by its id. */
const runAtById = new Map();
let sentCount = 0;
let notifyRun = () => undefined;

const run = (request, response) => {
    const id = request.headers["x-wigeonpulley-attempt-id"];
    runAtById.set(id, performance.now());
    record.write(`${id} run`);
    notifyRun();
    setTimeout(() => {
        record.write(`${id} ended with 200`);
        response.end("done");
    }, WORK_MS);
};

const sendOne = async (vm, answers) => {
    sentCount += 1;
    const id = `settle-${sentCount}`;
    record.write(`${id} sent to ${vm.name}`);
    const answer = await send({
        port: vm.front,
        path: `/settle/${id}`,
        id,
        deadlineMs: DEADLINE_MS,
        body: "amount=1",
    });
    record.write(
        `${id} ${answer.isComplete ? `answered ${answer.status}` : "connection ended without an answer"}`,
    );
    answers.push({ ...answer, hasRun: runAtById.has(id) });
};

/** Starts a machine, sends it requests, and stops it as soon as a server runs one of them; returns the answers. */
const playStart = async (deployment, index) => {
    const answers = [];
    const vm = await deployment.startVm(`vm-${index}`);
    const firstRun = new Promise(resolve => notifyRun = resolve);
    const endAt = performance.now() + CYCLE_MS;
    let stoppedAt;
    void firstRun.then(() => sleep(STOP_AFTER_MS)).then(() => {
        if (HAS_TROUBLE) {
            stoppedAt = performance.now();
            record.write(`SIGTERM to ${vm.name}`);
            vm.child.kill("SIGTERM");
        }
    });
    const sending = [];
    while (performance.now() < endAt && vm.exit === undefined) {
        sending.push(sendOne(vm, answers));
        await sleep(SEND_INTERVAL_MS);
    }
    await Promise.all(sending);
    while (stoppedAt !== undefined && vm.exit === undefined && performance.now() < stoppedAt + GRACE_MS) {
        await sleep(SEND_INTERVAL_MS);
    }
    if (vm.exit !== undefined) {
        const tookMs = Math.round(vm.exit.at - stoppedAt);
        record.write(
            `${vm.name} ended ${tookMs} ms after SIGTERM, by ${vm.exit.signal ?? `code ${vm.exit.code}`}`,
        );
    }
    return answers;
};

/**
 * Requests that the rule calls lost: passed on to a server and not answered. Those that were read and not passed on count
 * only if the connection ended later than `loss_slack_ms` after their last byte; none of them is needed here.
 */
const countLost = answers => answers.filter(({ isComplete, hasRun }) => hasRun && !isComplete).length;

const main = async () => {
    const store = await new Store().listen();
    store.answerMs = STORE_MS;
    const deployment = new Deployment(store.port);
    const server = await startServer("i-1", run);
    store.write("keyed.op", "config", {
        version: 1,
        routes: [{
            name: "settle",
            host: CALLERS_HOST,
            path_prefix: "/settle/",
            route_type: "non_idempotent",
            timeout_ms: DEADLINE_MS,
            target_latency_ms: 171,
            priority: 2,
            service: SERVICE,
            max_attempts: 1,
            public_access: true,
        }],
        services: [{ name: SERVICE, health_path: "/healthz", max_connections: 100 }],
        limits: {
            max_header_bytes: 16384,
            max_body_bytes: 4194304,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
        },
    });
    store.write("keyed.servers", server.id, createEntry(server, SERVICE, "v1"));
    try {
        const answers = [];
        for (let index = 1; index <= STARTS; index += 1) {
            answers.push(...await playStart(deployment, index));
        }
        const runCount = answers.filter(({ hasRun }) => hasRun).length;
        const lostCount = countLost(answers);
        record.write(`requests run: ${runCount}; of them without an answer (LOST): ${lostCount}`);
        return runCount === 0 ? 2 : lostCount > 0 ? 1 : 0;
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
