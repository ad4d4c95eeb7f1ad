import { fc, test as property } from "@fast-check/vitest";
import { EventEmitter } from "node:events";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { expect, test } from "vitest";
import {
    ByteBudget,
    type ClientSettings,
    clientSettingsSchema,
    ConnectionMonitor,
    InputScheduler,
    LimitRecorder,
    MetricsRegistry,
    SendQueueReader,
    VirtualTimerService,
} from "wigeonpulley";

const UNREAD_MS = 2_000;
const RESPONSE_BYTES = 16_777_216;
/** Longest time from the last byte that a client reads until its connection is closed. */
const MAX_CLOSE_MS = 2 * UNREAD_MS;

/** A connection with one long response, as far as the monitor looks at it. */
class FakeSocket extends EventEmitter {
    bytesRead = 0;
    readableLength = 0;
    /** Node.js counts a response that it was given at once as unsent until the kernel has taken all of it. */
    writableLength = RESPONSE_BYTES;
    bytesWritten = RESPONSE_BYTES;
    destroyed = false;
    /** Bytes that the kernel has sent and the client has not acknowledged. */
    sendQueue = 3_000_000;

    resetAndDestroy(): void {
        this.destroyed = true;
        this.emit("close");
    }

    read(): undefined {
        return undefined;
    }
}

class FakeSendQueues extends SendQueueReader {
    override read(sockets: readonly Socket[]): Promise<ReadonlyMap<Socket, number>> {
        return Promise.resolve(
            new Map(sockets.map(socket => [socket, (socket as unknown as FakeSocket).sendQueue])),
        );
    }
}

const createMonitor = (settings: Partial<ClientSettings> = {}, limitBytes = 1_000_000_000) => {
    const timers = VirtualTimerService.create();
    const budget = ByteBudget.create({ timers, limitBytes });
    const metrics = MetricsRegistry.create();
    const logger = { write: () => undefined } as never;
    const monitor = ConnectionMonitor.create({
        timers,
        settings: clientSettingsSchema.parse({ unreadMs: UNREAD_MS, ...settings }),
        budget,
        recorder: LimitRecorder.create({ timers, logger, metrics, budget }),
        inputs: InputScheduler.create({ maxWorkPerTurn: 1, onHeldBack: () => undefined }),
        sendQueues: new FakeSendQueues(),
    });
    const server = new EventEmitter();
    monitor.watch(server as Server, { maxConnections: 1_000, open: 0 });
    return {
        timers,
        connect: (): FakeSocket => {
            const socket = new FakeSocket();
            server.emit("connection", socket);
            return socket;
        },
    };
};

/** Advances time in small steps; the client acknowledges at the given times. */
const playReads = async (
    timers: VirtualTimerService,
    socket: FakeSocket,
    readTimes: readonly number[],
    endMs: number,
): Promise<void> => {
    for (let time = 0; time < endMs; time += 10) {
        if (readTimes.some(readTime => readTime >= time && readTime < time + 10)) {
            socket.sendQueue -= 95_232;
        }
        await timers.advance(10);
    }
};

// Guards against CUT: the kernel's queue was looked at during the second half of the limit only, or less if the loop was late.
test("a client that reads at intervals below the limit keeps its connection", async () => {
    const { timers, connect } = createMonitor();
    const socket = connect();
    await playReads(timers, socket, [1_450, 2_550, 4_400, 6_300], 8_000);
    expect(socket.destroyed).toBe(false);
});

test("a client that reads nothing loses its connection", async () => {
    const { timers, connect } = createMonitor();
    const socket = connect();
    await playReads(timers, socket, [], MAX_CLOSE_MS);
    expect(socket.destroyed).toBe(true);
});

property.prop([fc.array(fc.integer({ min: 50, max: UNREAD_MS - 20 }), { maxLength: 20 })], {
    numRuns: 100,
    seed: 55,
})("no client is cut while it reads, and each is soon after it has stopped", async intervals => {
    const { timers, connect } = createMonitor();
    const socket = connect();
    let readAt = 0;
    const readTimes = intervals.map(interval => readAt += interval);
    await playReads(timers, socket, readTimes, readAt + UNREAD_MS - 20);
    expect(socket.destroyed, `reads at ${readTimes.join(", ")} ms`).toBe(false);
    await playReads(timers, socket, [], MAX_CLOSE_MS - UNREAD_MS + 20);
    expect(socket.destroyed).toBe(true);
});

// Guards against CUT: a caller that reads slowly was closed before clients that read nothing, because it had come first.
test("while memory is short, clients that read nothing are closed before one that reads slowly", async () => {
    const { timers, connect } = createMonitor({ unreadMs: 10_000 }, 2 * RESPONSE_BYTES);
    const reader = connect();
    await playReads(timers, reader, [], 600);
    const crowd = Array.from({ length: 8 }, connect);
    const readTimes = Array.from({ length: 30 }, (unused, index) => index * 300);
    await playReads(timers, reader, readTimes, 9_000);
    expect(crowd.filter(({ destroyed }) => destroyed).length).toBeGreaterThanOrEqual(7);
    expect(reader.destroyed).toBe(false);
});
