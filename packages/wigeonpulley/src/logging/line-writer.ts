/**
 * Writes lines to a stream in batches. Lines that the stream has not accepted are buffered up to a limit; beyond it lines
 * are dropped and counted, so that logging never blocks the process.
 */
import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Writable } from "node:stream";

/** Bytes that may wait for the stream before lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Time for which lines are collected before they are written. */
const BATCH_INTERVAL_MS = 50;

const STANDARD_OUTPUT_DESCRIPTOR = 1;

/** Opens standard output without blocking writes: Node writes to a pipe synchronously unless it is opened as a socket. */
export const openStandardOutput = (): Writable => {
    const stats = fstatSync(STANDARD_OUTPUT_DESCRIPTOR);
    return stats.isFIFO() || stats.isSocket()
        ? new Socket({ fd: STANDARD_OUTPUT_DESCRIPTOR, readable: false, writable: true })
        : process.stdout;
};

/** Buffered writer of lines to one stream. */
export class LineWriter {
    private lines: string[] = [];
    private droppedCount = 0;
    private isFlushScheduled = false;

    private constructor(
        private readonly stream: Writable,
        private readonly formatDroppedLine: (count: number) => string,
    ) {
        // Without a listener the process would end when the reader of the output goes away.
        stream.on("error", () => undefined);
    }

    /** Creates a writer; `formatDroppedLine` formats the line that reports how many lines were dropped. */
    static create(stream: Writable, formatDroppedLine: (count: number) => string): LineWriter {
        return new LineWriter(stream, formatDroppedLine);
    }

    /** Appends a line to the next batch, or drops it when the stream does not keep up. */
    write(line: string): void {
        if (this.stream.writableLength > MAX_BUFFERED_BYTES) {
            this.droppedCount += 1;
            return;
        }
        this.lines.push(line);
        if (!this.isFlushScheduled) {
            this.isFlushScheduled = true;
            setTimeout(() => this.flush(), BATCH_INTERVAL_MS).unref();
        }
    }

    /** Writes what is buffered and resolves when the stream has accepted it or has failed. */
    close(): Promise<void> {
        this.flush();
        return new Promise(resolve => {
            this.stream.write("", () => resolve());
        });
    }

    private flush(): void {
        this.isFlushScheduled = false;
        if (this.droppedCount > 0) {
            this.lines.push(this.formatDroppedLine(this.droppedCount));
            this.droppedCount = 0;
        }
        if (this.lines.length > 0) {
            this.stream.write(`${this.lines.join("\n")}\n`);
            this.lines = [];
        }
    }
}
