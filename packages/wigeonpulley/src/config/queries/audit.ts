/** Lists the changes that the log still holds, with the outcome of each. */
import type { Result } from "ts-results-es";
import type { SchedulerError } from "../../errors/index.js";
import type { LogRecord, PlatformLog } from "../../platform/index.js";
import { type ConfigurationState, publishRecordSchema } from "../config-fold.js";
import { type ConfigurationChange, diffConfigurations } from "./diff.js";
import { foldConfigurationStream } from "./fold-configuration-stream.js";

/** One change in the audit trail. */
export interface AuditEntry {
    readonly offset: number;
    readonly author: string;
    /** Time of publication as an ISO 8601 date. */
    readonly publishedAt: string;
    readonly changeId: string;
    readonly base: number;
    /** Unknown when retention has dropped the version that the change was based on. */
    readonly verdict: "effective" | "conflict" | "unknown";
    readonly changes: readonly ConfigurationChange[];
}

/** Reads the audit trail. Fails with LogUnavailable. */
export const readAuditTrail = async (
    log: PlatformLog,
): Promise<Result<readonly AuditEntry[], SchedulerError>> => {
    const entries: AuditEntry[] = [];
    const folded = await foldConfigurationStream(log, undefined, (record, before, after) => {
        entries.push(...createEntry(before, after, record));
        return false;
    });
    return folded.map(() => entries);
};

const createEntry = (
    before: ConfigurationState,
    after: ConfigurationState,
    record: LogRecord,
): readonly AuditEntry[] => {
    const parsed = publishRecordSchema.safeParse(record.value);
    if (!parsed.success) {
        return []; // A checkpoint changes nothing.
    }
    const { author, publishedAt, changeId, base, configuration } = parsed.data;
    const isEffective = after.current?.version === record.offset;
    const isUnknown = before.current === undefined && before.startOffset > 0;
    return [{
        offset: record.offset,
        author,
        publishedAt: new Date(publishedAt).toISOString(),
        changeId,
        base,
        verdict: isEffective ? "effective" : isUnknown ? "unknown" : "conflict",
        changes: isEffective ? diffConfigurations(before.current?.configuration, configuration) : [],
    }];
};
