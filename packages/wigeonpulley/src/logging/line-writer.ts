/**
 * Writes lines to a stream in batches. The memory for lines that the stream does not take is bounded: beyond it lines are
 * dropped and counted, so that logging never blocks the process.
 */
import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Writable } from "node:stream";

/** Most bytes that wait for the stream. */
const MOST_WAITING_BYTES = 1_048_576;
/** Time for which lines gather before they are written, in milliseconds. */
const BATCH_MS = 50;

const STANDARD_OUTPUT = 1;

/** Standard output without blocking: Node writes to a pipe synchronously unless it is opened as a socket. */
export const openStandardOutput = (): Writable => {
    const status = fstatSync(STANDARD_OUTPUT);
    return status.isFIFO() || status.isSocket()
        ? new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true })
        : process.stdout;
};

/** Writer of one stream. */
export class LineWriter {
    private lines: string[] = [];
    private dropped = 0;
    private isPlanned = false;

    private constructor(
        private readonly stream: Writable,
        private readonly formatDropped: (count: number) => string,
    ) {
        // A reader that goes away ends the output, not the process.
        stream.on("error", () => undefined);
    }

    /** Creates a writer; `formatDropped` makes the line that tells of dropped ones. */
    static create(stream: Writable, formatDropped: (count: number) => string): LineWriter {
        return new LineWriter(stream, formatDropped);
    }

    /** Adds a line. */
    write(line: string): void {
        if (this.stream.writableLength > MOST_WAITING_BYTES) {
            this.dropped += 1;
            return;
        }
        this.lines.push(line);
        if (!this.isPlanned) {
            this.isPlanned = true;
            setTimeout(() => this.flush(), BATCH_MS).unref();
        }
    }

    /** Resolves when everything has been handed over to the reader, or when the reader is gone. */
    close(): Promise<void> {
        this.flush();
        return new Promise(resolve => {
            this.stream.write("", () => resolve());
        });
    }

    private flush(): void {
        this.isPlanned = false;
        if (this.dropped > 0) {
            this.lines.push(this.formatDropped(this.dropped));
            this.dropped = 0;
        }
        if (this.lines.length > 0) {
            this.stream.write(`${this.lines.join("\n")}\n`);
            this.lines = [];
        }
    }
}
