/**
 * Bounds the work of parsing in one turn of the event loop, over all connections of a process. A few bytes of input may cost as
 * much work as many (chunks of one byte, short header lines), so the bound counts callbacks of the parser and not bytes. Input
 * beyond the bound waits, and the connections that have cost least so far come first.
 */
import { measureWork, type WorkMeter } from "../processor/index.js";

/** Work that connections at the first level have cost at most; each further level allows a multiple of it. */
const FIRST_LEVEL_WORK = 256;
const LEVEL_FACTOR = 4;
const LEVELS = 8;
/** Bytes that are parsed at a time. The next part of a connection's input is as long as its last one suggests. */
const INITIAL_PART_BYTES = 2_048;
const MIN_PART_BYTES = 512;
const MAX_PART_BYTES = 16_384;
const PART_WORK = 256;
const MAX_PART_GROWTH = 2;

/** Input of one connection. */
export abstract class InputSource {
    /** Length of the next part, in bytes. */
    partBytes = INITIAL_PART_BYTES;
    /** Work since the connection was last idle, in callbacks of the parser. */
    work = 0;

    /** True when input has arrived that may be parsed now. */
    abstract get hasInput(): boolean;

    /** Parses up to `maxBytes` of the input; returns the work that it took, in callbacks. */
    abstract parse(maxBytes: number): number;
}

/** Limits and event loop of a scheduler. */
export interface InputSchedulerOptions {
    readonly maxWorkPerTurn: number;
    /** Called in each turn that leaves input of costly connections unparsed. */
    readonly onHeldBack: () => void;
    readonly work?: WorkMeter | undefined;
    /** Calls back in the next turn of the event loop, after it has polled. */
    readonly scheduleTurn?: (callback: () => void) => void;
}

/** Scheduler of one process. */
export class InputScheduler {
    /** Sources with input that waits, by the work that they have cost; each level in the order of arrival. */
    private readonly levels: readonly Set<InputSource>[] = Array.from({ length: LEVELS }, () => new Set());
    private readonly levelBySource = new Map<InputSource, Set<InputSource>>();
    private workInTurn = 0;
    private isParsing = false;
    private isTurnScheduled = false;

    private constructor(private readonly options: InputSchedulerOptions) {}

    /** Creates a scheduler without sources. */
    static create(options: InputSchedulerOptions): InputScheduler {
        return new InputScheduler(options);
    }

    /** Number of sources with input that waits for a later turn. */
    get waitingCount(): number {
        return this.levelBySource.size;
    }

    /** Parses the input of a source: now, as far as the turn has room for it, and in later turns. */
    add(source: InputSource): void {
        if (this.levelBySource.has(source) || !source.hasInput) {
            return;
        }
        this.addToLevel(source);
        this.parseWaiting();
    }

    /** Forgets a source whose connection is closed. */
    remove(source: InputSource): void {
        this.levelBySource.get(source)?.delete(source);
        this.levelBySource.delete(source);
    }

    private addToLevel(source: InputSource): void {
        const index = source.work < FIRST_LEVEL_WORK
            ? 0
            : 1 + Math.floor(Math.log(source.work / FIRST_LEVEL_WORK) / Math.log(LEVEL_FACTOR));
        const level = this.levels[Math.min(index, LEVELS - 1)];
        level?.add(source);
        if (level !== undefined) {
            this.levelBySource.set(source, level);
        }
    }

    private parseWaiting(): void {
        // A parser can't be called from one of its callbacks, which may add sources.
        if (this.isParsing) {
            return;
        }
        this.isParsing = true;
        try {
            while (this.workInTurn < this.options.maxWorkPerTurn) {
                const source = this.removeNext();
                if (source === undefined) {
                    break;
                }
                this.parsePart(source);
            }
        }
        finally {
            // What a callback throws ends no connection but its own.
            this.isParsing = false;
            this.scheduleTurn();
        }
    }

    private removeNext(): InputSource | undefined {
        const [source] = this.levels.find(({ size }) => size > 0) ?? [];
        if (source !== undefined) {
            this.remove(source);
        }
        return source;
    }

    private parsePart(source: InputSource): void {
        // The server may have paused the connection since it was added.
        if (!source.hasInput) {
            return;
        }
        const { partBytes } = source;
        const work = measureWork(this.options.work, "parsing", () => source.parse(partBytes));
        this.workInTurn += work;
        source.work += work;
        source.partBytes = Math.max(
            MIN_PART_BYTES,
            Math.min(MAX_PART_BYTES, partBytes * Math.min(MAX_PART_GROWTH, PART_WORK / work)),
        );
        if (source.hasInput && !this.levelBySource.has(source)) {
            this.addToLevel(source);
        }
    }

    private scheduleTurn(): void {
        const { scheduleTurn = setImmediate, onHeldBack } = this.options;
        // A little work may count for several turns, which saves ordinary traffic a further turn after each.
        const { maxWorkPerTurn } = this.options;
        if (this.isTurnScheduled || (this.workInTurn < maxWorkPerTurn / 2 && this.waitingCount === 0)) {
            return;
        }
        this.isTurnScheduled = true;
        scheduleTurn(() => {
            // What waits at the first level may be a burst of ordinary requests.
            if (this.levels.some(({ size }, index) => index > 0 && size > 0)) {
                onHeldBack();
            }
            this.isTurnScheduled = false;
            this.workInTurn = 0;
            this.parseWaiting();
        });
    }
}
