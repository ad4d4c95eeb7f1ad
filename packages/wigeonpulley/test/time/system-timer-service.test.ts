/** Order in which late timers of the real clocks and input that has arrived are handled. */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { SystemTimerService } from "../../src/time/index.js";

const BLOCK_MS = 120;
const cleanups: (() => void)[] = [];

afterEach(() => cleanups.splice(0).forEach(cleanup => cleanup()));

/** Opens a connection within this process and returns both ends. */
const connectPair = async (): Promise<{ readonly sender: Socket; readonly receiver: Socket; }> => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = once(server, "connection") as Promise<[Socket]>;
    const sender = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const [receiver] = await accepted;
    cleanups.push(() => sender.destroy(), () => receiver.destroy(), () => server.close());
    return { sender, receiver };
};

const blockEventLoop = (): void => {
    const startedAt = performance.now();
    while (performance.now() - startedAt < BLOCK_MS) {
        // Holds the event loop as a long computation does.
    }
};

const runWhileLate = async (
    onData: (cancel: () => void) => void,
    onTimer: () => void,
): Promise<void> => {
    const timers = SystemTimerService.create();
    const { sender, receiver } = await connectPair();
    const cancel = timers.schedule(BLOCK_MS / 2, onTimer);
    receiver.on("data", () => onData(cancel));
    sender.write("a response");
    blockEventLoop();
    await timers.sleep(BLOCK_MS);
};

// Guards against LOST: timeouts ended exchanges whose bytes had arrived while the event loop was late.
test("a timer that comes due while the event loop is late runs after the input that has arrived", async () => {
    const order: string[] = [];
    await runWhileLate(() => order.push("input"), () => order.push("timer"));
    expect(order).toEqual(["input", "timer"]);
});

// Guards against LOST: the same for a timeout that the input that has arrived makes void.
test("a late timer that input cancels does not run", async () => {
    const order: string[] = [];
    await runWhileLate(cancel => {
        cancel();
        order.push("input");
    }, () => order.push("timer"));
    expect(order).toEqual(["input"]);
});

test("timers that come due while the event loop is late run in their order", async () => {
    const timers = SystemTimerService.create();
    const order: number[] = [];
    [BLOCK_MS / 4, BLOCK_MS / 2, BLOCK_MS - 2].forEach((delayMs, index) =>
        timers.schedule(delayMs, () => order.push(index))
    );
    blockEventLoop();
    await timers.sleep(2 * BLOCK_MS);
    expect(order).toEqual([0, 1, 2]);
});
