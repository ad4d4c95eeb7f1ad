/** What gossip costs VMs whose processor time is scarce. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { expect, test } from "vitest";
import {
    type CarriedReport,
    CarriedReportSchema,
    decodeLoadReport,
    type LoadReportContent,
    LoadReportSchema,
    PeerLoadReports,
    ReportService,
    VirtualTimerService,
} from "wigeonpulley";
import { createPlainInstances, RoutedFleet } from "../fixtures/routed-fleet.js";

const VM_COUNT = 18;
const OBSERVED_MS = 6_000;
/** Regular rounds call two members every 500 ms. */
const REGULAR_DIGESTS = VM_COUNT * 2 * (OBSERVED_MS / 500);

/** Counts the digests of a fleet whose slots are all in use and whose VMs are busy for a share of the time. */
const countDigests = async (busyShare: number): Promise<number> => {
    const fleet = await RoutedFleet.create(VM_COUNT, createPlainInstances(2), () => []);
    fleet.busyShare = busyShare;
    const runUnderLoad = async (durationMs: number): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
            fleet.vmNames.forEach(name => fleet.sendPlain(name, { path: `/stock/${elapsedMs}` }));
            await fleet.timers.advance(500);
        }
    };
    // The smoothed share follows the new one.
    await runUnderLoad(3_000);
    const before = fleet.digestCount;
    await runUnderLoad(OBSERVED_MS);
    return fleet.digestCount - before;
};

// Guards against SHORT: gossip became faster with the load and took the processor time of the requests.
test("VMs without processor time to spare gossip no faster while slots are scarce", async () => {
    expect(await countDigests(0.95)).toBeLessThanOrEqual(REGULAR_DIGESTS * 1.05);
});

test("VMs with processor time to spare gossip faster while slots are scarce", async () => {
    expect(await countDigests(0.05)).toBeGreaterThan(REGULAR_DIGESTS * 1.5);
});

const encode = (sequence: number, vm = "vm-2"): Uint8Array =>
    toBinary(
        LoadReportSchema,
        create(LoadReportSchema, { vm, incarnation: 7n, sequence, instances: ["i-1"], inFlight: [3] }),
    );
/** Tag of a field with a single number. */
const fieldTag = (field: number): number => field << 3;
const carry = (report: Uint8Array, ageMs = 0): CarriedReport =>
    create(CarriedReportSchema, { report, ageMs });
/** A report whose content after the header can't be decoded. */
const spoil = (report: Uint8Array): Uint8Array => Buffer.concat([report, Buffer.from([0x22, 0xff])]);

// Guards against SHORT: VMs decoded each report again with every digest that carried it.
test("a report that is not news is not decoded", () => {
    const reports = PeerLoadReports.create("vm-1", VirtualTimerService.create());
    expect(reports.applyReport(carry(encode(5)))?.sequence).toBe(5);
    expect(reports.applyReport(carry(spoil(encode(5))))).toBeUndefined();
    expect(reports.applyReport(carry(spoil(encode(4))))).toBeUndefined();
    expect(reports.applyReport(carry(spoil(encode(9, "vm-1"))))).toBeUndefined();
    expect(() => reports.applyReport(carry(spoil(encode(6))))).toThrow();
    expect(reports.applyReport(carry(encode(6)))?.sequence).toBe(6);
});

test("reports are decoded as the library does it, also those with fields that this version doesn't know", () => {
    const report = create(LoadReportSchema, {
        vm: "vm-2",
        incarnation: 1_785_000_000_000n,
        sequence: 70_000,
        instances: ["i-1", "i-2"],
        inFlight: [3, 300],
        pendingTokens: [0, 1_000_000],
        queueServices: ["desk", "desk south"],
        queueRanks: [0, 2],
        queueWaiting: [1, 9],
        workspaces: ["lushoto", "arusha"],
        workspaceKeptPerS: [5, 6],
        workspaceDemandPerS: [7, 8],
        workspaceUsedUnits: [4_000_000_000, 1],
        workspaceKnownUnits: [2, 3],
        instanceGapMs: [30, 0],
        rollouts: [{ service: "desk", version: "v2", state: "active", routes: ["r"], good: [1], bad: [2] }],
        workspaceShares: [{ service: "desk", rank: 1, workspaces: [17], dispatched: [64], waiting: [2] }],
        paces: [{
            instance: "i-1",
            limit: 3,
            recent: { levels: [1], weights: [10], means: [-4], squares: [1] },
        }],
    });
    const pick = (content: LoadReportContent) =>
        Object.fromEntries(LoadReportSchema.fields.map(({ localName }) => [
            localName,
            content[localName as keyof LoadReportContent],
        ]));
    const encoded = toBinary(LoadReportSchema, report);
    expect(pick(decodeLoadReport(encoded))).toEqual(pick(fromBinary(LoadReportSchema, encoded)));
    const empty = toBinary(LoadReportSchema, create(LoadReportSchema));
    expect(pick(decodeLoadReport(empty))).toEqual(pick(create(LoadReportSchema)));
    const unknownField = Buffer.concat([encoded, Buffer.from([0xf2, 0x07, 0x01, 0x41])]);
    expect(pick(decodeLoadReport(unknownField))).toEqual(pick(report));
    const unpacked = Buffer.concat([
        encoded,
        Buffer.from([fieldTag(LoadReportSchema.field.inFlight.number), 7]),
    ]);
    expect(decodeLoadReport(unpacked).inFlight).toEqual([3, 300, 7]);
});

test("the answer to a digest leaves out reports that came with it", () => {
    const reports = PeerLoadReports.create("vm-1", VirtualTimerService.create());
    reports.applyReport(carry(encode(5)));
    reports.applyReport(carry(encode(8, "vm-3")));
    expect(reports.listToForward([carry(encode(5)), carry(encode(7, "vm-3"))]).map(({ report }) => report))
        .toEqual([encode(8, "vm-3")]);
    expect(reports.listToForward()).toHaveLength(2);
});

test("digests that follow each other closely carry the same report", async () => {
    const timers = VirtualTimerService.create();
    const service = ReportService.create(
        {
            timers,
            self: "vm-1",
            directory: { list: () => [] },
            placement: { listQueueLengths: () => [], listWorkspaceUses: () => [] },
            quotaLimiter: { listUsage: () => [] },
            rollouts: { listReports: () => [] },
            reports: PeerLoadReports.create("vm-1", timers),
        } as unknown as Parameters<typeof ReportService.create>[0],
    );
    const readSequence = (): [number, number] => {
        const [carried] = service.createReports(1n, []);
        const other = PeerLoadReports.create("vm-2", timers);
        const report = carried && other.applyReport(carried);
        return [report?.sequence ?? 0, carried?.ageMs ?? 0];
    };
    expect(readSequence()).toEqual([1, 0]);
    await timers.advance(60);
    expect(readSequence()).toEqual([1, 60]);
    await timers.advance(60);
    expect(readSequence()).toEqual([2, 0]);
});
