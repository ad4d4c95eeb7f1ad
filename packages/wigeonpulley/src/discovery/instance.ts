/** One incarnation of an endpoint's process, as it describes itself. */
import { z } from "zod";

/** Shape of an instance. */
export const instanceSchema = z.object({
    /** Name of this incarnation; a restart may keep it. */
    id: z.string().min(1),
    service: z.string().min(1),
    host: z.ipv4(),
    port: z.number().int().min(1).max(65_535),
    dataCentre: z.string(),
    /** Version of its software. */
    version: z.string(),
    /** Requests that it works on at once. */
    slots: z.number().int().positive(),
    state: z.enum(["ready", "draining"]),
    /** Time for which it stays slow after its start, in milliseconds. */
    coldMs: z.number().min(0),
    /** Start of the incarnation, in Unix milliseconds; 0 when it is not told. */
    bornMs: z.number(),
});

/** An instance. */
export type Instance = z.infer<typeof instanceSchema>;

/** True when both entries mean the same process at the same address. */
export const isSameIncarnation = (left: Instance, right: Instance): boolean =>
    left.id === right.id && left.bornMs === right.bornMs && left.host === right.host
    && left.port === right.port;
