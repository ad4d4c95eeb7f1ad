/**
 * HTTP server for callers of routed traffic. Parses a request, admits or refuses it, and hands it to the forwarder.
 * Uses node:http directly, because any method, path and framing has to pass through byte for byte; a web framework's
 * router would only be in the way (docs/decisions/0003).
 */
import * as Option from "fp-ts/lib/Option.js";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results-es";
import { type ByteAccount, type ClientResources, createMemoryError } from "../clients/index.js";
import { SchedulerError } from "../errors/index.js";
import { countOpenResponses, waitForPendingInput, waitUntilLoopIsInTime } from "../http-connections/index.js";
import type { EventLogger } from "../logging/index.js";
import type { MetricsRegistry } from "../metrics/index.js";
import { computeAllowedRegions } from "../placement/index.js";
import type { ProcessorMonitor } from "../processor/index.js";
import type { RandomSource } from "../random/index.js";
import {
    type ActiveConfiguration,
    type CallerLimits,
    type RouteTable,
    selectTarget,
} from "../routing/index.js";
import type { TimerService } from "../time/index.js";
import { type AdmissionCheck, type AdmittedRequest } from "./admission-check.js";
import type { QuotaLimiter } from "./admission-limits.js";
import { CallerRetryDetector } from "./caller-retry-detector.js";
import { closeAfterInput } from "./connection-guard.js";
import type { Forwarder, ForwardSummary } from "./forwarder.js";
import type { HeaderCodec, RequestMetadata } from "./header-codec.js";
import { LateAdmission } from "./late-admission.js";
import { parsePeerHeaders, type PeerRequestOrigin, removePeerHeaders } from "./peer-headers.js";
import { RequestLifetime } from "./request-lifetime.js";
import { ResponseWriter } from "./response-writer.js";
import { computeRank, countQuotaUnits, type RoutedRequest } from "./routed-request.js";

/** Dependencies and limits of the server. */
export interface FrontServerOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly metrics: MetricsRegistry;
    readonly codec: HeaderCodec;
    readonly activeConfiguration: ActiveConfiguration;
    readonly forwarder: Forwarder;
    readonly quotaLimiter: QuotaLimiter;
    readonly host: string;
    readonly port: number;
    readonly maxOpenRequests: number;
    readonly clients: ClientResources;
    readonly processor: ProcessorMonitor;
    /** Time for which the first request of a rank has been waiting for a slot of a service, in milliseconds. */
    readonly getLongestWaitMs: (service: string, rank: number) => number;
    readonly admission: AdmissionCheck;
    /** Key that all VMs share, for a server that takes requests of other VMs only; undefined for callers. */
    readonly peerKey?: string | undefined;
    /** True when this VM lies where a request that other VMs pass on may be taken. */
    readonly canTakePassedOn: (admitted: AdmittedRequest) => boolean;
}

/** A request that has been read and admitted. */
interface ReceivedRequest {
    readonly message: IncomingMessage;
    readonly metadata: RequestMetadata;
    readonly admitted: AdmittedRequest;
    readonly body: Buffer | undefined;
    readonly account: ByteAccount;
    /** Monotonic time of arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** VM that passed it on; undefined when a caller sent it to this VM. */
    readonly origin: PeerRequestOrigin | undefined;
    readonly delays: ProcessDelays;
}

/** What in this process delayed a request that has been read. */
interface ProcessDelays {
    /** Longest time for which its head can have waited in the operating system before it was read, in milliseconds. */
    readonly unreadMs: number;
    /** Requests that were in progress when it was read. */
    readonly ahead: number;
    /** Time of the poll after it was read, in milliseconds. */
    readonly loopDelayMs: number;
}

/** Interval at which Node checks connections for request heads that exceed their timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
/** Connections that the operating system accepts while this process is busy. */
const BACKLOG = 1_024;
/**
 * Limit until the first configuration is active, and the least limit of the parser, which keeps the one that it had when its
 * connection was opened.
 */
const INITIAL_MAX_HEADER_BYTES = 16_384;
const HTTP_HEAD_TOO_LONG = 431;
/** Retry-After of requests that this VM itself can't serve, whatever their route. */
const RETRY_AFTER_MS = 500;
/** Delay of the event loop above which this VM takes no requests of other VMs: it is late for its own callers. */
const MAX_PEER_LOOP_DELAY_MS = 250;

/** Memory planned for a request beside its body and head, in bytes. */
const REQUEST_BYTES = 8_192;
/** Multiple of the open requests from which on connections with several unanswered requests are closed. */
const PIPELINED_FACTOR = 2;

/** HTTP server for callers, or for other VMs that pass on requests of their callers. */
export class FrontServer {
    private readonly server: Server;
    private readonly callerRetryDetector: CallerRetryDetector;
    private readonly lateAdmission: LateAdmission;
    /** Lifetimes of the requests in progress, with their responses. */
    private readonly lifetimes = new Map<RequestLifetime, ResponseWriter>();
    private readonly idleWaiters: (() => void)[] = [];
    /** Number of requests in progress on each connection. */
    private readonly requestCountBySocket = new Map<Socket, number>();
    private maxHeaderBytes = INITIAL_MAX_HEADER_BYTES;
    private openRequests = 0;
    private isDraining = false;
    /** Monotonic time from which on requests are refused, in milliseconds. */
    private refusesFrom = Number.POSITIVE_INFINITY;

    private constructor(private readonly options: FrontServerOptions) {
        this.callerRetryDetector = CallerRetryDetector.create(options.timers);
        this.lateAdmission = LateAdmission.create(options);
        this.server = createServer({
            maxHeaderSize: INITIAL_MAX_HEADER_BYTES,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
            requestTimeout: 0,
            noDelay: true,
        }, (request, response) => {
            if (this.isPipeliningTooMany(request)) {
                options.clients.connections.close(request.socket, "pipelined");
            }
            else if (measureHead(request) < this.maxHeaderBytes) {
                void this.handleRequest(request, response);
            }
            else {
                response.writeHead(HTTP_HEAD_TOO_LONG, { connection: "close" }).end();
            }
        });
        this.server.on("connection", socket => {
            this.requestCountBySocket.set(socket, 0);
            socket.once("close", () => this.requestCountBySocket.delete(socket));
        });
        closeAfterInput(this.server);
        options.clients.connections.watch(this.server, options.clients.requestConnections);
        options.activeConfiguration.subscribe(({ configuration }) => this.applyLimits(configuration.limits));
    }

    /** Creates a server that does not listen yet. */
    static create(options: FrontServerOptions): FrontServer {
        return new FrontServer(options);
    }

    /**
     * Starts to listen; rejects when the address can't be bound. Takes over the connections of a `listener` that already
     * listens on the address and has accepted none. Without effect if the server listens already: opening it may be repeated
     * because of another address.
     */
    listen(listener?: NetServer): Promise<void> {
        if (this.server.listening) {
            return Promise.resolve();
        }
        const { host, port } = this.options;
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            if (listener === undefined) {
                this.server.listen({ port, host, backlog: BACKLOG }, resolve);
            }
            else {
                this.server.listen(listener, BACKLOG, resolve);
            }
        });
    }

    /** Number of requests in progress. */
    get openRequestCount(): number {
        return this.openRequests;
    }

    /** Closes each connection with its next response, so that callers connect to other VMs. */
    startDraining(): void {
        this.isDraining = true;
    }

    /**
     * Refuses all requests as not run that are read later than `time`, a monotonic time in milliseconds; an earlier one
     * remains. By the clock, because a late event loop reads requests before it runs a timer that is due.
     */
    refuseNew(time = this.options.timers.now()): void {
        this.refusesFrom = Math.min(this.refusesFrom, time);
    }

    /**
     * Accepts no new connections or requests, and closes connections without a request in progress. Requests that have
     * arrived before are served, or refused if the event loop is late.
     */
    async stopAccepting(): Promise<void> {
        // The first poll accepts the connections that wait, the second one reads their requests.
        await waitForPendingInput();
        await waitForPendingInput();
        this.refuseNew();
        // The method of the HTTP server would also cut responses that have ended and are not flushed yet.
        NetServer.prototype.close.call(this.server);
        await waitUntilLoopIsInTime(this.options.timers);
        // Node counts a connection that has sent nothing yet as busy, so requests are counted here.
        this.requestCountBySocket.forEach((requestCount, socket) => {
            // Input that waits to be parsed may be a request, which is then refused.
            if (requestCount === 0 && socket.readableLength === 0) {
                // After end(), a request that still arrives would be read and couldn't be answered.
                socket.destroy();
            }
        });
    }

    /** Resolves when no request is in progress. */
    waitUntilIdle(): Promise<void> {
        return this.openRequests === 0
            ? Promise.resolve()
            : new Promise(resolve => this.idleWaiters.push(resolve));
    }

    /** Cancels all requests in progress. */
    cancelAll(): void {
        this.lifetimes.forEach((writer, lifetime) => lifetime.cancel("shutdown"));
    }

    /** Cancels the requests whose responses have not started, so that their callers get an error instead. */
    cancelUnanswered(): void {
        this.lifetimes.forEach((writer, lifetime) => {
            if (!writer.hasStarted) {
                lifetime.cancel("shutdown");
            }
        });
    }

    private get isRefusingNew(): boolean {
        return this.options.timers.now() >= this.refusesFrom;
    }

    /**
     * True for a request on a closed connection, and for one that a client sends behind unanswered ones while refusals that
     * wait to be sent take more memory than the requests that are served.
     */
    private isPipeliningTooMany({ socket }: IncomingMessage): boolean {
        return socket.destroyed
            || (this.openRequests > PIPELINED_FACTOR * this.options.maxOpenRequests
                && countOpenResponses(socket) > 1);
    }

    private applyLimits(limits: CallerLimits): void {
        this.server.headersTimeout = limits.headerTimeoutMs;
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.maxHeaderBytes = limits.headerBytes;
        // Node reads this for each new connection.
        Object.assign(this.server, {
            maxHeaderSize: Math.max(INITIAL_MAX_HEADER_BYTES, limits.headerBytes),
        });
    }

    private async handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const arrivedAt = this.options.timers.now();
        const arrival = { unreadMs: this.options.processor.estimateUnreadMs(), ahead: this.openRequests };
        const writer = ResponseWriter.create(
            response,
            () => this.isDraining,
            this.options.peerKey !== undefined,
        );
        const { clients } = this.options;
        const account = clients.budget.open("requests");
        this.openRequests += 1;
        this.updateRequestCount(message.socket, 1);
        try {
            await this.serve(message, response, writer, { arrivedAt, arrival, account });
        }
        catch (cause) {
            this.reportFailure(writer, SchedulerError.fromUnknown(cause));
        }
        finally {
            // A shutdown must not end the process before the last bytes of a response are flushed.
            await waitUntilFlushed(response);
            account.close();
            clients.uploads.closeUnlessEnded(message);
            this.openRequests -= 1;
            this.updateRequestCount(message.socket, -1);
            if (this.openRequests === 0) {
                this.idleWaiters.splice(0).forEach(resolve => resolve());
            }
        }
    }

    /** Reports an unexpected failure to the caller. When that fails too, it costs this request's connection only. */
    private reportFailure(writer: ResponseWriter, error: SchedulerError): void {
        const { logger } = this.options;
        logger.writeError(error);
        try {
            writer.sendError(error);
        }
        catch (cause) {
            logger.writeError(SchedulerError.fromUnknown(cause));
            writer.abort();
        }
    }

    private updateRequestCount(socket: Socket, change: number): void {
        const count = this.requestCountBySocket.get(socket);
        if (count !== undefined) {
            this.requestCountBySocket.set(socket, count + change);
        }
    }

    private async serve(
        message: IncomingMessage,
        response: ServerResponse,
        writer: ResponseWriter,
        { arrivedAt, arrival, account }: Pick<ReceivedRequest, "arrivedAt" | "account"> & {
            readonly arrival: Omit<ProcessDelays, "loopDelayMs">;
        },
    ): Promise<void> {
        const { peerKey, clients } = this.options;
        const origin = peerKey === undefined ? undefined : parsePeerHeaders(message.headers, peerKey);
        if (peerKey !== undefined && origin === undefined) {
            this.refuse(writer, "", "", SchedulerError.create("NotPermitted", {}));
            return;
        }
        const metadata = this.options.codec.parseRequest(message.headers);
        if (metadata.isErr()) {
            this.refuse(writer, "", "", metadata.error);
            return;
        }
        const admission = this.refuseBeforeAdmission(message, account)
            ?? await this.admit(message, metadata.value, origin);
        const admitted = admission.andThen(value =>
            origin === undefined
                ? this.checkLateness(value, arrivedAt, arrival.unreadMs)
                : this.checkRegion(value)
        );
        const limitBytes = this.options.activeConfiguration.routeTable?.configuration.limits.bodyBytes ?? 0;
        const body = admitted.isOk()
            ? await clients.uploads.read(message, account, limitBytes)
            : Ok(undefined);
        // A body may arrive slowly. Near the end of the grace period, its request would be cut while it runs.
        const isTooLate = admitted.isOk() && this.isRefusingNew;
        const refusal = admitted.isErr() ? admitted.error : body.isErr() ? body.error : undefined;
        if (isTooLate || admitted.isErr() || body.isErr()) {
            const routeName = admission.isOk() ? admission.value.route.name : "";
            this.refuse(
                writer,
                metadata.value.attemptId,
                routeName,
                refusal ?? SchedulerError.create("Stopping", {}, { retryAfterMs: RETRY_AFTER_MS }),
                origin,
            );
            return;
        }
        const received: ReceivedRequest = {
            message,
            metadata: metadata.value,
            admitted: admitted.value,
            body: body.value,
            account,
            arrivedAt,
            origin,
            delays: { ...arrival, loopDelayMs: 0 },
        };
        await this.serveAdmitted(received, response, writer);
    }

    /** Finds the route and workspace of a request, by a configuration that isn't older than that of the VM which passed it on. */
    private async admit(
        message: IncomingMessage,
        metadata: RequestMetadata,
        origin: PeerRequestOrigin | undefined,
    ): Promise<Result<AdmittedRequest, SchedulerError>> {
        const { activeConfiguration, admission } = this.options;
        const refusal = this.findVersionRefusal(activeConfiguration.routeTable, origin);
        if (refusal !== undefined) {
            return refusal;
        }
        const target = { host: message.headers.host ?? "", path: getPath(message) };
        const admitted = await admission.admit(target, metadata);
        // The first configuration may have been read meanwhile.
        const table = admitted.isOk() ? admitted.value.table : activeConfiguration.routeTable;
        return this.findVersionRefusal(table, origin) ?? admitted;
    }

    private async serveAdmitted(
        received: ReceivedRequest,
        response: ServerResponse,
        writer: ResponseWriter,
    ): Promise<void> {
        const { timers, maxOpenRequests } = this.options;
        const { message, metadata, admitted, origin } = received;
        const readAt = timers.now();
        await waitForPendingInput();
        const loopDelayMs = timers.now() - readAt;
        if (origin !== undefined && loopDelayMs > MAX_PEER_LOOP_DELAY_MS) {
            const error = SchedulerError.create("TooManyStreams", { limit: maxOpenRequests }, {
                retryAfterMs: RETRY_AFTER_MS,
            });
            this.refuse(writer, metadata.attemptId, admitted.route.name, error, origin);
            return;
        }
        const request = this.createRequest(received);
        this.lifetimes.set(request.lifetime, writer);
        cancelWhenCallerLeaves(request, message, response);
        try {
            await this.forward(request, writer, { ...received.delays, loopDelayMs });
        }
        finally {
            request.lifetime.close();
            this.lifetimes.delete(request.lifetime);
        }
    }

    private async forward(
        request: RoutedRequest,
        writer: ResponseWriter,
        delays: ProcessDelays,
    ): Promise<void> {
        const { quotaLimiter, forwarder, logger } = this.options;
        const { workspace } = request;
        const units = countQuotaUnits(request);
        // The VM that passed a request on has counted it.
        const quota = request.peer === undefined ? workspace?.quota : undefined;
        if (
            workspace !== undefined && quota !== undefined
            && !quotaLimiter.tryConsume(workspace.name, quota, units)
        ) {
            logger.write("QuotaRefused", {
                id: request.metadata.attemptId,
                workspace: workspace.name,
                units,
                quotaPerS: quota.ratePerS,
                ...quotaLimiter.getState(workspace.name),
            });
            const retryAfterMs = quotaLimiter.estimateWaitMs(workspace.name, quota, units);
            this.refuse(
                writer,
                request.metadata.attemptId,
                request.route.name,
                SchedulerError.create("QuotaExceeded", { workspace: workspace.name }, { retryAfterMs }),
            );
            return;
        }
        const summary = await forwarder.forward(request, writer);
        if (workspace !== undefined && quota !== undefined && !summary.mayHaveRun) {
            quotaLimiter.refund(workspace.name, units);
        }
        this.writeSummary(request, summary, delays);
    }

    /** Refuses any request while this VM shuts down or is full; undefined when it may be admitted. */
    private refuseBeforeAdmission(
        message: IncomingMessage,
        account: ByteAccount,
    ): Result<AdmittedRequest, SchedulerError> | undefined {
        const { maxOpenRequests, clients } = this.options;
        const retry = { retryAfterMs: RETRY_AFTER_MS };
        if (this.isRefusingNew) {
            return Err(SchedulerError.create("Stopping", {}, retry));
        }
        if (this.openRequests > maxOpenRequests) {
            return Err(SchedulerError.create("TooManyStreams", { limit: maxOpenRequests }, retry));
        }
        if (account.tryAdd(REQUEST_BYTES + measureHead(message))) {
            return undefined;
        }
        clients.recorder.record("memory");
        return Err(createMemoryError());
    }

    /** Refuses a request of a caller that this VM can't bring to an endpoint in time, before its body is read. */
    private checkLateness(
        admitted: AdmittedRequest,
        arrivedAt: number,
        unreadMs: number,
    ): Result<AdmittedRequest, SchedulerError> {
        const { route, workspace } = admitted;
        const rank = computeRank(route, workspace);
        const refusal = this.lateAdmission.check({
            rank,
            targetLatencyMs: route.targetLatencyMs,
            queueMs: Math.min(
                ...route.targets.map(({ service }) => this.options.getLongestWaitMs(service, rank)),
            ),
            // What is read may have arrived at any moment since the poll before.
            ageMs: unreadMs / 2 + this.options.timers.now() - arrivedAt,
        });
        return refusal === undefined ? Ok(admitted) : Err(refusal);
    }

    /**
     * Refuses a request that another VM has admitted by a newer configuration, whatever this VM's older one says of its route
     * and key; undefined for other requests, and without a configuration.
     */
    private findVersionRefusal(
        table: RouteTable | undefined,
        origin: PeerRequestOrigin | undefined,
    ): Result<never, SchedulerError> | undefined {
        const wantedVersion = origin?.configurationVersion;
        const version = table?.configuration.version;
        if (wantedVersion === undefined || version === undefined || version >= wantedVersion) {
            return undefined;
        }
        this.options.activeConfiguration.recordVersion(wantedVersion);
        return Err(
            SchedulerError.create("ConfigurationBehind", { version, wantedVersion }, {
                retryAfterMs: RETRY_AFTER_MS,
            }),
        );
    }

    /** Checks by this VM's own configuration that a request that another VM passes on may be here. */
    private checkRegion(admitted: AdmittedRequest): Result<AdmittedRequest, SchedulerError> {
        if (this.options.canTakePassedOn(admitted)) {
            return Ok(admitted);
        }
        const { route, workspace } = admitted;
        const regions = [...computeAllowedRegions(route, workspace) ?? []].toSorted().join(", ");
        return Err(SchedulerError.create(
            "RegionUnavailable",
            { target: route.name, regions },
            { retryAfterMs: RETRY_AFTER_MS },
        ));
    }

    private createRequest(
        { message, metadata, admitted, body, account, arrivedAt, origin }: ReceivedRequest,
    ): RoutedRequest {
        const { table, route, workspace } = admitted;
        const { timers, random } = this.options;
        const limitMs = Math.min(route.timeoutMs, metadata.deadlineMs ?? route.timeoutMs);
        const service = selectTarget(route, random.pickFraction());
        return {
            metadata,
            method: message.method ?? "GET",
            path: message.url ?? "/",
            rawHeaders: origin === undefined ? message.rawHeaders : removePeerHeaders(message.rawHeaders),
            body,
            route,
            service,
            tokensPerEvent: Option.toUndefined(table.findService(service))?.engine?.tokensPerEvent,
            workspace,
            arrivedAt,
            earlierAttemptsMs: origin?.elapsedMs
                ?? this.callerRetryDetector.estimateEarlierAttemptsMs(route.name, metadata.deadlineMs),
            configurationVersion: table.configuration.version,
            lifetime: RequestLifetime.create(timers, arrivedAt + limitMs),
            peer: origin?.vm,
            peerAllowedRegions: origin?.allowedRegions,
            isRepeatableForPeer: origin?.isRepeatable,
            account,
        };
    }

    private refuse(
        writer: ResponseWriter,
        id: string,
        route: string,
        error: SchedulerError,
        origin?: PeerRequestOrigin,
    ): void {
        const { logger, activeConfiguration, metrics } = this.options;
        const ageMs = activeConfiguration.getAgeMs();
        logger.write("RequestNotAdmitted", {
            id,
            route,
            error: error.name,
            version: activeConfiguration.routeTable?.configuration.version ?? 0,
            ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1,
            peer: origin?.vm ?? "",
            peerVersion: origin?.configurationVersion ?? 0,
        });
        metrics.recordRequest(route, error.name);
        writer.sendError(error);
    }

    private writeSummary(request: RoutedRequest, summary: ForwardSummary, delays: ProcessDelays): void {
        const { logger, metrics, timers } = this.options;
        const tookMs = Math.round(timers.now() - request.arrivedAt);
        metrics.recordRequest(request.route.name, summary.outcome);
        metrics.recordPhase(request.route.name, "unread", delays.unreadMs);
        metrics.recordPhase(request.route.name, "event-loop", delays.loopDelayMs);
        metrics.recordPhase(request.route.name, "total", tookMs);
        logger.write("RequestEnded", {
            id: request.metadata.attemptId,
            route: request.route.name,
            service: request.service,
            workspace: request.workspace?.name ?? "",
            version: request.configurationVersion,
            status: summary.status,
            outcome: summary.outcome,
            instance: summary.instance,
            peer: request.peer ?? "",
            sends: summary.sends,
            rank: computeRank(request.route, request.workspace),
            promptTokens: request.metadata.tokens?.prompt ?? 0,
            unreadMs: Math.round(delays.unreadMs),
            ahead: delays.ahead,
            loopDelayMs: Math.round(delays.loopDelayMs),
            waitedMs: summary.waitedMs,
            firstMs: summary.firstMs,
            predictedMs: summary.predictedMs,
            targetMs: request.route.targetLatencyMs,
            longestGapMs: summary.longestGapMs,
            gapTargetMs: request.route.gapTargetMs ?? 0,
            events: summary.events,
            tookMs,
            reason: summary.reason,
        });
    }
}

const cancelWhenCallerLeaves = (
    { lifetime }: RoutedRequest,
    { socket }: IncomingMessage,
    response: ServerResponse,
): void => {
    response.once("close", () => {
        if (!response.writableFinished) {
            lifetime.cancel("caller-gone");
        }
    });
    if (socket.destroyed) {
        lifetime.cancel("caller-gone");
    }
};

/** Measures a head as Node's parser does: what is not path, name or value doesn't count. */
const measureHead = ({ url = "", rawHeaders }: IncomingMessage): number =>
    rawHeaders.reduce((bytes, { length }) => bytes + length, url.length);

const getPath = (message: IncomingMessage): string => (message.url ?? "").split("?", 1)[0] ?? "";

/** Resolves when the response has been handed to the operating system, or when its connection is closed. */
const waitUntilFlushed = (response: ServerResponse): Promise<void> =>
    response.writableFinished || response.destroyed
        ? Promise.resolve()
        : new Promise(resolve => response.once("close", () => resolve()));
