/** Encodes records of the store and positions in its topics for messages between VMs. */
import { create } from "@bufbuild/protobuf";
import {
    type FetchedRecord,
    FetchedRecordSchema,
    type RecordPosition,
    RecordPositionSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { KeyedRecord, TopicPosition } from "../store/index.js";

/** Encodes a position. */
export const encodePosition = ({ era, offset }: TopicPosition): RecordPosition =>
    create(RecordPositionSchema, { era, offset: BigInt(offset) });

/** Decodes a position. */
export const decodePosition = ({ era, offset }: RecordPosition): TopicPosition => ({
    era,
    offset: Number(offset),
});

/** Encodes records; one without a value is a removed key. */
export const encodeRecords = (records: readonly KeyedRecord[]): FetchedRecord[] =>
    records.map(({ key, value, offset }) =>
        create(FetchedRecordSchema, {
            key,
            ...(value === undefined ? {} : { value }),
            offset: BigInt(offset),
        })
    );

/** Decodes records. */
export const decodeRecords = (records: readonly FetchedRecord[]): readonly KeyedRecord[] =>
    records.map(({ key, value, offset }) => ({
        key,
        value: value === undefined ? undefined : Buffer.from(value),
        offset: Number(offset),
    }));
