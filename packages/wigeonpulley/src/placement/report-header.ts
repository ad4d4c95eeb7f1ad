/** Identity of an encoded load report, read without decoding the rest of it. */
import { BinaryReader } from "@bufbuild/protobuf/wire";
import { LoadReportSchema } from "../gen/wigeonpulley/peer/v1/peer_pb.js";

/** Which report of which VM it is. */
export interface ReportHeader {
    readonly vm: string;
    readonly incarnation: bigint;
    readonly sequence: number;
}

const { vm: VM_FIELD, incarnation: INCARNATION_FIELD, sequence: SEQUENCE_FIELD } = LoadReportSchema.field;

/** Reads the header of an encoded report. Fields that are not at its beginning count as absent. */
export const readReportHeader = (encoded: Uint8Array): ReportHeader => {
    const reader = new BinaryReader(encoded);
    let vm = "";
    let incarnation = 0n;
    let sequence = 0;
    while (reader.pos < reader.len) {
        const [field] = reader.tag();
        if (field === VM_FIELD.number) {
            vm = reader.string();
        }
        else if (field === INCARNATION_FIELD.number) {
            incarnation = BigInt(reader.uint64());
        }
        else if (field === SEQUENCE_FIELD.number) {
            sequence = reader.uint32();
        }
        else {
            break;
        }
    }
    return { vm, incarnation, sequence };
};

/** True when `report` is of the same VM as `other` and was made after it. */
export const isNewerReport = (report: ReportHeader, other: ReportHeader): boolean =>
    report.incarnation > other.incarnation
    || (report.incarnation === other.incarnation && report.sequence > other.sequence);
