/** A model engine in memory: continuous batching, a prefix cache, and answers that can be resumed. */
import {
    type CancelOutcome,
    END_OF_STREAM,
    type EndpointReport,
    type EngineEvent,
    PREFIX_BLOCK_TOKENS,
    type TimerService,
} from "wigeonpulley";

/** Behaviour of an engine. */
export interface EngineOptions {
    readonly timers: TimerService;
    readonly name: string;
    readonly serves: string;
    readonly version: string;
    /** Time to compute one prompt token, in milliseconds. */
    readonly prefillMsPerToken: number;
    /** Time of a step with an empty batch, in milliseconds. */
    readonly baseStepMs: number;
    /** Time that each stream adds to a step, in milliseconds. */
    readonly stepMsPerStream: number;
    /** Streams decoded at the same time; further ones wait inside the engine. */
    readonly maxBatch: number;
    /** Blocks of prompts that the cache holds. */
    readonly cacheBlocks: number;
    /** Time by which reports lag, in milliseconds. */
    readonly reportLagMs: number;
    /** True when orders with an old fencing number are refused; others ignore the number. */
    readonly checksFencing: boolean;
    /** Loads the weights of a version. */
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

/** Prompt tokens computed in one step, so that long prompts do not stop the running streams. */
const PREFILL_CHUNK_TOKENS = 512;

/** A request as the engine sees it. */
export interface EngineWork {
    readonly id: string;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly prefixBlocks: readonly number[];
}

/** An order: the version that the engine shall serve. A repeat has no further effect. */
export interface VersionOrder {
    readonly fencingNumber: number;
    readonly version: string;
}

/** The state of a request that another engine can continue. */
export interface ExportedRun {
    readonly work: EngineWork;
    readonly events: readonly EngineEvent[];
}

/** What the engine did for one request. */
export interface EngineRun {
    readonly work: EngineWork;
    /** Everything generated so far. */
    readonly events: EngineEvent[];
    /** Times that the request was started; more than 1 is a double run. */
    starts: number;
    state: "waiting" | "prefill" | "decode" | "finished" | "cancelled";
    /** Prompt tokens that were computed because they were not cached. */
    prefilledTokens: number;
    remainingPrefillTokens: number;
    readonly listeners: Set<() => void>;
}

/** The text of one token; it names the request, so that a crossed answer shows. */
export const createTokenText = (id: string, index: number): string => `${id}#${index} `;

/** One engine. */
export class EngineModel {
    /** Factor on all times; 5 makes the engine five times slower. */
    slowdown = 1;
    /** Runs by request, also the finished ones. */
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
    ): EngineModel {
        return new EngineModel({ ...DEFAULT_OPTIONS, ...options });
    }

    /** Name of the engine. */
    get name(): string {
        return this.options.name;
    }

    /** Starts a request; undefined when it was cancelled before it arrived. */
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

    /** Cancels a request; one that never arrived is refused from then on. */
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

    /** The events of a run from a position on, as they are generated. */
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

    /** The report as it was some time ago. */
    async createReport(): Promise<EndpointReport> {
        const running = this.countActive();
        await this.options.timers.sleep(this.options.reportLagMs);
        const evictedBlocks = this.unreportedEvictions.splice(0);
        const { serves } = this.options;
        return { serves, version: this.version, running, waiting: 0, evictedBlocks };
    }

    /** Carries an order out once the weights are loaded. False when it was refused because of its fencing number. */
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

    /** Stops a running request and hands its state out; undefined when it is not running. */
    exportRun(id: string): ExportedRun | undefined {
        const run = this.runs.get(id);
        if (run === undefined || run.state !== "decode") {
            return undefined;
        }
        this.cancel(id);
        return { work: run.work, events: [...run.events] };
    }

    /** Continues a request of another engine without computing its prompt again. */
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

    /** Requests that are not finished. */
    countActive(): number {
        return this.active.size;
    }

    private listRuns(state: EngineRun["state"]): readonly EngineRun[] {
        return [...this.active].filter(run => run.state === state);
    }

    /** Marks the prompt's blocks as used and returns how many tokens have to be computed. */
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

    /** Runs steps until nothing is left to do. */
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
            return; // Cancelled during the step.
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
