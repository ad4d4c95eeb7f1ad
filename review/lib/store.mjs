// Stand-in for the platform's store: a log with keyed topics, as PROTOCOL.md specifies the calls that the system makes.
import { createServer } from "node:http";

const HOST = "127.0.0.1";
const LENGTH_BYTES = 4;

const encode = ({ key, value }) => {
    const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value]);
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
};

const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

/** A running store. `answerMs` is the time before each response. */
export class Store {
    constructor() {
        this.answerMs = 4;
        this.topics = new Map();
        this.waiting = new Set();
        this.listeners = [];
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    async listen() {
        await new Promise(resolve => this.server.listen(0, HOST, resolve));
        this.port = this.server.address().port;
        return this;
    }

    /** Appends a record as the operator or a server does; an undefined document drops the key. */
    write(topic, key, document) {
        const value = document === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(document));
        this.append(topic, key, value);
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    list(topic) {
        return this.topics.get(topic) ?? [];
    }

    append(topic, key, value) {
        this.topics.set(topic, [...this.list(topic), { key, value }]);
        this.listeners.forEach(listener => listener(topic, key, value.toString()));
        [...this.waiting].forEach(wake => wake());
    }

    async handle(request, response) {
        const url = new URL(request.url, "http://store");
        const topic = url.searchParams.get("topic") ?? "";
        const body = await readBody(request);
        await new Promise(resolve => setTimeout(resolve, this.answerMs));
        if (url.pathname === "/v1/log-newest") {
            this.sendNewest(topic, response);
        }
        else if (url.pathname === "/v1/log-read") {
            await this.sendRecords(topic, url.searchParams, response);
        }
        else if (url.pathname === "/v1/log-append") {
            this.handleAppend(topic, url.searchParams, body, response);
        }
        else {
            response.writeHead(404).end();
        }
    }

    sendNewest(topic, response) {
        const newest = new Map(
            this.list(topic).map(({ key, value }, offset) => [key, { key, value, offset }]),
        );
        const items = [...newest.values()].filter(({ value }) => value.length > 0)
            .map(({ key, value, offset }) => ({ key, value: value.toString("base64"), offset }));
        sendJson(response, 200, { items, truncated: false, end: this.list(topic).length });
    }

    async sendRecords(topic, query, response) {
        const from = Number(query.get("from"));
        if (this.list(topic).length <= from) {
            await this.waitForRecord(Number(query.get("wait_ms") ?? 0));
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(this.list(topic).length), 0);
        response.writeHead(200).end(Buffer.concat([head, ...this.list(topic).slice(from).map(encode)]));
    }

    handleAppend(topic, query, body, response) {
        const end = this.list(topic).length;
        if (query.has("as_of") && Number(query.get("as_of")) !== end) {
            sendJson(response, 412, { end });
            return;
        }
        const keyEnd = LENGTH_BYTES + 1 + body.readUInt8(LENGTH_BYTES);
        this.append(topic, body.toString("utf8", LENGTH_BYTES + 1, keyEnd), body.subarray(keyEnd));
        sendJson(response, 200, { offset: end, end: end + 1 });
    }

    waitForRecord(waitMs) {
        return new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                this.waiting.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, waitMs);
            this.waiting.add(finish);
        });
    }
}

const sendJson = (response, status, document) => {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(document));
};
