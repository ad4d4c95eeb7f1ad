// A system of four processes in which one reaches too few servers of a service and so passes its requests on to the others, one
// of which is turned away by the store.
import { createDaemons, sleep } from "./daemon.mjs";
import { Proxy } from "./proxy.mjs";
import { ServerStandIn } from "./server.mjs";
import { StoreStandIn } from "./store.mjs";

const ZONES = ["hobart-a", "launceston-a", "huon-b"];
const PROCESSES = 4;
/** Servers of the service that is there from the start, and of the one that a change brings into use: a fifth of them all. */
const OLD_SERVERS = 8;
const NEW_SERVERS = 2;
const SLOTS = 6;
const SETTLE_MS = 6_000;

/** Takes the requests, and is cut off from the servers of the new service. Alone in its region. */
export const FRONT = "edge-2";
/** Turned away by the store. */
export const TURNED_AWAY = "edge-1";

/** The system with its stand-ins. */
export class PassingSystem {
    store = new StoreStandIn();
    servers = [];
    proxies = new Map();
    system = { daemons: [], remove: () => undefined };

    /** Starts servers that run requests with `run`, and the processes. */
    async start(run) {
        const { store, servers, proxies } = this;
        for (let index = 0; index < OLD_SERVERS + NEW_SERVERS; index += 1) {
            const service = index < OLD_SERVERS ? "old" : "new";
            const zone = ZONES[index % ZONES.length];
            const server = new ServerStandIn({ store, service, zone, slots: SLOTS, run });
            servers.push(await server.start("127.0.0.1"));
            if (service === "new") {
                proxies.set(server.id, await new Proxy("127.0.0.1", server.address).open());
            }
        }
        store.view = (caller, topic, stored) => this.showProxy(caller, topic, stored);
        this.system = await createDaemons(PROCESSES, store);
        const { daemons } = this.system;
        daemons.forEach(daemon => daemon.start());
        const ready = await Promise.all(daemons.map(daemon => daemon.waitUntilReady()));
        if (ready.includes(false)) {
            throw new Error("a process did not become ready");
        }
        await sleep(SETTLE_MS);
    }

    /** Address for callers of a process. */
    getFront(name = FRONT) {
        return this.system.daemons.find(daemon => daemon.name === name).front;
    }

    /** Begins both disruptions. */
    disturb(record) {
        record.add(`disruption: the store answers ${TURNED_AWAY} with 503 from now on`);
        this.store.decide = ({ caller }) => (caller === TURNED_AWAY ? "busy" : "serve");
        record.add(`disruption: ${FRONT} is cut off from the two servers of the new service`);
        this.proxies.forEach(proxy => proxy.cut());
    }

    /** Ends all that was started. */
    async clean() {
        await Promise.all(this.system.daemons.map(daemon => daemon.kill()));
        this.proxies.forEach(proxy => proxy.cut());
        this.servers.forEach(server => server.close());
        this.store.close();
        this.system.remove();
    }

    /** The front reaches the servers of the new service through proxies of its own. */
    showProxy(caller, topic, stored) {
        const proxy = topic === "keyed.servers" && caller === FRONT
            ? this.proxies.get(stored.key)
            : undefined;
        return proxy === undefined || stored.value.length === 0 ? stored : {
            ...stored,
            value: Buffer.from(JSON.stringify({ ...JSON.parse(stored.value), address: proxy.address })),
        };
    }
}
