/** Guards against pace that is learned from what isn't the instance's doing, and against its loss between VMs. */
import { create, toBinary } from "@bufbuild/protobuf";
import { describe, expect, test } from "vitest";
import {
    CarriedReportSchema,
    encodePace,
    EventLogger,
    type Instance,
    LearnedConcurrency,
    LoadReportSchema,
    MemorySink,
    PaceObservation,
    PeerLoadReports,
    type ReportedPace,
    routedSettingsSchema,
    SeededRandom,
    VirtualTimerService,
} from "wigeonpulley";
import { createInstance } from "../fixtures/raw-endpoint.js";

interface Observed {
    readonly timers: VirtualTimerService;
    readonly observation: PaceObservation;
    readonly paces: (readonly [level: number, paceMs: number])[];
    readonly prefill: { sentTokens: number; pendingElsewhere: number; };
    readonly late: { isLate: boolean; };
}

/** An observation of a request at an instance with 3 requests in flight, whose prefill takes 0.1 ms a token. */
const startObservation = (isEngine: boolean): Observed => {
    const timers = VirtualTimerService.create();
    const paces: (readonly [number, number])[] = [];
    const prefill = { sentTokens: 0, pendingElsewhere: 0 };
    const late = { isLate: false };
    const observation = PaceObservation.create({
        timers,
        isEngine,
        readLoad: () => ({ inFlightMs: 3 * timers.now(), inFlightSquaredMs: 9 * timers.now(), ...prefill }),
        estimatePrefillMs: tokens => tokens / 10,
        wasLateSince: () => late.isLate,
        onPace: (level, paceMs) => paces.push([level, paceMs]),
        onFinish: () => undefined,
    });
    return { timers, observation, paces, prefill, late };
};

describe("the pace of a request", () => {
    test("is the time per event, without the first event and the prefill of other prompts", async () => {
        const { timers, observation, paces, prefill } = startObservation(true);
        await timers.advance(900);
        observation.recordFirstEvent();
        prefill.sentTokens += 1_000;
        await timers.advance(300);
        observation.recordEvents(10);
        await timers.advance(500);
        observation.recordEvents(30);
        expect(paces).toEqual([[3, 20], [3, 25]]);
    });

    test("of a failed plain request isn't learned", async () => {
        const { timers, observation, paces } = startObservation(false);
        await timers.advance(100);
        observation.recordResponse();
        observation.finish(false);
        expect(paces).toEqual([]);
    });

    test.each<[string, (observed: Observed) => void]>([
        ["a caller that reads slowly", ({ observation }) => observation.recordCallerWait()],
        ["a late event loop", ({ late }) => {
            late.isLate = true;
        }],
        ["a long prefill of another VM's prompt", ({ prefill }) => {
            prefill.pendingElsewhere = 2_000;
        }],
    ])("isn't learned beside %s", async (name, disturb) => {
        const observed = startObservation(true);
        observed.observation.recordFirstEvent();
        disturb(observed);
        await observed.timers.advance(200);
        observed.observation.recordEvents(10);
        observed.observation.finish(true);
        expect(observed.paces, name).toEqual([]);
    });
});

const createLearned = (
    timers: VirtualTimerService,
    listPeerPaces: (instance: string) => readonly ReportedPace[],
    isCold = false,
): LearnedConcurrency =>
    LearnedConcurrency.create({
        timers,
        random: SeededRandom.create(1),
        logger: EventLogger.create(MemorySink.create()),
        settings: { enabled: true, floorShare: 0.33, probeIntervalMs: 2_000 },
        listPeerPaces,
        isCold: () => isCold,
    });

const INSTANCE: Instance = createInstance();
const SLOW_FROM_3: ReportedPace = {
    instance: INSTANCE.id,
    limit: 3,
    recent: new Map([
        [3, { weight: 20, mean: Math.log(25), squares: 0.1 }],
        [6, { weight: 20, mean: Math.log(75), squares: 0.1 }],
    ]),
    longTerm: new Map([
        [2, { weight: 50, mean: Math.log(24), squares: 0.1 }],
        [3, { weight: 50, mean: Math.log(25), squares: 0.1 }],
    ]),
};

describe("what VMs tell each other", () => {
    test("arrives as it was sent", () => {
        const reports = PeerLoadReports.create("vm-2", VirtualTimerService.create());
        const paces = [encodePace(SLOW_FROM_3)];
        const report = toBinary(
            LoadReportSchema,
            create(LoadReportSchema, { vm: "vm-1", sequence: 1, paces }),
        );
        reports.applyReport(create(CarriedReportSchema, { report, ageMs: 0 }));
        const [received] = reports.listPaces(INSTANCE.id);
        expect(received?.limit).toBe(3);
        expect(received?.recent.get(6)?.weight).toBe(20);
        expect(received?.recent.get(6)?.mean).toBeCloseTo(Math.log(75), 3);
        expect(received?.longTerm.get(3)?.squares).toBeCloseTo(0.1, 3);
    });

    test("limits an instance at once on a VM that has just started", () => {
        const learned = createLearned(VirtualTimerService.create(), () => [SLOW_FROM_3]);
        expect(learned.getLimit(INSTANCE)).toBe(3);
        learned.stop();
    });

    test("limits nothing when reports have no pace, as those of older versions", () => {
        const reports = PeerLoadReports.create("vm-2", VirtualTimerService.create());
        const report = toBinary(LoadReportSchema, create(LoadReportSchema, { vm: "vm-1", sequence: 1 }));
        reports.applyReport(create(CarriedReportSchema, { report, ageMs: 0 }));
        const learned = createLearned(VirtualTimerService.create(), id => reports.listPaces(id));
        expect(learned.getLimit(INSTANCE)).toBe(Number.POSITIVE_INFINITY);
        learned.stop();
    });
});

test("nothing is learned from a cold instance", () => {
    const learned = createLearned(VirtualTimerService.create(), () => [], true);
    const sources = {
        isEngine: true,
        countInFlight: () => 1,
        readPrefill: () => ({ sentTokens: 0, pendingElsewhere: 0 }),
        estimatePrefillMs: () => 0,
    };
    expect(learned.startObservation(INSTANCE, sources)).toBeUndefined();
    learned.stop();
});

test("probes keep the interval of the settings over all VMs", async () => {
    const timers = VirtualTimerService.create();
    const onlyLimit = {
        ...SLOW_FROM_3,
        recent: new Map([[3, { weight: 20, mean: Math.log(25), squares: 0.1 }]]),
    };
    const learned = createLearned(timers, () => [onlyLimit]);
    let probes = 0;
    for (let at = 0; at < 20_000; at += 50) {
        if (learned.getProbeLimit(INSTANCE) > learned.getLimit(INSTANCE)) {
            probes += 1;
            learned.recordDispatch(INSTANCE, 3);
        }
        await timers.advance(50);
    }
    // This VM sends half of them: one in 4 s.
    expect(probes).toBeGreaterThanOrEqual(4);
    expect(probes).toBeLessThanOrEqual(6);
    learned.stop();
});

test.each([["floorShare", 0], ["floorShare", 1.1], ["probeIntervalMs", 0], ["enabled", "yes"]])(
    "a value of %s that isn't possible (%s) is refused with the field's name",
    (field, value) => {
        const parsed = routedSettingsSchema.safeParse({
            name: "vm-1",
            region: "tanga",
            dataCentre: "tanga-lushoto",
            listen: { callers: "127.0.0.1:1", ready: "127.0.0.1:2", peers: "127.0.0.1:3" },
            store: { address: "127.0.0.1:4" },
            learnedConcurrency: { [field]: value },
        });
        expect(parsed.error?.issues.map(({ path }) => path.join("."))).toEqual([
            `learnedConcurrency.${field}`,
        ]);
    },
);
