import { fc, test as property } from "@fast-check/vitest";
import { expect, test } from "vitest";
import { InputScheduler, InputSource } from "wigeonpulley";

const MAX_WORK_PER_TURN = 2_000;
/** Work that one part may take beyond the bound: the longest part in chunks of one byte. */
const MAX_PART_WORK = 16_384 / 6;
/** Bytes that the operating system hands out at a time. */
const READ_BYTES = 65_536;
/** Callbacks a byte of chunks of one byte, and of a body of a known length. */
const COSTLY = 1 / 6;
const CHEAP = 1 / READ_BYTES;

/** Input that always has the same cost; a connection that goes on sending has more as soon as it is read. */
class SteadyInput extends InputSource {
    parsedBytes = 0;

    constructor(
        private readonly workPerByte: number,
        private remainingBytes: number,
        private readonly onWork: (work: number) => void,
    ) {
        super();
    }

    override get hasInput(): boolean {
        return this.remainingBytes > 0;
    }

    override parse(maxBytes: number): number {
        const bytes = Math.min(maxBytes, this.remainingBytes);
        this.remainingBytes -= bytes;
        this.parsedBytes += bytes;
        const work = Math.max(1, bytes * this.workPerByte);
        this.onWork(work);
        return work;
    }
}

/** A scheduler whose turns the test runs, with the work of each turn. */
const createTurns = (maxWorkPerTurn = MAX_WORK_PER_TURN) => {
    const callbacks: (() => void)[] = [];
    const workByTurn = [0];
    const heldBack = { turns: 0 };
    const scheduler = InputScheduler.create({
        maxWorkPerTurn,
        onHeldBack: () => {
            heldBack.turns += 1;
        },
        scheduleTurn: callback => void callbacks.push(callback),
    });
    return {
        scheduler,
        workByTurn,
        heldBack,
        createInput: (workPerByte: number, bytes: number) =>
            new SteadyInput(workPerByte, bytes, work => {
                workByTurn[workByTurn.length - 1] = (workByTurn.at(-1) ?? 0) + work;
            }),
        /** Runs the next turn; false when none is scheduled. */
        runTurn: (): boolean => {
            const callback = callbacks.shift();
            if (callback === undefined) {
                return false;
            }
            workByTurn.push(0);
            callback();
            return true;
        },
    };
};

// Guards against REFUSED: a read of many connections in chunks of one byte took seconds in one turn of the event loop.
test("connections whose bytes cost many callbacks share the callbacks of one turn", () => {
    const { scheduler, createInput, runTurn, workByTurn, heldBack } = createTurns();
    for (let index = 0; index < 120; index += 1) {
        scheduler.add(createInput(COSTLY, READ_BYTES));
    }
    while (runTurn()) {
        // All input is parsed in the end.
    }
    expect(Math.max(...workByTurn)).toBeLessThanOrEqual(MAX_WORK_PER_TURN + MAX_PART_WORK);
    expect(workByTurn.reduce((sum, work) => sum + work, 0)).toBeCloseTo(120 * READ_BYTES * COSTLY);
    expect(heldBack.turns).toBeGreaterThan(0);
    expect(scheduler.waitingCount).toBe(0);
});

// Guards against REFUSED: a new connection waited until those before it had been read.
test("a new connection is read in the next turn while costly ones wait", () => {
    const { scheduler, createInput, runTurn } = createTurns();
    for (let index = 0; index < 400; index += 1) {
        scheduler.add(createInput(COSTLY, Number.POSITIVE_INFINITY));
    }
    // Each connection of the crowd was new once.
    for (let turn = 0; turn < 200; turn += 1) {
        runTurn();
    }
    const ordinary = createInput(CHEAP, 600);
    scheduler.add(ordinary);
    runTurn();
    expect(ordinary.parsedBytes).toBe(600);
});

test("costly connections are read in turns", () => {
    const { scheduler, createInput, runTurn } = createTurns();
    const inputs = Array.from({ length: 20 }, () => createInput(COSTLY, Number.POSITIVE_INFINITY));
    inputs.forEach(input => scheduler.add(input));
    for (let turn = 0; turn < 1_000; turn += 1) {
        runTurn();
    }
    const parsed = inputs.map(({ parsedBytes }) => parsedBytes);
    expect(Math.min(...parsed)).toBeGreaterThan(Math.max(...parsed) / 2);
});

// Guards against REFUSED: one body in the smallest chunks, alone in calm.
test("a costly body alone is parsed without a turn that has room and doesn't go on", () => {
    const { scheduler, createInput, runTurn, workByTurn } = createTurns();
    const body = createInput(COSTLY, 4_194_304 * 6);
    scheduler.add(body);
    while (runTurn()) {
        // The turns go on by themselves.
    }
    expect(body.parsedBytes).toBe(4_194_304 * 6);
    expect(Math.min(...workByTurn.slice(0, -2))).toBeGreaterThanOrEqual(MAX_WORK_PER_TURN);
});

test("a source that is removed, or paused while it waits, is not parsed", () => {
    const { scheduler, createInput, runTurn } = createTurns();
    scheduler.add(createInput(COSTLY, READ_BYTES));
    const removed = createInput(COSTLY, READ_BYTES);
    scheduler.add(removed);
    scheduler.remove(removed);
    while (runTurn()) {
        // Ends when nothing waits.
    }
    expect(removed.parsedBytes).toBe(0);
    expect(scheduler.waitingCount).toBe(0);
});

// Guards against LOST: a process that stops after an unexpected error still serves the requests that have arrived.
test("an error in a callback of the parser leaves the other connections their turns", () => {
    const { scheduler, createInput, runTurn } = createTurns();
    const failing = createInput(COSTLY, READ_BYTES);
    failing.parse = () => {
        throw new TypeError("a fault of this test");
    };
    expect(() => scheduler.add(failing)).toThrow(TypeError);
    const other = createInput(COSTLY, READ_BYTES);
    scheduler.add(other);
    while (runTurn()) {
        // Ends when nothing waits.
    }
    expect(other.parsedBytes).toBe(READ_BYTES);
});

const inputArbitrary = fc.record({
    workPerByte: fc.constantFrom(CHEAP, 0.01, COSTLY, 1, 2),
    bytes: fc.integer({ min: 1, max: 200_000 }),
    turn: fc.integer({ min: 0, max: 20 }),
});

property.prop([fc.array(inputArbitrary, { minLength: 1, maxLength: 60 })], { numRuns: 60, seed: 55 })(
    "all input is parsed, no turn exceeds its bound by more than a part, and no turn is wasted",
    drawn => {
        const { scheduler, createInput, runTurn, workByTurn } = createTurns();
        const inputs = drawn.map(({ workPerByte, bytes, turn }) => ({
            input: createInput(workPerByte, bytes),
            bytes,
            turn,
        }));
        for (let turn = 0, isRunning = true; turn <= 20 || isRunning; turn += 1) {
            inputs.filter(({ turn: added }) => added === turn).forEach(({ input }) => scheduler.add(input));
            isRunning = runTurn();
        }
        inputs.forEach(({ input, bytes }) => expect(input.parsedBytes).toBe(bytes));
        // The first part of a source has a length that knows nothing of its cost.
        expect(Math.max(...workByTurn)).toBeLessThanOrEqual(MAX_WORK_PER_TURN + 16_384 * 2);
    },
);
