/** HTTP servers for the load balancer's health checks and for operators: readiness, status, metrics and drain. */
import { timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { ClientResources } from "../clients/index.js";
import { hashKey } from "../config/index.js";
import type { MetricsRegistry } from "../metrics/index.js";

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_FORBIDDEN = 403;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;
/** Time limits for a request and its head, in milliseconds. Such requests are short and have no body that matters. */
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 10_000;
const CONNECTIONS_CHECK_INTERVAL_MS = 1_000;
/** Unanswered requests on one connection; a client that sends more does not wait for the pages that they ask for. */
const MAX_UNANSWERED = 8;
const BEARER = /^bearer +(\S+) *$/i;

/** Dependencies and settings of the server. */
export interface OperatorServerOptions {
    readonly isReady: () => boolean;
    readonly getStatus: () => unknown;
    /** Starts a graceful shutdown. */
    readonly drain: () => void;
    readonly metrics: MetricsRegistry;
    readonly clients: ClientResources;
    /** SHA-256 of the operators' key in hexadecimal; without it, status and drain are not permitted. */
    readonly operatorKeyHash: string | undefined;
}

/** Server for health checks and operators; it may listen on several addresses. */
export class OperatorServer {
    private readonly servers: Server[] = [];

    private constructor(private readonly options: OperatorServerOptions) {}

    /** Creates a server that does not listen yet. */
    static create(options: OperatorServerOptions): OperatorServer {
        return new OperatorServer(options);
    }

    /** Listens for the load balancer's health checks: every path responds with the readiness of the VM. */
    listenForHealthChecks(address: string): Promise<void> {
        return this.listen(address, (request, response) => this.handleReadiness(response));
    }

    /** Listens for requests for metrics: every path responds with them. */
    listenForMetrics(address: string): Promise<void> {
        return this.listen(address, (request, response) => void this.handleMetrics(response));
    }

    /** Listens for requests of operators. */
    listenForOperators(address: string): Promise<void> {
        return this.listen(address, (request, response) => void this.handleOperator(request, response));
    }

    /** Stops listening and closes all connections. */
    close(): void {
        this.servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    }

    private listen(
        address: string,
        handler: (request: IncomingMessage, response: ServerResponse) => void,
    ): Promise<void> {
        const [host = "", port = "0"] = address.split(":");
        const { clients } = this.options;
        const server = createServer({
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
            connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS,
        }, (request, response) => {
            if (request.socket.destroyed) {
                return;
            }
            clients.uploads.closeUnlessEnded(request);
            handler(request, response);
        });
        clients.connections.watchPipelined(
            server,
            { maxConnections: clients.maxOperatorConnections, open: 0 },
            MAX_UNANSWERED,
        );
        this.servers.push(server);
        return new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(Number(port), host, () => resolve());
        });
    }

    private handleReadiness(response: ServerResponse): void {
        response.writeHead(this.options.isReady() ? HTTP_OK : HTTP_UNAVAILABLE, { "content-length": 0 });
        response.end();
    }

    private async handleOperator(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { getStatus, drain } = this.options;
        switch (`${request.method ?? ""} ${request.url ?? ""}`) {
            case "GET /health/live":
                return sendJson(response, HTTP_OK, { status: "live" });
            case "GET /health/ready":
                return this.handleReadiness(response);
            case "GET /metrics":
                return this.handleMetrics(response);
            case "GET /operator/status":
                return this.isOperator(request)
                    ? sendJson(response, HTTP_OK, getStatus())
                    : sendJson(response, HTTP_FORBIDDEN, { error: "NotPermitted" });
            case "POST /operator/drain":
                if (!this.isOperator(request)) {
                    return sendJson(response, HTTP_FORBIDDEN, { error: "NotPermitted" });
                }
                drain();
                return sendJson(response, HTTP_ACCEPTED, { status: "draining" });
            default:
                return sendJson(response, HTTP_NOT_FOUND, { error: "NoRoute" });
        }
    }

    private async handleMetrics(response: ServerResponse): Promise<void> {
        const { metrics } = this.options;
        sendText(response, HTTP_OK, metrics.contentType, await metrics.formatText());
    }

    private isOperator(request: IncomingMessage): boolean {
        const { operatorKeyHash } = this.options;
        const presented = hashKey(request.headers.authorization?.match(BEARER)?.[1] ?? "");
        return operatorKeyHash !== undefined
            && timingSafeEqual(Buffer.from(presented), Buffer.from(operatorKeyHash));
    }
}

const sendText = (response: ServerResponse, status: number, contentType: string, text: string): void => {
    response.writeHead(status, { "content-type": contentType, "content-length": Buffer.byteLength(text) });
    response.end(text);
};

const sendJson = (response: ServerResponse, status: number, document: unknown): void =>
    sendText(response, status, "application/json", JSON.stringify(document));
