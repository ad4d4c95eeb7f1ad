/**
 * Compares what this version encodes and decodes with examples that commit 831116e recorded, and later ones for what was
 * added since. Guards against a change of a name that leaves the process: VMs of two versions run side by side during an
 * upgrade, and records outlive the VMs.
 */
import {
    create,
    type DescMessage,
    fromBinary,
    fromJson,
    type JsonValue,
    toBinary,
    toJson,
} from "@bufbuild/protobuf";
import { readFileSync } from "node:fs";
import { Ok, type Result } from "ts-results-es";
import { describe, expect, test } from "vitest";
import {
    CarriedReportSchema,
    chooseByRendezvous,
    ClaimFold,
    ClaimRequestSchema,
    ClaimResponseSchema,
    type CompleteBatch,
    computeDigest,
    type Configuration,
    configurationSchema,
    createConfigurationState,
    createGroups,
    createProblemBody,
    createPublishRecord,
    errorCatalogue,
    type ErrorName,
    eventCatalogue,
    FetchConfigurationRequestSchema,
    FetchConfigurationResponseSchema,
    FetchOperatorRecordsRequestSchema,
    FetchOperatorRecordsResponseSchema,
    foldConfiguration,
    GatewayMessageSchema,
    hashPrefixBlocks,
    hashText,
    KeyedStore,
    LoadReportSchema,
    MemberDigestSchema,
    parseRequestLogLine,
    type PartialBatch,
    PeerLoadReports,
    type RankUses,
    ReportService,
    ResumeTokenSigner,
    routedSettingsSchema,
    SchedulerError,
    SchedulerMessageSchema,
    settingsSchema,
    StoreVmList,
    VirtualTimerService,
} from "wigeonpulley";

const readJson = (path: string): unknown => JSON.parse(readFileSync(new URL(path, import.meta.url), "utf8"));

const RECORDED = readJson("../fixtures/recorded-examples.json") as Readonly<Record<string, JsonValue>>;
const WALL_CLOCK_MS = 1_700_000_000_000;

const MESSAGES: Readonly<Record<string, readonly [DescMessage, JsonValue]>> = {
    memberDigest: [MemberDigestSchema, {
        sender: "vm-1",
        members: [{
            name: "vm-2",
            incarnation: "1700000000123",
            revision: 3,
            configuration: 8,
            leaving: true,
            suspected: true,
            peerUrl: "http://10.0.0.2:9001",
        }],
        reports: [{ ageMs: 20, report: "CgR2bS0z" }],
    }],
    evidenceDigest: [MemberDigestSchema, {
        sender: "vm-1",
        promptBlocks: [{
            block: "5c1e07a2",
            instances: [3_704_110_265, 17],
            lossAgesMs: [1_200, 40],
            answeredAgeMs: 61_001,
            quarantinedMs: 1_201,
        }],
        instanceLimits: [
            { instance: 3_704_110_265, limitPerS: 4.3, ageMs: 25 },
            { instance: 17, hasEnded: true, ageMs: 300 },
        ],
    }],
    liveInstancesDigest: [MemberDigestSchema, {
        sender: "vm-1",
        liveInstances: [{ instance: 3_704_110_265, ageMs: 900 }],
    }],
    paceReport: [LoadReportSchema, {
        vm: "vm-1",
        paces: [{
            instance: "i-1",
            limit: 3,
            recent: { levels: [3, 4], weights: [205, 12], means: [3_219, 3_611], squares: [100, 0] },
            longTerm: { levels: [3], weights: [500], means: [-12], squares: [101] },
        }],
    }],
    ticket: [GatewayMessageSchema, {
        ticket: {
            id: "r-1",
            group: "south-1/wax/0",
            selector: "answers",
            tier: 2,
            durable: true,
            remainingMs: 1_000,
            promptTokens: 70,
            answerTokens: 80,
            prefixBlocks: [1, 2],
            excludedEndpoints: ["engine-1"],
            allowedMs: 2_000,
            refusedForLoad: true,
        },
    }],
    withdrawal: [GatewayMessageSchema, { withdrawal: { id: "r-1" } }],
    running: [GatewayMessageSchema, {
        running: { id: "r-1", group: "g", endpoint: "engine-1", tier: 1, expectedMs: 900 },
    }],
    release: [GatewayMessageSchema, {
        release: {
            id: "r-1",
            group: "g",
            outcome: "OUTCOME_NOT_SENT",
            firstTokenMs: 40,
            tokens: 50,
            durationMs: 600,
        },
    }],
    observation: [GatewayMessageSchema, {
        observation: { group: "g", endpoint: "engine-1", samples: 9, slowSamples: 2, interTokenMeanMs: 31 },
    }],
    heartbeat: [SchedulerMessageSchema, {
        heartbeat: { loads: [{ group: "g", waiting: 4, freeSlots: 5, expectedWaitMs: 60 }] },
    }],
    grant: [SchedulerMessageSchema, { grant: { id: "r-1", endpoint: "engine-1", expectedMs: 900 } }],
    refusal: [SchedulerMessageSchema, {
        refusal: { id: "r-1", reason: "REFUSAL_REASON_OVERLOADED", retryAfterMs: 2_000, estimateMs: 30 },
    }],
    fetchRequest: [FetchConfigurationRequestSchema, { known: 7 }],
    fetchResponse: [FetchConfigurationResponseSchema, { versionJson: "{}" }],
    claimRequest: [ClaimRequestSchema, { partition: 3, recordJson: "{}" }],
    claimResponse: [ClaimResponseSchema, { offset: 12, refused: true }],
    recordsRequest: [FetchOperatorRecordsRequestSchema, { position: { era: 2, offset: "7" } }],
    recordsResponse: [FetchOperatorRecordsResponseSchema, {
        records: [{ key: "config", value: "e30=", offset: "7" }, { key: "rollout/desk", offset: "8" }],
        next: { era: 2, offset: "9" },
    }],
};

const encodeMessages = (): unknown =>
    Object.fromEntries(
        Object.entries(MESSAGES).map(([name, [schema, json]]) => [
            name,
            Buffer.from(toBinary(schema, fromJson(schema, json))).toString("hex"),
        ]),
    );

/** Creates a report service whose sources return fixed values; `applied` collects what it passes on of others' reports. */
const createReportService = (applied: unknown[], uses: readonly RankUses[] = []): ReportService =>
    ReportService.create(
        {
            timers: VirtualTimerService.create(),
            self: "vm-1",
            directory: { list: () => [{ id: "i-1" }, { id: "i-2" }] },
            placement: {
                countInFlight: (id: string) => id === "i-1" ? 4 : 0,
                countPendingPromptTokens: () => 1_234.4,
                getEventGapMs: () => 27,
                listQueueLengths: () => [{ service: "desk", rank: 2, count: 9 }],
                listWorkspaceUses: () => uses,
                dispatchAllQueues: () => undefined,
            },
            quotaLimiter: {
                listUsage: () => [{
                    workspace: "w",
                    keptPerS: 10.4,
                    demandPerS: 20.6,
                    usedUnits: 30,
                    knownUnits: 40,
                }],
                applyPeerUsage: (...values: readonly unknown[]) => applied.push(...values),
            },
            rollouts: {
                listReports: () => [{
                    service: "desk",
                    version: "v2",
                    state: "active",
                    isBad: true,
                    elapsedMs: 500,
                    evidence: [{ route: "r-1", good: 7, bad: 2 }],
                }],
                applyReports: (...values: readonly unknown[]) => applied.push(...values),
            },
            reports: PeerLoadReports.create("vm-9", VirtualTimerService.create()),
        } as unknown as Parameters<typeof ReportService.create>[0],
    );

const encodeReport = (): unknown => {
    const [report] = createReportService([]).createReports(5n, []);
    return Buffer.from(report?.report ?? []).toString("hex");
};

/** A report that states the shares of workspaces, as it is encoded and as another VM reads it. */
const exchangeShares = (): unknown => {
    const uses = new Map([[17, { perWeight: 0.25, waiting: 0 }], [3_704_110_265, {
        perWeight: 1e-6,
        waiting: 4,
    }]]);
    const [carried] = createReportService([], [{ service: "desk", rank: 2, uses }]).createReports(5n, []);
    const reports = PeerLoadReports.create("vm-9", VirtualTimerService.create());
    if (carried !== undefined) {
        reports.applyReport(carried);
    }
    return {
        encoded: Buffer.from(carried?.report ?? []).toString("hex"),
        decoded: [...reports.listWorkspaceUses("desk", 2)].map((
            [workspace, { perWeight, waiting }],
        ) => [workspace, perWeight.toPrecision(6), waiting]),
    };
};

const decodeReport = (): unknown => {
    const applied: unknown[] = [];
    const report = Buffer.from(String(RECORDED["report"]), "hex");
    createReportService(applied).applyReports([create(CarriedReportSchema, { report, ageMs: 10 })]);
    const { $typeName, ...fields } = toJson(LoadReportSchema, fromBinary(LoadReportSchema, report)) as Record<
        string,
        unknown
    >;
    return {
        type: $typeName,
        fields,
        applied: applied.map(value => typeof value === "bigint" ? `${value}` : value),
    };
};

const CLAIM_RECORDS: readonly unknown[] = [
    { kind: "claim", key: "k", digest: "d", nonce: "n-1", claimant: { vm: "vm-1", incarnation: "5" } },
    { kind: "claim", key: "k", digest: "d", nonce: "n-2", claimant: { vm: "vm-2", incarnation: "6" } },
    { kind: "release", key: "other", nonce: "n-3" },
    {
        kind: "completion",
        key: "k",
        nonce: "n-1",
        answer: { status: 200, contentType: "text/plain", body: "b", isComplete: true },
    },
];

const foldClaims = (): unknown => {
    const fold = ClaimFold.create(0);
    CLAIM_RECORDS.forEach((value, offset) => fold.apply({ offset, value }, () => true));
    return { holder: fold.findHolder("k"), verdicts: ["n-1", "n-2"].map(nonce => fold.findVerdict(nonce)) };
};

const createConfiguration = (): Configuration =>
    configurationSchema.parse(readJson("../../../../examples/configuration.json"));

const foldConfigurationRecords = (): unknown => {
    const change = { base: -1, changeId: "c-1", author: "operator", configuration: createConfiguration() };
    const publish = {
        ...createPublishRecord(change, VirtualTimerService.create()),
        publishedAt: WALL_CLOCK_MS,
    };
    const checkpoint = { ...publish, kind: "repeat", version: 41, readThrough: 60 };
    return {
        published: foldConfiguration(createConfigurationState(0), { offset: 0, value: publish }),
        kept: foldConfiguration(createConfigurationState(50), { offset: 61, value: checkpoint }),
    };
};

const SIGNER = ResumeTokenSigner.create([{ id: "a", secret: "a-secret-of-at-least-32-characters" }]);

const signToken = (): unknown =>
    SIGNER.sign({ id: "r-1", endpoint: "engine-1", caller: "sales", tier: 2, expiresAt: WALL_CLOCK_MS });

const verifyToken = (): unknown =>
    SIGNER.verify(`17.${String(RECORDED["token"])}`, "sales", WALL_CLOCK_MS - 1);

const createProblemBodies = (): unknown =>
    Object.keys(errorCatalogue).map(name => {
        const details = new Proxy({}, { get: (target, key) => `<${String(key)}>` });
        return createProblemBody(SchedulerError.create(name as ErrorName, details as never));
    });

const listEvents = (): unknown =>
    Object.fromEntries(
        Object.entries(eventCatalogue).map(([name, { number, level }]) => [name, [number, level]]),
    );

/** Store that keeps what was put. */
class RecordingStore extends KeyedStore {
    readonly records: unknown[] = [];

    override readSnapshot(): Promise<Result<CompleteBatch, SchedulerError>> {
        const value = Buffer.from(String(RECORDED["vmRecord"]));
        return Promise.resolve(
            Ok({
                kind: "complete",
                records: [{ key: "vm-1", value, offset: 0 }],
                next: { era: 1, offset: 1 },
            }),
        );
    }

    override readFrom(): Promise<Result<CompleteBatch | PartialBatch, SchedulerError>> {
        return Promise.resolve(Ok({ kind: "complete", records: [], next: { era: 1, offset: 0 } }));
    }

    override put(
        topic: string,
        key: string,
        value: Buffer | undefined,
    ): Promise<Result<number, SchedulerError>> {
        this.records.push(value?.toString());
        return Promise.resolve(Ok(0));
    }
}

const encodeVmRecord = async (): Promise<unknown> => {
    const store = new RecordingStore();
    await StoreVmList.create(store).register({
        name: "vm-1",
        region: "tanga",
        dataCentre: "tanga-lushoto",
        peerUrl: "http://10.0.0.1:9001",
        state: "live",
    });
    return store.records[0];
};

const decodeVmRecord = async (): Promise<unknown> =>
    (await StoreVmList.create(new RecordingStore()).read()).unwrap();

const LOG_DETAILS = {
    id: "a-1",
    route: "r-1",
    service: "desk",
    workspace: "w",
    version: 3,
    status: 200,
    outcome: "answered",
    instance: "i-1",
    sends: 1,
    rank: 2,
    promptTokens: 100,
    waitedMs: 20,
    firstMs: 120,
    predictedMs: 90,
    targetMs: 500,
    longestGapMs: 80,
    gapTargetMs: 60,
    events: 9,
    tookMs: 900,
    reason: "",
};

const parseLogLines = (): unknown =>
    [
        { name: "RequestEnded", details: LOG_DETAILS },
        { name: "RequestEnded", details: { ...LOG_DETAILS, outcome: "Overloaded", firstMs: -1, events: 0 } },
        { name: "RequestNotAdmitted", details: { id: "a-2", route: "r-1", error: "QuotaExceeded" } },
    ].map(line => {
        const parsed = parseRequestLogLine(JSON.stringify({ time: "2026-12-04T00:00:00.000Z", ...line }));
        return [parsed?.id, parsed?.route, parsed?.rank, parsed?.endedAt, parsed?.result, parsed?.waitedMs];
    });

const ROUTED_SETTINGS = {
    name: "vm-1",
    region: "tanga",
    dataCentre: "tanga-lushoto",
    listen: { callers: "127.0.0.1:1", ready: "127.0.0.1:2", peers: "127.0.0.1:3" },
    store: { address: "127.0.0.1:4" },
};

const parseSettings = (): unknown => ({
    settings: settingsSchema.parse(readJson("../../../../examples/vm.json")),
    routed: routedSettingsSchema.parse(ROUTED_SETTINGS),
});

const computeHashes = (): unknown => ({
    text: hashText("wax"),
    digest: computeDigest("wax"),
    owner: chooseByRendezvous("key", ["vm-1", "vm-2", "vm-3"], vm => vm),
    blocks: hashPrefixBlocks("x".repeat(3_000)),
    groups: createGroups(createConfiguration(), 8).map(({ name }) => name),
});

const EXAMPLES: Readonly<Record<string, () => unknown>> = {
    messages: encodeMessages,
    report: encodeReport,
    reportApplied: decodeReport,
    reportOfShares: exchangeShares,
    claims: foldClaims,
    configuration: foldConfigurationRecords,
    token: signToken,
    tokenVerified: verifyToken,
    problems: createProblemBodies,
    events: listEvents,
    vmRecord: encodeVmRecord,
    vmList: decodeVmRecord,
    logLines: parseLogLines,
    settings: parseSettings,
    hashes: computeHashes,
};

describe("what leaves the process is as recorded", () => {
    test.each(Object.keys(EXAMPLES))("%s", async name => {
        expect(JSON.parse(JSON.stringify(await EXAMPLES[name]?.()))).toEqual(RECORDED[name]);
    });

    test.each(Object.entries(MESSAGES))(
        "a recorded %s is decoded and encoded to the same bytes",
        (name, [schema, json]) => {
            const recorded = (RECORDED["messages"] as Record<string, string>)[name] ?? "";
            const message = fromBinary(schema, Buffer.from(recorded, "hex"));
            expect(toJson(schema, message)).toEqual(json);
            expect(Buffer.from(toBinary(schema, message)).toString("hex")).toBe(recorded);
        },
    );
});
