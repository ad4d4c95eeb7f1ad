import { expect, test } from "vitest";
import {
    BlockRecurrences,
    chooseHomeDepths,
    computeExpectedUncachedTokens,
    computeHomeCount,
    evaluateHomeCandidates,
    hashText,
    type HomeCandidate,
    type Instance,
    VirtualTimerService,
    type WeighedBlock,
} from "wigeonpulley";
import { createInstance } from "../fixtures/raw-endpoint.js";

const INSTANCES = 60;
const BLOCKS = 2_000;

const createBlock = (id: string, fields: Partial<WeighedBlock> = {}): WeighedBlock => ({
    tokens: 1_000,
    hash: hashText(id),
    share: 0,
    likelihood: 0.9,
    ...fields,
});

const createCandidates = (names: readonly string[]): readonly HomeCandidate[] =>
    names.map(name => ({ hash: hashText(name), canBeHome: true }));

const NAMES = Array.from({ length: INSTANCES }, (unused, index) => `i-${index}`);

/** Names of the homes of a prompt's deepest block. */
const listHomes = (
    blocks: readonly WeighedBlock[],
    names: readonly string[],
    candidates = createCandidates(names),
): readonly string[] => {
    const depths = chooseHomeDepths(blocks, candidates);
    return names.filter((unused, index) => depths[index] === blocks.length);
};

test("a VM that lists the instances in another order chooses the same homes", () => {
    const shuffled = NAMES.toReversed();
    for (let index = 0; index < 200; index += 1) {
        const blocks = [createBlock(`a-${index}`, { share: 0.05 }), createBlock(`b-${index}`)];
        expect(listHomes(blocks, shuffled).toSorted()).toEqual(listHomes(blocks, NAMES).toSorted());
    }
});

test("an instance that leaves, joins or is passed over moves only its own blocks, about one in sixty", () => {
    const gone = NAMES[17] ?? "";
    const rest = NAMES.filter(name => name !== gone);
    const passedOver = createCandidates(NAMES).map((candidate, index) => ({
        ...candidate,
        canBeHome: NAMES[index] !== gone,
    }));
    let moved = 0;
    for (let index = 0; index < BLOCKS; index += 1) {
        const blocks = [createBlock(`b-${index}`)];
        const before = listHomes(blocks, NAMES);
        const after = listHomes(blocks, rest);
        expect(listHomes(blocks, NAMES, passedOver)).toEqual(after);
        if (before[0] !== gone) {
            expect(after).toEqual(before);
        }
        moved += before[0] === gone ? 1 : 0;
    }
    expect(moved / BLOCKS).toBeGreaterThan(0.5 / INSTANCES);
    expect(moved / BLOCKS).toBeLessThan(2 / INSTANCES);
});

test("prompts that share only the first block of a class are spread over all instances", () => {
    const first = createBlock("class", { tokens: 60, share: 0.02 });
    const homes = new Set(
        Array.from(
            { length: 600 },
            (unused, index) => listHomes([first, createBlock(`b-${index}`)], NAMES)[0],
        ),
    );
    expect(homes.size).toBeGreaterThan(INSTANCES * 0.95);
});

test("the homes of a block are among those of a long shared block before it", () => {
    const shared = createBlock("part", { tokens: 2_500, share: 0.02 });
    const outer = listHomes([shared], NAMES);
    expect(outer).toHaveLength(4);
    for (let index = 0; index < 50; index += 1) {
        const inner = listHomes([shared, createBlock(`b-${index}`)], NAMES);
        expect(inner).toHaveLength(1);
        expect(outer).toContain(inner[0]);
    }
});

test("a block gets more homes as its share of the requests grows, and keeps those it had", () => {
    expect(computeHomeCount(0, INSTANCES)).toBe(1);
    expect(computeHomeCount(0.02, INSTANCES)).toBe(4);
    expect(computeHomeCount(1, INSTANCES)).toBe(INSTANCES);
    let before: readonly string[] = [];
    for (const share of [0.001, 0.01, 0.03, 0.1, 0.3, 0.9]) {
        const homes = listHomes([createBlock("hot", { share })], NAMES);
        expect(homes.length).toBeGreaterThanOrEqual(before.length);
        before.forEach(name => expect(homes).toContain(name));
        before = homes;
    }
});

test("a home counts as having a block cached only with its likelihood", () => {
    const blocks = [createBlock("a", { likelihood: 0.9 }), createBlock("b", { likelihood: 0.5 })];
    expect(computeExpectedUncachedTokens(2_300, blocks, 0, 0)).toBe(2_300);
    expect(computeExpectedUncachedTokens(2_300, blocks, 0, 2)).toBeCloseTo(900);
    expect(computeExpectedUncachedTokens(1_300, blocks, 1, 2)).toBeCloseTo(800);
    expect(computeExpectedUncachedTokens(300, blocks, 2, 1)).toBe(300);
});

const SCOPE = {
    dataCentre: "south-1",
    region: "south",
    regions: { "south-1": "south", "south-2": "south", "north-1": "north" },
    wallClockMs: 100_000,
};

const load = (fields: Partial<Instance>, inFlight = 2, eventGapMs = 20, hasFreeSlot = true) => ({
    instance: createInstance(fields),
    inFlight,
    eventGapMs,
    hasFreeSlot,
});

test("full, overloaded, slow, cold and remote instances are passed over as homes", () => {
    const { canBeHome, meanInFlight, scopeShare } = evaluateHomeCandidates([
        load({ id: "near" }),
        load({ id: "region", dataCentre: "south-2" }),
        load({ id: "remote", dataCentre: "north-1" }),
        load({ id: "busy" }, 5),
        load({ id: "full" }, 2, 20, false),
        load({ id: "slow" }, 0, 50),
        load({ id: "cold", bornMs: 98_000, coldMs: 3_000 }, 0),
        load({ id: "warm", bornMs: 96_000, coldMs: 3_000 }, 1),
    ], SCOPE);
    expect(canBeHome).toEqual([true, true, false, false, false, false, false, true]);
    expect(meanInFlight).toBeCloseTo(12 / 7);
    expect(scopeShare).toBeCloseTo(7 / 8);
});

test("without a usable instance in the region, those of other regions are homes", () => {
    const { canBeHome } = evaluateHomeCandidates([
        load({ id: "a", dataCentre: "north-1" }),
        load({ id: "b", dataCentre: "north-1" }),
    ], SCOPE);
    expect(canBeHome).toEqual([true, true]);
});

const MEAN_VMS = 67;

/** Sends prompts of 60 shared and 1,000 other tokens through one VM's counts; `pick` returns the last block. */
const countPrompts = async (pick: (count: number) => string, prompts: number) => {
    const timers = VirtualTimerService.create();
    const recurrences = BlockRecurrences.create(timers);
    for (let count = 0; count < prompts; count += 1) {
        recurrences.recordPrompt("stock", [{ id: "class", tokens: 60 }, { id: pick(count), tokens: 1_000 }]);
        await timers.advance(200);
    }
    const weigh = (id: string) =>
        recurrences.weighBlocks("stock", [{ id: "class", tokens: 60 }, { id, tokens: 1_000 }], MEAN_VMS);
    return { timers, weigh };
};

test("a session that this VM has never seen gets a home when sessions come again, and none when none ever does", async () => {
    const { weigh: weighSessions } = await countPrompts(count => `s-${count * 7_919 % 1_000 % 300}`, 500);
    expect(weighSessions("unseen")[1]?.likelihood).toBeGreaterThan(0.8);
    const { weigh: weighOwn } = await countPrompts(count => `own-${count}`, 500);
    expect(weighOwn("unseen")[1]?.likelihood).toBeLessThan(0.15);
});

test("a block's share follows its requests and decays when they end", async () => {
    const { timers, weigh } = await countPrompts(count => count % 4 === 0 ? "hot" : `own-${count}`, 500);
    expect(weigh("hot")[0]?.share).toBeCloseTo(1);
    expect(weigh("hot")[1]?.share).toBeGreaterThan(0.2);
    expect(weigh("hot")[1]?.share).toBeLessThan(0.3);
    await timers.advance(150_000);
    expect(weigh("hot")[1]?.share).toBe(0);
});

test("the memory of the counts is bounded", () => {
    const recurrences = BlockRecurrences.create(VirtualTimerService.create());
    const [first] = ["first", "last"].map(id => [{ id, tokens: 500 }]);
    recurrences.recordPrompt("stock", first ?? []);
    for (let count = 0; count < 9_000; count += 1) {
        recurrences.recordPrompt("stock", [{ id: `b-${count}`, tokens: 500 }]);
    }
    const isKnown = (id: string): boolean =>
        (recurrences.weighBlocks("stock", [{ id, tokens: 500 }], 1)[0]?.likelihood ?? 0) > 0.5;
    expect([isKnown("first"), isKnown("b-800"), isKnown("b-900"), isKnown("b-8999")]).toEqual([
        false,
        false,
        true,
        true,
    ]);
});
