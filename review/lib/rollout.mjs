// A service with servers of several versions, and a platform that carries out what a rollout's status says.
import { createEntry, startServer } from "./traffic.mjs";

/** Some seconds: the time after `rolled_back` at which the pages let the new servers drain. */
const DRAIN_AFTER_MS = 5_000;

/** Starts three servers of a version; `run` gets the version and each request that is run. */
export const startVersion = (version, run) =>
    Promise.all(
        [1, 2, 3].map(index =>
            startServer(`${version}-${index}`, (request, response) => void run(version, request, response))
        ),
    );

/** Servers by version, and what the platform does with them. */
export class Platform {
    constructor(store, service, record) {
        this.store = store;
        this.service = service;
        this.record = record;
        this.servers = new Map();
        this.status = undefined;
        this.finalStates = [];
        /** Versions that the newest final state calls completed: their servers stay. */
        this.completed = new Set();
        store.listeners.push((topic, key, value) => {
            if (topic === "keyed.status" && key === `rollout/${service}`) {
                this.applyStatus(JSON.parse(value));
            }
        });
    }

    /** Enters a version's servers in the list. */
    add(version, servers) {
        this.servers.set(version, servers);
        servers.forEach(server =>
            this.store.write("keyed.servers", server.id, createEntry(server, this.service, version))
        );
    }

    /** Orders that the traffic be moved to a version. */
    order(version, durationS) {
        this.record.write(`order: ${version} within ${durationS} s`);
        this.store.write("keyed.op", `rollout/${this.service}`, {
            service: this.service,
            target: version,
            duration_s: durationS,
        });
    }

    /** At `completed` all servers but the target's stop at once; at `rolled_back` the target's drain later. */
    applyStatus(status) {
        this.status = status;
        this.record.write(`status: ${JSON.stringify(status)}`);
        const { state, target } = status;
        if (state !== "active") {
            this.finalStates.push(`${target} ${state}`);
        }
        if (state === "completed") {
            this.completed.add(target);
            [...this.servers.keys()].filter(version => version !== target && this.isOlder(version, target))
                .forEach(version => this.stop(version));
        }
        if (state === "rolled_back") {
            setTimeout(() => this.drain(target), DRAIN_AFTER_MS);
        }
    }

    /** The old servers are those that were there before the target's. */
    isOlder(version, target) {
        const versions = [...this.servers.keys()];
        return versions.indexOf(version) < versions.indexOf(target);
    }

    drain(version) {
        if (!this.completed.has(version) && this.servers.has(version)) {
            this.record.write(`the servers of ${version} drain`);
            this.servers.get(version).forEach(server =>
                this.store.write(
                    "keyed.servers",
                    server.id,
                    createEntry(server, this.service, version, { state: "draining", sequence: 2 }),
                )
            );
        }
    }

    stop(version) {
        this.record.write(`the servers of ${version} are stopped`);
        this.servers.get(version).forEach(({ id, server }) => {
            this.store.write("keyed.servers", id, undefined);
            server.closeAllConnections();
            server.close();
        });
        this.servers.delete(version);
    }
}
