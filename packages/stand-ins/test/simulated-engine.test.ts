/** The simulated engine behaves like the engines of the platform: batching, prefix cache, fencing and migration. */
import { createTokenText, SimulatedEngine, SimulatedWeightStore } from "@wigeonpulley/stand-ins";
import { expect, test } from "vitest";
import { END_OF_STREAM, PREFIX_BLOCK_TOKENS, VirtualTimerService } from "wigeonpulley";

const createEngine = (
    timers: VirtualTimerService,
    name: string,
    options: Partial<Parameters<typeof SimulatedEngine.create>[0]> = {},
): SimulatedEngine => SimulatedEngine.create({ timers, name, serves: "grafting-7b", ...options });

const work = { id: "request-1", promptTokens: 1_000, answerTokens: 20, prefixBlocks: [1, 2, 3] };

test("inter-token latency grows with the batch size", async () => {
    const countEvents = async (streams: number): Promise<number> => {
        const timers = VirtualTimerService.create();
        const engine = createEngine(timers, "engine-1", { prefillMsPerToken: 0 });
        const runs = Array.from(
            { length: streams },
            (unused, index) => engine.start({ ...work, id: `request-${index}`, answerTokens: 1_000 }),
        );
        await timers.advance(5_000);
        return runs[0]?.events.length ?? 0;
    };
    expect(await countEvents(1)).toBeGreaterThan(await countEvents(40) * 2);
});

test("tokens of a cached prefix need no prefill", () => {
    const engine = createEngine(VirtualTimerService.create(), "engine-1");
    expect(engine.start(work)?.prefilledTokens).toBe(1_000);
    expect(engine.start({ ...work, id: "request-2" })?.prefilledTokens).toBe(1_000 - 3 * PREFIX_BLOCK_TOKENS);
});

test("only an engine that checks fencing numbers refuses an outdated rollout order", async () => {
    const timers = VirtualTimerService.create();
    const weights = SimulatedWeightStore.create(timers, 1_000);
    const loadWeights = (): Promise<void> => weights.load(5_000_000);
    for (const checksFencing of [true, false]) {
        const engine = createEngine(timers, "engine-1", { checksFencing, loadWeights });
        const startedAt = timers.now();
        expect(await timers.runUntilSettled(engine.applyOrder({ fencingNumber: 7, version: "v2" }), 60_000))
            .toBe(
                true,
            );
        expect(timers.now() - startedAt).toBe(5_000);
        const late = engine.applyOrder({ fencingNumber: 3, version: "v1" });
        expect(await timers.runUntilSettled(late, 60_000)).toBe(!checksFencing);
        expect((await timers.runUntilSettled(engine.createReport(), 1_000)).version).toBe(
            checksFencing ? "v2" : "v1",
        );
    }
});

test("a request that is exported to another engine continues after its last token", async () => {
    const timers = VirtualTimerService.create();
    const source = createEngine(timers, "engine-1");
    const target = createEngine(timers, "engine-2");
    source.start(work);
    await timers.advance(400);
    const exported = source.exportRun(work.id);
    expect(exported?.events.length).toBeGreaterThan(0);
    const run = exported === undefined ? undefined : target.importRun(exported);
    await timers.advance(5_000);
    const data = run?.events.map(event => event.data) ?? [];
    expect(data.at(-1)).toBe(END_OF_STREAM);
    expect(
        data.slice(0, -1).map(text =>
            (JSON.parse(text) as { choices: { delta: { content: string; }; }[]; })
                .choices[0]?.delta.content
        ),
    ).toEqual(Array.from({ length: 20 }, (unused, index) => createTokenText(work.id, index)));
});
