/**
 * Decodes load reports. VMs get several of each other VM in a second, and the decoder of the library, which works by reflection, takes
 * several times as long for them; it decodes whatever has another form than VMs of this version write.
 */
import { fromBinary } from "@bufbuild/protobuf";
import { BinaryReader, WireType } from "@bufbuild/protobuf/wire";
import {
    type LoadReport,
    LoadReportSchema,
    type PaceReport,
    PaceReportSchema,
    type RolloutReport,
    RolloutReportSchema,
    type WorkspaceShareReport,
    WorkspaceShareReportSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";

/** Content of a load report. */
export type LoadReportContent = Omit<LoadReport, "$typeName" | "$unknown">;

const fields = LoadReportSchema.field;

const NUMBER_LISTS = {
    [fields.inFlight.number]: "inFlight",
    [fields.pendingTokens.number]: "pendingTokens",
    [fields.queueRanks.number]: "queueRanks",
    [fields.queueWaiting.number]: "queueWaiting",
    [fields.workspaceKeptPerS.number]: "workspaceKeptPerS",
    [fields.workspaceDemandPerS.number]: "workspaceDemandPerS",
    [fields.workspaceUsedUnits.number]: "workspaceUsedUnits",
    [fields.workspaceKnownUnits.number]: "workspaceKnownUnits",
    [fields.instanceGapMs.number]: "instanceGapMs",
} as const;
const TEXT_LISTS = {
    [fields.instances.number]: "instances",
    [fields.queueServices.number]: "queueServices",
    [fields.workspaces.number]: "workspaces",
} as const;

/** Decodes a report. Throws when the bytes are none. */
export const decodeLoadReport = (encoded: Uint8Array): LoadReportContent =>
    decodeKnownFields(encoded) ?? fromBinary(LoadReportSchema, encoded);

/** Undefined when there is a field that is not known, or that has another form. */
const decodeKnownFields = (encoded: Uint8Array): LoadReportContent | undefined => {
    const reader = new BinaryReader(encoded);
    const rollouts: RolloutReport[] = [];
    const workspaceShares: WorkspaceShareReport[] = [];
    const paces: PaceReport[] = [];
    const header = { vm: "", incarnation: 0n, sequence: 0 };
    const lists = createLists();
    while (reader.pos < reader.len) {
        const [field, wireType] = reader.tag();
        if (field === fields.incarnation.number && wireType === WireType.Varint) {
            header.incarnation = BigInt(reader.uint64());
        }
        else if (field === fields.sequence.number && wireType === WireType.Varint) {
            header.sequence = reader.uint32();
        }
        else if (wireType !== WireType.LengthDelimited) {
            return undefined;
        }
        else if (field === fields.vm.number) {
            header.vm = reader.string();
        }
        else if (field in TEXT_LISTS) {
            lists[TEXT_LISTS[field] ?? "instances"].push(reader.string());
        }
        else if (field in NUMBER_LISTS) {
            readNumbers(reader, lists[NUMBER_LISTS[field] ?? "inFlight"]);
        }
        else if (field === fields.rollouts.number) {
            rollouts.push(fromBinary(RolloutReportSchema, reader.bytes()));
        }
        else if (field === fields.workspaceShares.number) {
            workspaceShares.push(fromBinary(WorkspaceShareReportSchema, reader.bytes()));
        }
        else if (field === fields.paces.number) {
            paces.push(fromBinary(PaceReportSchema, reader.bytes()));
        }
        else {
            return undefined;
        }
    }
    return { ...header, ...lists, rollouts, workspaceShares, paces };
};

const createLists = () => ({
    instances: new Array<string>(),
    inFlight: new Array<number>(),
    pendingTokens: new Array<number>(),
    queueServices: new Array<string>(),
    queueRanks: new Array<number>(),
    queueWaiting: new Array<number>(),
    workspaces: new Array<string>(),
    workspaceKeptPerS: new Array<number>(),
    workspaceDemandPerS: new Array<number>(),
    workspaceUsedUnits: new Array<number>(),
    workspaceKnownUnits: new Array<number>(),
    instanceGapMs: new Array<number>(),
});

const readNumbers = (reader: BinaryReader, numbers: number[]): void => {
    const length = reader.uint32();
    for (const end = reader.pos + length; reader.pos < end;) {
        numbers.push(reader.uint32());
    }
};
