/** Converts the pace of instances to and from the form in which VMs report it to each other. */
import { create } from "@bufbuild/protobuf";
import {
    type PaceLevels,
    PaceLevelsSchema,
    type PaceReport,
    PaceReportSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { ReportedPace } from "./learned-concurrency.js";
import type { PaceCell } from "./pace-table.js";

const WEIGHT_UNITS = 10;
const LOGARITHM_UNITS = 1_000;
/** Levels of one instance that are reported and read; bounds the size of a report. */
const MAX_LEVELS = 128;

/** Encodes what this VM reports of an instance. */
export const encodePace = ({ instance, limit, recent, longTerm }: ReportedPace): PaceReport =>
    create(PaceReportSchema, {
        instance,
        limit: limit ?? 0,
        recent: encodeTable(recent),
        longTerm: encodeTable(longTerm),
    });

/** Decodes what another VM reports; leaves out levels without a weight. */
export const decodePace = ({ instance, limit, recent, longTerm }: PaceReport): ReportedPace => ({
    instance,
    limit: limit === 0 ? undefined : limit,
    recent: decodeTable(recent),
    longTerm: decodeTable(longTerm),
});

const encodeTable = (cells: ReadonlyMap<number, PaceCell>): PaceLevels => {
    const levels = [...cells].filter(([, { weight }]) => weight * WEIGHT_UNITS >= 1).slice(0, MAX_LEVELS);
    return create(PaceLevelsSchema, {
        levels: levels.map(([level]) => level),
        weights: levels.map(([, { weight }]) => Math.round(weight * WEIGHT_UNITS)),
        means: levels.map(([, { mean }]) => Math.round(mean * LOGARITHM_UNITS)),
        squares: levels.map(([, { squares }]) => Math.round(squares * LOGARITHM_UNITS)),
    });
};

const decodeTable = (table: PaceLevels | undefined): ReadonlyMap<number, PaceCell> =>
    new Map(
        (table?.levels ?? []).slice(0, MAX_LEVELS)
            .map((level, index): [number, PaceCell] => [level, {
                weight: (table?.weights[index] ?? 0) / WEIGHT_UNITS,
                mean: (table?.means[index] ?? 0) / LOGARITHM_UNITS,
                squares: (table?.squares[index] ?? 0) / LOGARITHM_UNITS,
            }])
            .filter(([level, { weight }]) => level > 0 && weight > 0),
    );
