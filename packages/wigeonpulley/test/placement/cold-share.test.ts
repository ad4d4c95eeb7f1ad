/** The division of a cold instance's allowance among VMs whose member lists differ. */
import { fc, test as propertyTest } from "@fast-check/vitest";
import { expect, test } from "vitest";
import { type ColdLimits, computeColdSpacingMs } from "wigeonpulley";
import { UNIT_PROPERTY } from "../fixtures/properties.js";

/** A second, and the longest delay of one request relative to the next, in milliseconds. */
const WINDOW_MS = 1_100;
const MAX_VMS = 100;
/** The example of the requirement, 21.5 requests in a second. */
const EXAMPLE: ColdLimits = { perS: 11, overrun: 1.5, slack: 5 };

const limitsArbitrary: fc.Arbitrary<ColdLimits> = fc.record({
    perS: fc.double({ min: 0.1, max: 60, noNaN: true }),
    overrun: fc.double({ min: 1, max: 3, noNaN: true }),
    slack: fc.double({ min: 0, max: 20, noNaN: true }),
});

const computeAllowed = ({ perS, overrun, slack }: ColdLimits): number => perS * overrun + slack;

/** Most requests in one second of a VM that knows `known` VMs, given as indexes in the order of the hashes. */
const countMost = (limits: ColdLimits, self: number, known: readonly number[]): number => {
    const rank = known.filter(vm => vm < self).length;
    const spacingMs = computeColdSpacingMs(limits, known.length, rank);
    return Number.isFinite(spacingMs) ? Math.floor(WINDOW_MS / spacingMs) + 1 : 0;
};

const listVms = (count: number): readonly number[] => Array.from({ length: count }, (unused, index) => index);

const sumMost = (
    limits: ColdLimits,
    vms: readonly number[],
    listKnown: (vm: number) => readonly number[],
): number => vms.reduce((sum, vm) => sum + countMost(limits, vm, listKnown(vm)), 0);

// Guards against VMs that join or are removed while some VMs still have the list from before.
propertyTest.prop(
    [
        limitsArbitrary,
        fc.integer({ min: 1, max: MAX_VMS }),
        fc.array(fc.uniqueArray(fc.nat({ max: 20 }), { maxLength: 3 }), {
            minLength: MAX_VMS,
            maxLength: MAX_VMS,
        }),
    ],
    UNIT_PROPERTY,
)("lists that lack up to three VMs keep the allowance", (limits, vmCount, missing) => {
    // Below 5 requests, half of the allowance leaves no room for three more VMs.
    fc.pre(computeAllowed(limits) >= 5);
    const vms = listVms(vmCount);
    const sum = sumMost(
        limits,
        vms,
        self => vms.filter(vm => vm === self || missing[self]?.includes(vm) !== true),
    );
    expect(sum).toBeLessThanOrEqual(computeAllowed(limits));
});

// Guards against a partition or a store without history in which each side takes the whole allowance.
propertyTest.prop(
    [
        limitsArbitrary,
        fc.array(fc.boolean(), { minLength: 1, maxLength: MAX_VMS }),
    ],
    UNIT_PROPERTY,
)("two groups of VMs that don't know each other keep the allowance", (limits, sides) => {
    // One request in a second can't be divided.
    fc.pre(computeAllowed(limits) >= 2);
    const vms = listVms(sides.length);
    const sum = sumMost(limits, vms, self => vms.filter(vm => sides[vm] === sides[self]));
    expect(sum).toBeLessThanOrEqual(computeAllowed(limits));
});

propertyTest.prop([limitsArbitrary, fc.integer({ min: 1, max: MAX_VMS })], UNIT_PROPERTY)(
    "for long, all VMs together send at most the rate",
    (limits, vmCount) => {
        const vms = listVms(vmCount);
        const perS = vms.reduce((sum, vm) => sum + 1_000 / computeColdSpacingMs(limits, vmCount, vm), 0);
        expect(perS).toBeLessThanOrEqual(limits.perS * 1.000_001);
    },
);

test.each([4, 6, 10, 58, 72])("%d VMs use four fifths of the rate of the example", vmCount => {
    const vms = listVms(vmCount);
    const perS = vms.reduce((sum, vm) => sum + 1_000 / computeColdSpacingMs(EXAMPLE, vmCount, vm), 0);
    expect(perS).toBeGreaterThanOrEqual(0.8 * EXAMPLE.perS);
});

test("six VMs that know no others keep the allowance of the example", () => {
    expect(sumMost(EXAMPLE, listVms(6), vm => [vm])).toBeLessThanOrEqual(computeAllowed(EXAMPLE));
});

test("an instance that tolerates less than one request in a second gets none", () => {
    expect(computeColdSpacingMs({ perS: 0.5, overrun: 1.5, slack: 0 }, 1, 0)).toBe(Infinity);
});
