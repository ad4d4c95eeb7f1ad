/**
 * The configuration in force, as a fold over the configuration stream of the log.
 * Every reader of the same prefix reaches the same version, whoever appended.
 */
import { z } from "zod";
import type { LogRecord } from "../platform/index.js";
import { configurationSchema } from "./configuration.js";

/** Name of the log stream that carries configurations. */
export const CONFIGURATION_STREAM = "configuration";

/** Base of the first configuration ever published. */
export const NO_VERSION = -1;

/** Record of one change. A later record with the same `changeId` is the same change. */
export const publishRecordSchema = z.object({
    kind: z.literal("publish"),
    /** Offset of the version that the change is based on. */
    base: z.number().int(),
    changeId: z.string().min(1),
    /** Name of the operator, for the audit trail. */
    author: z.string(),
    /** Wall-clock time of the publication, in milliseconds. */
    publishedAt: z.number(),
    configuration: configurationSchema,
});

/** Record that repeats the version in force, so that retention does not drop it. */
export const checkpointRecordSchema = z.object({
    kind: z.literal("repeat"),
    version: z.number().int(),
    /** The writer had read every record up to this offset. */
    readThrough: z.number().int(),
    changeId: z.string().min(1),
    author: z.string(),
    publishedAt: z.number(),
    configuration: configurationSchema,
});

const configurationRecordSchema = z.discriminatedUnion("kind", [publishRecordSchema, checkpointRecordSchema]);

/** A change as it is appended. */
export type PublishRecord = z.infer<typeof publishRecordSchema>;

/** A repetition as it is appended. */
export type CheckpointRecord = z.infer<typeof checkpointRecordSchema>;

/** A configuration with the offset that made it effective. */
export const configurationVersionSchema = z.object({
    /** Offset of the record that made the change effective. */
    version: z.number().int(),
    /** Offset of the latest record that holds this version. */
    recordOffset: z.number().int(),
    changeId: z.string(),
    author: z.string(),
    publishedAt: z.number(),
    configuration: configurationSchema,
});

/** A configuration with the offset that made it effective. */
export type ConfigurationVersion = z.infer<typeof configurationVersionSchema>;

/** State of the fold. */
export interface ConfigurationState {
    readonly current: ConfigurationVersion | undefined;
    /** First offset that was read; later than 0 when retention had dropped records before. */
    readonly startOffset: number;
    /** Offset of the next record to read. */
    readonly nextOffset: number;
    /** Bases of the changes read while the version in force was not known. */
    readonly undecidedBases: readonly number[];
}

/** State of a reader that begins at an offset. */
export const createConfigurationState = (startOffset: number): ConfigurationState => ({
    current: undefined,
    startOffset,
    nextOffset: startOffset,
    undecidedBases: [],
});

const foldPublish = (
    state: ConfigurationState,
    offset: number,
    record: PublishRecord,
): ConfigurationState => {
    if (state.current === undefined && state.startOffset > 0) {
        return { ...state, undecidedBases: [...state.undecidedBases, record.base] };
    }
    if (record.base !== (state.current?.version ?? NO_VERSION)) {
        return state;
    }
    const { changeId, author, publishedAt, configuration } = record;
    return {
        ...state,
        current: { version: offset, recordOffset: offset, changeId, author, publishedAt, configuration },
    };
};

/**
 * A reader that began after the change itself takes the version from a repetition, but only if it has read
 * everything since the repetition's writer had and saw no change of that version.
 */
const foldCheckpoint = (
    state: ConfigurationState,
    offset: number,
    record: CheckpointRecord,
): ConfigurationState => {
    if (state.current !== undefined) {
        return state.current.version === record.version
            ? { ...state, current: { ...state.current, recordOffset: offset } }
            : state;
    }
    const isCertain = record.readThrough >= state.startOffset - 1
        && !state.undecidedBases.includes(record.version);
    if (state.startOffset === 0 || !isCertain) {
        return state;
    }
    const { version, changeId, author, publishedAt, configuration } = record;
    return {
        ...state,
        current: { version, recordOffset: offset, changeId, author, publishedAt, configuration },
    };
};

/** Applies one record. A change is effective only if its base is the version in force. */
export const foldConfiguration = (state: ConfigurationState, record: LogRecord): ConfigurationState => {
    if (record.offset < state.nextOffset) {
        return state;
    }
    const advanced = { ...state, nextOffset: record.offset + 1 };
    const parsed = configurationRecordSchema.safeParse(record.value);
    if (!parsed.success) {
        return advanced;
    }
    return parsed.data.kind === "publish"
        ? foldPublish(advanced, record.offset, parsed.data)
        : foldCheckpoint(advanced, record.offset, parsed.data);
};

/** Takes over a version that a peer has in force; it counts as read through the peer's record. */
export const applyVersion = (state: ConfigurationState, version: ConfigurationVersion): ConfigurationState =>
    version.version > (state.current?.version ?? NO_VERSION)
        ? { ...state, current: version, nextOffset: Math.max(state.nextOffset, version.version + 1) }
        : state;
