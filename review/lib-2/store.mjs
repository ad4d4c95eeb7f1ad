// Stand-in of the platform's store: the keyed topics of its log, as the pages describe them. Each process of the system gets an
// address of its own, so that a script can turn calls of single processes or topics away.
import { createServer } from "node:http";

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 412;
const HTTP_UNAVAILABLE = 503;
const MAX_ITEMS = 500;
/** Longest response to a read of records, in kilobytes, unless the caller names another. */
const MAX_READ_KB = 1_024;
const BYTES_PER_KB = 1_024;
const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

const readBody = async request => {
    const parts = [];
    for await (const part of request) {
        parts.push(part);
    }
    return Buffer.concat(parts);
};

const decodeRecords = body => {
    const records = [];
    let at = 0;
    while (at + LENGTH_BYTES <= body.length) {
        const start = at + LENGTH_BYTES;
        const end = start + body.readUInt32BE(at);
        const keyEnd = start + 1 + body.readUInt8(start);
        records.push({ key: body.toString("utf8", start + 1, keyEnd), value: body.subarray(keyEnd, end) });
        at = end;
    }
    return records;
};

/** Returns the first records that fit into the length, and at least one. */
const takeRecords = (records, maxBytes) => {
    let bytes = 0;
    const end = records.findIndex(({ key, value }) => {
        bytes += LENGTH_BYTES + 1 + Buffer.byteLength(key) + value.length;
        return bytes > maxBytes;
    });
    return end === -1 ? records : records.slice(0, Math.max(1, end));
};

const encodeRecord = ({ key, value }) => {
    const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value]);
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
};

/** The store. Its records are kept for as long as a script runs. */
export class StoreStandIn {
    topics = new Map();
    servers = [];
    /** Decides about a call: "serve", "busy" (503) or "silent". */
    decide = () => "serve";
    /** Returns the record that a caller gets in place of one, for servers that it reaches through a proxy. */
    view = (caller, topic, record) => record;
    calls = new Map();

    /** Opens an address for the process called `caller`; returns its port. */
    async open(host, caller) {
        const server = createServer((request, response) => void this.handle(request, response, caller));
        server.keepAliveTimeout = 60_000;
        this.servers.push(server);
        await new Promise(resolve => server.listen(0, host, resolve));
        return server.address().port;
    }

    /** Closes all addresses. */
    close() {
        this.servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    /** Writes a record; without a value, its key is dropped. Returns the time of the acknowledgement. */
    put(topic, key, document) {
        this.append(topic, [{
            key,
            value: document === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(document)),
        }]);
        return performance.now();
    }

    /** Returns the newest document of a key; undefined without one. */
    read(topic, key) {
        const value = this.getTopic(topic).records.findLast(record => record.key === key)?.value;
        return value === undefined || value.length === 0 ? undefined : JSON.parse(value.toString("utf8"));
    }

    getTopic(name) {
        const topic = this.topics.get(name) ?? { records: [], waiting: new Set() };
        this.topics.set(name, topic);
        return topic;
    }

    append(name, records) {
        const topic = this.getTopic(name);
        const offset = topic.records.length;
        topic.records.push(...records);
        [...topic.waiting].forEach(wake => wake());
        return { offset, end: topic.records.length };
    }

    async handle(request, response, caller) {
        const url = new URL(request.url, "http://store");
        const topic = url.searchParams.get("topic") ?? "";
        const call = url.pathname.replace("/v1/", "");
        const key = `${caller} ${call} ${topic}`;
        this.calls.set(key, (this.calls.get(key) ?? 0) + 1);
        const body = await readBody(request);
        const decision = this.decide({ caller, call, topic });
        if (decision === "silent") {
            return;
        }
        if (decision === "busy") {
            this.sendJson(response, HTTP_UNAVAILABLE, { reason: "busy" });
        }
        else if (call === "log-append") {
            this.handleAppend(response, url, topic, body);
        }
        else if (call === "log-read") {
            await this.handleRead(response, url, topic, caller);
        }
        else if (call === "log-newest") {
            this.handleNewest(response, url, topic, caller);
        }
        else {
            this.sendJson(response, HTTP_NOT_FOUND, {});
        }
    }

    handleAppend(response, url, topic, body) {
        const asOf = url.searchParams.get("as_of") ?? "";
        const end = this.getTopic(topic).records.length;
        if (asOf !== "" && Number(asOf) !== end) {
            this.sendJson(response, HTTP_CONFLICT, { end });
            return;
        }
        this.sendJson(response, HTTP_OK, this.append(topic, decodeRecords(body)));
    }

    async handleRead(response, url, topic, caller) {
        const from = Number(url.searchParams.get("from"));
        const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
        const { records, waiting } = this.getTopic(topic);
        if (records.length <= from && waitMs > 0) {
            await new Promise(resolve => {
                const timer = setTimeout(resolve, waitMs);
                const wake = () => {
                    clearTimeout(timer);
                    waiting.delete(wake);
                    resolve();
                };
                waiting.add(wake);
            });
        }
        const decision = this.decide({ caller, call: "log-read", topic });
        if (decision !== "serve") {
            // What began before a disruption doesn't get through it.
            if (decision === "busy") {
                this.sendJson(response, HTTP_UNAVAILABLE, { reason: "busy" });
            }
            return;
        }
        const head = Buffer.alloc(2 * OFFSET_BYTES);
        head.writeBigUInt64BE(BigInt(records.length));
        const maxBytes = Number(url.searchParams.get("max_kb") ?? MAX_READ_KB) * BYTES_PER_KB;
        const seen = takeRecords(records.slice(from), maxBytes).map(record =>
            this.view(caller, topic, record)
        );
        const body = Buffer.concat([head, ...seen.map(encodeRecord)]);
        response.writeHead(HTTP_OK, { "content-length": body.length });
        response.end(body);
    }

    handleNewest(response, url, topic, caller) {
        const after = url.searchParams.get("after") ?? "";
        const { records } = this.getTopic(topic);
        const newest = new Map(
            records.map((record, offset) => [record.key, { ...this.view(caller, topic, record), offset }]),
        );
        const all = [...newest.values()]
            .filter(({ key, value }) => value.length > 0 && key > after)
            .sort((left, right) => (left.key < right.key ? -1 : 1));
        this.sendJson(response, HTTP_OK, {
            items: all.slice(0, MAX_ITEMS).map(({ key, value, offset }) => ({
                key,
                value: value.toString("base64"),
                offset,
            })),
            truncated: all.length > MAX_ITEMS,
            end: records.length,
        });
    }

    sendJson(response, status, document) {
        const body = JSON.stringify(document);
        response.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
        });
        response.end(body);
    }
}
