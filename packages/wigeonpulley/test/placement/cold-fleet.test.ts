/**
 * All VMs together keep the limit of cold instances, and use it. Guards against cold endpoints that crash because each VM
 * sends them what it considers its part.
 */
import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import { COLD_ALLOWED, COLD_PER_S, ColdFleet, type ColdFleetOptions } from "../fixtures/cold-fleet.js";
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
