/**
 * All VMs together keep the limit of cold instances, and use it. Guards against cold endpoints that crash because each VM
 * sends them what it considers its part.
 */
import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import {
    COLD_ALLOWED,
    COLD_PER_S,
    COLD_START_MS,
    ColdFleet,
    type ColdFleetOptions,
} from "../fixtures/cold-fleet.js";
import { readPropertyParameters } from "../fixtures/properties.js";

const ID = "i-2";
const VM_COUNTS = [6, 58] as const;
/** Longest virtual time of one test or case; the checks themselves have no time limit of their own. */
const TIMEOUT_MS = 120_000;

type FleetEvent = (fleet: ColdFleet) => void;

const shareArbitrary = fc.double({ min: 0, max: 1, noNaN: true });
const eventArbitrary: fc.Arbitrary<{ readonly name: string; readonly apply: FleetEvent; }> = fc.oneof(
    fc.record({ share: shareArbitrary, isStoreCut: fc.boolean() }).map(({ share, isStoreCut }) => ({
        name: `cut ${share} ${isStoreCut}`,
        apply: (fleet: ColdFleet) => fleet.cut(share, isStoreCut),
    })),
    shareArbitrary.map(share => ({
        name: `isolate ${share}`,
        apply: (fleet: ColdFleet) => fleet.isolate(share),
    })),
    fc.constant({ name: "heal", apply: (fleet: ColdFleet) => fleet.heal() }),
    shareArbitrary.map(share => ({
        name: `restart ${share}`,
        apply: (fleet: ColdFleet) => fleet.restart(share),
    })),
    shareArbitrary.map(share => ({ name: `kill ${share}`, apply: (fleet: ColdFleet) => fleet.kill(share) })),
    fc.constant({ name: "lose the list", apply: (fleet: ColdFleet) => fleet.loseList() }),
    fc.integer({ min: 1, max: 8 }).map(count => ({
        name: `add ${count}`,
        apply: (fleet: ColdFleet) => fleet.addVms(count),
    })),
    fc.constant({ name: "new incarnation", apply: (fleet: ColdFleet) => fleet.startInstance(ID) }),
);

propertyTest.prop(
    [
        fc.constantFrom(...VM_COUNTS),
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.array(fc.tuple(fc.integer({ min: 100, max: 4_000 }), eventArbitrary), {
            minLength: 2,
            maxLength: 6,
        }),
    ],
    readPropertyParameters(30),
)(
    "no second brings a cold instance more than it tolerates, whatever VMs know of each other",
    async (vmCount, seed, events) => {
        const fleet = await ColdFleet.create({ vmCount, seed });
        fleet.startInstance(ID);
        for (const [afterMs, { apply }] of events) {
            await fleet.run(afterMs);
            apply(fleet);
        }
        await fleet.run(4_000);
        expect(fleet.summarize(ID).busiest).toBeLessThanOrEqual(COLD_ALLOWED);
    },
    TIMEOUT_MS,
);

// VMs that read no records can't learn that an instance is cold again, so the store is reached here.
propertyTest.prop(
    [
        fc.constantFrom(...VM_COUNTS),
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.integer({ min: 6_000, max: 12_000 }),
        shareArbitrary,
        shareArbitrary,
    ],
    readPropertyParameters(15),
)(
    "an instance that becomes cold again is kept within its limit once its record can have been read",
    async (vmCount, seed, durationMs, cutShare, restartShare) => {
        const fleet = await ColdFleet.create({ vmCount, seed });
        fleet.startInstance(ID, false);
        await fleet.run(COLD_START_MS + 4_000);
        fleet.cut(cutShare, false);
        fleet.chillInstance(ID, durationMs);
        await fleet.run(durationMs / 2);
        fleet.restart(restartShare);
        await fleet.run(durationMs / 2);
        fleet.chillInstance(ID, durationMs);
        await fleet.run(durationMs);
        expect(fleet.summarize(ID).busiest).toBeLessThanOrEqual(COLD_ALLOWED);
    },
    TIMEOUT_MS,
);

const createFleetWithColdInstance = async (options: Omit<ColdFleetOptions, "seed">): Promise<ColdFleet> => {
    const fleet = await ColdFleet.create({ ...options, seed: 1 });
    fleet.startInstance(ID);
    return fleet;
};

test.each(VM_COUNTS)(
    "without the limit, %d VMs send far more than a cold instance tolerates",
    async vmCount => {
        const fleet = await createFleetWithColdInstance({ vmCount, isLimited: false });
        await fleet.run(5_000);
        expect(fleet.summarize(ID).busiest).toBeGreaterThan(2 * COLD_ALLOWED);
    },
    TIMEOUT_MS,
);

// The requirement bounds one second; what an instance takes for long is its rate, so the useful part is measured against that.
test.each(VM_COUNTS)("%d VMs use four fifths of the rate of a cold instance", async vmCount => {
    const fleet = await createFleetWithColdInstance({ vmCount });
    await fleet.run(3_000);
    fleet.discardCounts();
    await fleet.run(12_000);
    const { busiest, perS } = fleet.summarize(ID);
    expect(perS).toBeGreaterThanOrEqual(0.8 * COLD_PER_S);
    expect(perS).toBeLessThanOrEqual(COLD_PER_S);
    expect(busiest).toBeLessThanOrEqual(COLD_ALLOWED);
}, TIMEOUT_MS);

interface Scenario {
    readonly name: string;
    readonly apply: FleetEvent;
    /** Least part of the rate that the VMs use from 3 s after the start of the instance on. */
    readonly usedShare: number;
}

const SCENARIOS: readonly Scenario[] = [
    { name: "half cut off from the others", apply: fleet => fleet.cut(0.5, false), usedShare: 0.75 },
    {
        name: "half cut off from the others and the store",
        apply: fleet => fleet.cut(0.5, true),
        usedShare: 0.25,
    },
    { name: "each cut off from all others", apply: fleet => fleet.isolate(1), usedShare: 0.75 },
    { name: "half dead", apply: fleet => fleet.kill(0.5), usedShare: 0.25 },
    { name: "all restarted", apply: fleet => fleet.restart(1), usedShare: 0.75 },
    { name: "8 VMs added", apply: fleet => fleet.addVms(8), usedShare: 0.75 },
    {
        name: "the list lost, half restarted and cut off one by one",
        apply: fleet => {
            fleet.loseList();
            fleet.isolate(1);
            fleet.restart(0.5);
        },
        usedShare: 0.25,
    },
    {
        // Restarted VMs read a list that names only those that registered before them.
        name: "the list lost, all restarted and cut off one by one",
        apply: fleet => {
            fleet.loseList();
            fleet.isolate(1);
            fleet.restart(1);
        },
        usedShare: 0,
    },
];

test.each(
    VM_COUNTS.flatMap(vmCount => SCENARIOS.map(scenario => ({ vmCount, ...scenario }))),
)(
    "$vmCount VMs, $name: the limit is kept and a useful part is used",
    async ({ vmCount, apply, usedShare }) => {
        const fleet = await ColdFleet.create({ vmCount, seed: 1 });
        apply(fleet);
        fleet.startInstance(ID);
        await fleet.run(3_000);
        const early = fleet.summarize(ID);
        fleet.discardCounts();
        await fleet.run(15_000);
        const { busiest, perS } = fleet.summarize(ID);
        expect(Math.max(early.busiest, busiest)).toBeLessThanOrEqual(COLD_ALLOWED);
        expect(perS).toBeGreaterThanOrEqual(usedShare * COLD_PER_S);
    },
    TIMEOUT_MS,
);
