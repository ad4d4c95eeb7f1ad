/** Endpoint client that calls simulated engines and services in the same process and injects connection faults. */
import { Err, Ok, type Result } from "ts-results-es";
import {
    type CancelOutcome,
    type DispatchPermit,
    type DispatchResult,
    type Endpoint,
    EndpointClient,
    type EndpointReport,
    type EndpointRequest,
    type EngineEvent,
    type EngineStream,
    parseChatBody,
    SchedulerError,
    type ServiceResponse,
    type StartedStream,
    type TimerService,
} from "wigeonpulley";
import type { SimulatedService } from "../service/simulated-service.js";
import type { EngineRun, SimulatedEngine } from "./simulated-engine.js";

/** What happens to one operation on an endpoint. */
export type EndpointFault =
    | { readonly kind: "none"; }
    /** The connection is refused. */
    | { readonly kind: "no-connection"; }
    /** The request is lost, and the client can't tell whether it arrived. */
    | { readonly kind: "lost-request"; }
    /** The request arrives, and the connection is lost before the response. */
    | { readonly kind: "lost-answer"; }
    /** The request arrives after a delay, when the client has given up already. */
    | { readonly kind: "arrives-late"; readonly delayMs: number; }
    /** The stream stalls after some events. */
    | { readonly kind: "silent"; readonly afterEvents: number; }
    /** The connection of the stream is lost after some events. */
    | { readonly kind: "cut"; readonly afterEvents: number; }
    /** The stream omits one event. */
    | { readonly kind: "gap"; readonly afterEvents: number; }
    /** The stream contains one event twice. */
    | { readonly kind: "repeat"; readonly afterEvents: number; }
    /** The connection delivers the response to another request. */
    | { readonly kind: "crossed"; };

/** Operation on an endpoint. */
export type EndpointOperation = "dispatch" | "resume" | "cancel" | "report";

const NO_FAULT: EndpointFault = { kind: "none" };
const DEFAULT_ANSWER_TOKENS = 64;

/** Time until a client detects a lost connection, in milliseconds. */
const LOSS_DETECTION_MS = 100;

/** Client of engines and services in the same process. */
export class SimulatedEndpointClient extends EndpointClient {
    /** Chooses the fault of each operation. */
    chooseFault: (operation: EndpointOperation, endpoint: string, requestId: string) => EndpointFault = () =>
        NO_FAULT;

    private constructor(
        private readonly timers: TimerService,
        private readonly delayMs: number,
        readonly engines: Map<string, SimulatedEngine>,
        readonly services: Map<string, SimulatedService>,
    ) {
        super();
    }

    /** Creates a client without endpoints; each message takes `delayMs` milliseconds. */
    static create(timers: TimerService, delayMs = 1): SimulatedEndpointClient {
        return new SimulatedEndpointClient(timers, delayMs, new Map(), new Map());
    }

    /** Creates a client with the same endpoints and faults that uses the timers of another VM. */
    createView(timers: TimerService): SimulatedEndpointClient {
        const view = new SimulatedEndpointClient(timers, this.delayMs, this.engines, this.services);
        view.chooseFault = (operation, endpoint, requestId) =>
            this.chooseFault(operation, endpoint, requestId);
        return view;
    }

    override async dispatchToEngine(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
    ): Promise<DispatchResult<StartedStream>> {
        const consumedPermit = permit.consume();
        const fault = this.chooseFault("dispatch", endpoint.name, request.id);
        await this.timers.sleep(this.delayMs);
        const engine = this.engines.get(endpoint.name);
        if (fault.kind === "no-connection" || engine === undefined) {
            const error = SchedulerError.create("EndpointUnreachable", {
                endpoint: endpoint.name,
                reason: "refused",
            });
            return Err({ kind: "not-sent", permit: consumedPermit.restore("no-connection"), error });
        }
        if (fault.kind === "arrives-late") {
            this.timers.schedule(fault.delayMs, () => void this.startRun(engine, request));
        }
        if (fault.kind === "lost-request" || fault.kind === "arrives-late") {
            await this.timers.sleep(LOSS_DETECTION_MS);
            return Err({ kind: "maybe-sent", consumedPermit, error: createError(endpoint, "lost") });
        }
        const run = this.startRun(engine, request);
        if (run === undefined) {
            return Err({ kind: "rejected", error: createError(endpoint, "cancelled") });
        }
        if (fault.kind === "lost-answer") {
            await this.timers.sleep(LOSS_DETECTION_MS);
            return Err({ kind: "maybe-sent", consumedPermit, error: createError(endpoint, "lost") });
        }
        return Ok({ consumedPermit, stream: this.openStream(engine, run, 0, fault) });
    }

    override async dispatchToService(
        endpoint: Endpoint,
        permit: DispatchPermit,
        request: EndpointRequest,
        signal: AbortSignal,
    ): Promise<DispatchResult<ServiceResponse>> {
        const consumedPermit = permit.consume();
        const fault = this.chooseFault("dispatch", endpoint.name, request.id);
        await this.timers.sleep(this.delayMs);
        const service = this.services.get(endpoint.name);
        if (fault.kind === "no-connection" || service === undefined) {
            const error = SchedulerError.create("EndpointUnreachable", {
                endpoint: endpoint.name,
                reason: "refused",
            });
            return Err({ kind: "not-sent", permit: consumedPermit.restore("no-connection"), error });
        }
        if (fault.kind === "lost-request") {
            return Err({ kind: "maybe-sent", consumedPermit, error: createError(endpoint, "lost") });
        }
        const response = service.run(request.id, request.idempotencyKey, request.path)
            .then(async value => {
                await this.timers.sleep(this.delayMs);
                return value;
            });
        if (fault.kind === "lost-answer" || fault.kind === "cut") {
            return Err({ kind: "maybe-sent", consumedPermit, error: createError(endpoint, "lost") });
        }
        if (fault.kind === "silent") {
            await new Promise<void>(resolve =>
                signal.addEventListener("abort", () => resolve(), { once: true })
            );
            return Err({ kind: "maybe-sent", consumedPermit, error: createError(endpoint, "aborted") });
        }
        return Ok(await response);
    }

    override async resume(
        endpoint: Endpoint,
        requestId: string,
        sequence: number,
    ): Promise<Result<EngineStream | undefined, SchedulerError>> {
        const fault = this.chooseFault("resume", endpoint.name, requestId);
        await this.timers.sleep(this.delayMs);
        const engine = this.engines.get(endpoint.name);
        if (engine === undefined || fault.kind === "no-connection") {
            return Err(createError(endpoint, "refused"));
        }
        const run = engine.runs.get(requestId);
        return Ok(run === undefined ? undefined : this.openStream(engine, run, sequence, fault));
    }

    override async cancel(
        endpoint: Endpoint,
        requestId: string,
    ): Promise<Result<CancelOutcome, SchedulerError>> {
        const fault = this.chooseFault("cancel", endpoint.name, requestId);
        await this.timers.sleep(this.delayMs);
        const engine = this.engines.get(endpoint.name);
        if (engine === undefined || fault.kind === "no-connection") {
            return Err(createError(endpoint, "refused"));
        }
        return Ok(engine.cancel(requestId));
    }

    override async readReport(endpoint: Endpoint): Promise<Result<EndpointReport, SchedulerError>> {
        const fault = this.chooseFault("report", endpoint.name, "");
        await this.timers.sleep(this.delayMs);
        if (fault.kind !== "none") {
            return Err(createError(endpoint, "refused"));
        }
        const engine = this.engines.get(endpoint.name);
        if (engine !== undefined) {
            return Ok(await engine.createReport());
        }
        return this.services.has(endpoint.name)
            ? Ok({
                serves: endpoint.serves,
                version: endpoint.version,
                running: 0,
                waiting: 0,
                evictedBlocks: [],
            })
            : Err(createError(endpoint, "refused"));
    }

    private startRun(engine: SimulatedEngine, request: EndpointRequest): EngineRun | undefined {
        const { promptTokens, maximumTokens, prefixBlocks } = parseChatBody(JSON.parse(request.body))
            .unwrap();
        const answerTokens = maximumTokens ?? DEFAULT_ANSWER_TOKENS;
        return engine.start({ id: request.id, promptTokens, answerTokens, prefixBlocks });
    }

    private openStream(
        engine: SimulatedEngine,
        run: EngineRun,
        from: number,
        fault: EndpointFault,
    ): EngineStream {
        const other = fault.kind === "crossed" ? findOtherRun(engine, run) : run;
        return {
            requestId: other.work.id,
            events: this.injectFault(engine.readEvents(other, from), fault),
            close: () => undefined,
        };
    }

    private async *injectFault(
        events: AsyncIterable<EngineEvent>,
        fault: EndpointFault,
    ): AsyncGenerator<EngineEvent, void, undefined> {
        let count = 0;
        for await (const event of events) {
            if (fault.kind === "silent" && count >= fault.afterEvents) {
                await new Promise<never>(() => undefined);
            }
            if (fault.kind === "cut" && count >= fault.afterEvents) {
                throw SchedulerError.create("InternalError", { reason: "connection reset" });
            }
            count += 1;
            if (fault.kind === "gap" && count === fault.afterEvents) {
                continue;
            }
            if (fault.kind === "repeat" && count === fault.afterEvents) {
                yield event;
            }
            yield event;
        }
    }
}

const findOtherRun = (engine: SimulatedEngine, run: EngineRun): EngineRun =>
    [...engine.runs.values()].find(candidate => candidate !== run) ?? run;

const createError = (endpoint: Endpoint, reason: string): SchedulerError =>
    SchedulerError.create("EndpointFailed", { endpoint: endpoint.name, reason });
