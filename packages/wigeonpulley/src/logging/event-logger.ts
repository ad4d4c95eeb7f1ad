/** Writes events of the catalogue through consola, one JSON object a line. */
import { type ConsolaInstance, createConsola } from "consola";
import type { SchedulerError } from "../errors/index.js";
import { measureWork, type WorkMeter } from "../processor/index.js";
import {
    eventCatalogue,
    type EventDetails,
    type EventEntry,
    type EventLevel,
    type EventName,
} from "./event-catalogue.js";
import { LineWriter, openStandardOutput } from "./line-writer.js";

/** Numeric log levels of consola. */
const CONSOLA_LEVELS: Record<EventLevel, number> = { error: 0, warn: 1, info: 3, debug: 4 };

/** One logged event. */
export interface LoggedEvent {
    readonly number: number;
    readonly name: EventName;
    readonly level: EventLevel;
    readonly message: string;
    readonly details: object;
}

/** Destination of events. */
export abstract class EventSink {
    /** Writes one event. */
    abstract write(event: LoggedEvent): void;

    /** True when events of a level are written; the messages of others needn't be formatted. */
    abstract isEnabled(level: EventLevel): boolean;

    /** Resolves when all written events have been handed to the output. */
    close(): Promise<void> {
        return Promise.resolve();
    }
}

/** Writes events to standard output, one JSON object a line. */
export class ConsolaSink extends EventSink {
    private readonly consola: ConsolaInstance;
    private readonly writer: LineWriter;

    private constructor(private readonly level: EventLevel, vm: string) {
        super();
        const formatLine = (date: Date, name: string, fields: object): string =>
            JSON.stringify({ time: date.toISOString(), vm, name, ...fields });
        this.writer = LineWriter.create(openStandardOutput(), count => {
            const { number, level: dropEventLevel, message } = eventCatalogue.LinesDropped;
            const fields = {
                event: number,
                level: dropEventLevel,
                message: message({ count }),
                details: { count },
            };
            return formatLine(new Date(), "LinesDropped", fields);
        });
        this.consola = createConsola({
            level: CONSOLA_LEVELS[level],
            reporters: [{
                log: ({ date, args: [name, fields] }) =>
                    this.writer.write(formatLine(date, String(name), fields as object)),
            }],
        });
    }

    /** Creates a sink for one VM. */
    static create(level: EventLevel, vm: string): ConsolaSink {
        return new ConsolaSink(level, vm);
    }

    override isEnabled(level: EventLevel): boolean {
        return CONSOLA_LEVELS[level] <= CONSOLA_LEVELS[this.level];
    }

    override write(event: LoggedEvent): void {
        const { number, name, level, message, details } = event;
        // Passes two arguments, because consola unpacks a single object that has a `message`.
        this.consola[level](name, { event: number, level, message, details });
    }

    override close(): Promise<void> {
        return this.writer.close();
    }
}

/** Keeps events in memory; for tests. */
export class MemorySink extends EventSink {
    /** Everything written so far. */
    readonly events: LoggedEvent[] = [];

    /** Creates an empty sink. */
    static create(): MemorySink {
        return new MemorySink();
    }

    override isEnabled(): boolean {
        return true;
    }

    override write(event: LoggedEvent): void {
        this.events.push(event);
    }
}

/** Logger of one process. */
export class EventLogger {
    private work: WorkMeter | undefined;

    private constructor(private readonly sink: EventSink) {}

    /** Creates a logger that writes to a sink. */
    static create(sink: EventSink): EventLogger {
        return new EventLogger(sink);
    }

    /** Adds the time of writing to a meter. */
    observeWork(work: WorkMeter): void {
        this.work = work;
    }

    /** Writes an event of the catalogue. */
    write<Name extends EventName>(name: Name, details: EventDetails<Name>): void {
        const entry = eventCatalogue[name] as EventEntry<EventDetails<Name>>;
        const { number, level } = entry;
        if (!this.sink.isEnabled(level)) {
            return;
        }
        measureWork(
            this.work,
            "logs",
            () => this.sink.write({ number, name, level, message: entry.message(details), details }),
        );
    }

    /** Resolves when all written events have been handed to the output. */
    close(): Promise<void> {
        return this.sink.close();
    }

    /** Writes an error as the event Failure. */
    writeError(error: SchedulerError): void {
        this.write("Failure", { error: error.name, message: error.message });
    }
}
