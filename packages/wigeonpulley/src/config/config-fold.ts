/**
 * Computes the active configuration as a fold over the configuration stream of the log.
 * All readers of the same prefix compute the same version, whichever operators appended.
 */
import * as z from "zod";
import type { LogRecord } from "../platform/index.js";
import { configurationSchema } from "./configuration.js";

/** Name of the log stream that carries configurations. */
export const CONFIGURATION_STREAM = "configuration";

/** Stands for the absence of a version; the base of the first configuration ever published. */
export const NO_VERSION = -1;

/** Record of one change. A later record with the same `changeId` is a retry of the same change. */
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

/** Checkpoint: record that copies the active version, so that retention does not drop it. */
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

/** Record of a change. */
export type PublishRecord = z.infer<typeof publishRecordSchema>;

/** Record of a checkpoint. */
export type CheckpointRecord = z.infer<typeof checkpointRecordSchema>;

/** Schema of a configuration with the offset at which it took effect. */
export const configurationVersionSchema = z.object({
    /** Offset of the record with which the change took effect. */
    version: z.number().int(),
    /** Offset of the latest record that holds this version. */
    recordOffset: z.number().int(),
    changeId: z.string(),
    author: z.string(),
    publishedAt: z.number(),
    configuration: configurationSchema,
});

/** A configuration with the offset at which it took effect. */
export type ConfigurationVersion = z.infer<typeof configurationVersionSchema>;

/** State of the fold. */
export interface ConfigurationState {
    readonly current: ConfigurationVersion | undefined;
    /** First offset that was read; greater than 0 when retention had dropped earlier records. */
    readonly startOffset: number;
    /** Offset of the next record to read. */
    readonly nextOffset: number;
    /** Bases of the changes that were read while the active version was unknown. */
    readonly undecidedBases: readonly number[];
}

/** Creates the state of a reader that starts at an offset. */
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
 * A reader that started after the change itself takes the version from a checkpoint, but only if it has read every
 * record that the checkpoint's writer had not read yet, and none of them is a change based on that version.
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

/** Applies one record. A change takes effect only if its base is the active version. */
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

/** Applies the active version of a peer, if it is newer; the log counts as read up to that version's record. */
export const applyVersion = (state: ConfigurationState, version: ConfigurationVersion): ConfigurationState =>
    version.version > (state.current?.version ?? NO_VERSION)
        ? { ...state, current: version, nextOffset: Math.max(state.nextOffset, version.version + 1) }
        : state;
