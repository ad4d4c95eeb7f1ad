/** In-memory model engine: continuous batching with chunked prefill, an LRU prefix cache, and streams that can be resumed. */
import {
    type CancelOutcome,
    END_OF_STREAM,
    type EndpointReport,
    type EngineEvent,
    PREFIX_BLOCK_TOKENS,
    type TimerService,
} from "wigeonpulley";

/** Speed, capacity and version of an engine. */
export interface EngineOptions {
    readonly timers: TimerService;
    readonly name: string;
    readonly serves: string;
    readonly version: string;
    /** Prefill time of one prompt token, in milliseconds. */
    readonly prefillMsPerToken: number;
    /** Duration of a step with an empty batch, in milliseconds. */
    readonly baseStepMs: number;
    /** Time that each stream adds to a step, in milliseconds. */
    readonly stepMsPerStream: number;
    /** Maximum number of requests in prefill or decode; further ones wait inside the engine. */
    readonly maxBatch: number;
    /** Maximum number of prompt blocks in the prefix cache. */
    readonly cacheBlocks: number;
    /** Age of the load in a report, in milliseconds. */
    readonly reportLagMs: number;
    /** True if orders with an outdated fencing number are refused; otherwise the number is ignored. */
    readonly checksFencing: boolean;
    /** Loads the weights of a new version. */
    readonly loadWeights: () => Promise<void>;
}

const DEFAULT_OPTIONS = {
    version: "v1",
    prefillMsPerToken: 0.1,
    baseStepMs: 20,
    stepMsPerStream: 1,
    maxBatch: 64,
    cacheBlocks: 1_000,
    reportLagMs: 500,
    checksFencing: false,
    loadWeights: () => Promise.resolve(),
};

/** Maximum number of prompt tokens in one step, so that long prompts don't stall the running streams. */
const PREFILL_CHUNK_TOKENS = 512;

/** Request to an engine. */
export interface EngineWork {
    readonly id: string;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly prefixBlocks: readonly number[];
}

/** Rollout order: the version that the engine must serve. Idempotent. */
export interface VersionOrder {
    readonly fencingNumber: number;
    readonly version: string;
}

/** State of a running request with which another engine continues it. */
export interface ExportedRun {
    readonly work: EngineWork;
    readonly events: readonly EngineEvent[];
}

/** Progress of one request. */
export interface EngineRun {
    readonly work: EngineWork;
    /** Events generated so far. */
    readonly events: EngineEvent[];
    /** Times that the request was dispatched to this engine; more than 1 is a duplicate execution. */
    starts: number;
    state: "waiting" | "prefill" | "decode" | "finished" | "cancelled";
    /** Prompt tokens that weren't in the prefix cache. */
    prefilledTokens: number;
    remainingPrefillTokens: number;
    readonly listeners: Set<() => void>;
}

/** Returns the text of one token. It names the request, so that tests detect a response to another request. */
export const createTokenText = (id: string, index: number): string => `${id}#${index} `;

/** Simulated engine that serves one model. */
export class SimulatedEngine {
    /** Factor on the duration of each step; 5 makes the engine five times slower. */
    slowdown = 1;
    /** Runs by request identifier, including the finished ones. */
    readonly runs = new Map<string, EngineRun>();
    private readonly options: EngineOptions;
    private readonly cancelledBeforeArrival = new Set<string>();
    private readonly cache = new Set<number>();
    private unreportedEvictions: number[] = [];
    private readonly active = new Set<EngineRun>();
    private isStepping = false;
    private version: string;
    private highestFencingNumber = -1;

    private constructor(options: EngineOptions) {
        this.options = options;
        this.version = options.version;
    }

    /** Creates an idle engine. */
    static create(
        options: Pick<EngineOptions, "timers" | "name" | "serves"> & Partial<EngineOptions>,
    ): SimulatedEngine {
        return new SimulatedEngine({ ...DEFAULT_OPTIONS, ...options });
    }

    get name(): string {
        return this.options.name;
    }

    /** Starts a request, or returns the run that it already has. Undefined if it was cancelled before it arrived. */
    start(work: EngineWork): EngineRun | undefined {
        if (this.cancelledBeforeArrival.has(work.id)) {
            return undefined;
        }
        const existing = this.runs.get(work.id);
        if (existing !== undefined) {
            existing.starts += 1;
            return existing;
        }
        const uncachedTokens = this.updateCache(work);
        const run: EngineRun = {
            work,
            events: [],
            starts: 1,
            state: "waiting",
            prefilledTokens: uncachedTokens,
            remainingPrefillTokens: uncachedTokens,
            listeners: new Set(),
        };
        this.runs.set(work.id, run);
        this.active.add(run);
        this.startStepping();
        return run;
    }

    /** Cancels a request. A request that hasn't arrived yet is refused when it does. */
    cancel(id: string): CancelOutcome {
        const run = this.runs.get(id);
        if (run === undefined) {
            this.cancelledBeforeArrival.add(id);
            return "never-seen";
        }
        if (run.state === "finished") {
            return "finished";
        }
        run.state = "cancelled";
        this.active.delete(run);
        return "cancelled";
    }

    /** Reads the events of a run from a sequence number on, as they are generated, up to the end of the stream. */
    async *readEvents(run: EngineRun, sequence: number): AsyncGenerator<EngineEvent, void, undefined> {
        for (let next = sequence;;) {
            const event = run.events[next];
            if (event === undefined) {
                await new Promise<void>(resolve => {
                    const listener = (): void => {
                        run.listeners.delete(listener);
                        resolve();
                    };
                    run.listeners.add(listener);
                });
                continue;
            }
            yield event;
            next += 1;
            if (event.data === END_OF_STREAM) {
                return;
            }
        }
    }

    /** Creates a report whose load is `reportLagMs` old. Each evicted block is in one report only. */
    async createReport(): Promise<EndpointReport> {
        const running = this.countActive();
        await this.options.timers.sleep(this.options.reportLagMs);
        const evictedBlocks = this.unreportedEvictions.splice(0);
        const { serves } = this.options;
        return { serves, version: this.version, running, waiting: 0, evictedBlocks };
    }

    /** Applies a rollout order once the weights are loaded. False if it was refused for its fencing number. */
    async applyOrder(order: VersionOrder): Promise<boolean> {
        const isOutdated = order.fencingNumber < this.highestFencingNumber;
        if (this.options.checksFencing && isOutdated) {
            return false;
        }
        this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber);
        if (order.version !== this.version) {
            await this.options.loadWeights();
            this.version = order.version;
        }
        return true;
    }

    /** Cancels a request and returns its state for another engine; undefined if it isn't in decode. */
    exportRun(id: string): ExportedRun | undefined {
        const run = this.runs.get(id);
        if (run === undefined || run.state !== "decode") {
            return undefined;
        }
        this.cancel(id);
        return { work: run.work, events: [...run.events] };
    }

    /** Continues a request of another engine without a second prefill. */
    importRun({ work, events }: ExportedRun): EngineRun {
        const run: EngineRun = {
            work,
            events: [...events],
            starts: 0,
            state: "decode",
            prefilledTokens: 0,
            remainingPrefillTokens: 0,
            listeners: new Set(),
        };
        this.runs.set(work.id, run);
        this.active.add(run);
        this.startStepping();
        return run;
    }

    /** Counts the requests that are waiting, in prefill or in decode. */
    countActive(): number {
        return this.active.size;
    }

    private listRuns(state: EngineRun["state"]): readonly EngineRun[] {
        return [...this.active].filter(run => run.state === state);
    }

    /** Adds the prompt's blocks to the LRU cache and returns the number of tokens that weren't cached. */
    private updateCache({ prefixBlocks, promptTokens }: EngineWork): number {
        const firstMissing = prefixBlocks.findIndex(block => !this.cache.has(block));
        const cachedBlocks = firstMissing === -1 ? prefixBlocks.length : firstMissing;
        for (const block of prefixBlocks) {
            this.cache.delete(block);
            this.cache.add(block);
        }
        for (const block of this.cache) {
            if (this.cache.size <= this.options.cacheBlocks) {
                break;
            }
            this.cache.delete(block);
            this.unreportedEvictions.push(block);
        }
        return Math.max(0, promptTokens - cachedBlocks * PREFIX_BLOCK_TOKENS);
    }

    /** Runs steps until no request is left; has no effect while they run. */
    private startStepping(): void {
        if (this.isStepping) {
            return;
        }
        this.isStepping = true;
        this.scheduleStep();
    }

    private scheduleStep(): void {
        const { timers, maxBatch, baseStepMs, stepMsPerStream, prefillMsPerToken } = this.options;
        this.admit(maxBatch);
        const decoding = this.listRuns("decode");
        const chunk = this.createPrefillChunk();
        if (decoding.length === 0 && chunk === undefined) {
            this.isStepping = false;
            return;
        }
        const durationMs = (baseStepMs + stepMsPerStream * decoding.length
            + prefillMsPerToken * (chunk?.tokens ?? 0)) * this.slowdown;
        timers.schedule(durationMs, () => {
            decoding.forEach(run => this.appendToken(run));
            chunk?.complete();
            this.scheduleStep();
        });
    }

    private admit(maxBatch: number): void {
        let freeSlots = maxBatch - this.listRuns("decode").length - this.listRuns("prefill").length;
        for (const run of this.listRuns("waiting")) {
            if (freeSlots <= 0) {
                return;
            }
            run.state = "prefill";
            freeSlots -= 1;
        }
    }

    private createPrefillChunk(): { readonly tokens: number; readonly complete: () => void; } | undefined {
        const [run] = this.listRuns("prefill");
        if (run === undefined) {
            return undefined;
        }
        const tokens = Math.min(PREFILL_CHUNK_TOKENS, run.remainingPrefillTokens);
        return {
            tokens,
            complete: () => {
                run.remainingPrefillTokens -= tokens;
                if (run.remainingPrefillTokens <= 0 && run.state === "prefill") {
                    run.state = "decode";
                    this.appendToken(run);
                }
            },
        };
    }

    private appendToken(run: EngineRun): void {
        if (run.state !== "decode") {
            return; // The request was cancelled during the step.
        }
        const sequence = run.events.length;
        const isLast = sequence + 1 >= run.work.answerTokens;
        run.events.push({ sequence, data: this.formatChunk(run.work.id, sequence, isLast) });
        if (isLast) {
            run.events.push({ sequence: sequence + 1, data: END_OF_STREAM });
            run.state = "finished";
            this.active.delete(run);
        }
        [...run.listeners].forEach(listener => listener());
    }

    private formatChunk(id: string, index: number, isLast: boolean): string {
        return JSON.stringify({
            id,
            object: "chat.completion.chunk",
            model: this.options.serves,
            choices: [{
                index: 0,
                delta: { content: createTokenText(id, index) },
                finish_reason: isLast ? "stop" : undefined,
            }],
        });
    }
}
