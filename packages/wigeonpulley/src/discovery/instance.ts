/** Schema of an instance: one incarnation of an endpoint's process, as it registers itself. */
import * as z from "zod";
import { hashText } from "../hashing/index.js";

/** Schema of an instance. */
export const instanceSchema = z.object({
    /** Name of this instance; a restarted process may keep it. */
    id: z.string().min(1),
    service: z.string().min(1),
    host: z.ipv4(),
    port: z.number().int().min(1).max(65_535),
    dataCentre: z.string(),
    /** Version of its software. */
    version: z.string(),
    /** Requests that it processes at the same time. */
    slots: z.number().int().positive(),
    state: z.enum(["ready", "draining"]),
    /** Time for which it is slow after its start, in milliseconds. */
    coldMs: z.number().min(0),
    /** Start of the incarnation, in Unix milliseconds; 0 when it is unknown. */
    bornMs: z.number(),
    /** Number of the incarnation's registration, which rises with each; 0 when it is unknown. */
    sequence: z.number().default(0),
});

/** An instance. */
export type Instance = z.infer<typeof instanceSchema>;

/** True when both entries describe the same process at the same address. */
export const isSameIncarnation = (left: Instance, right: Instance): boolean =>
    left.id === right.id && left.bornMs === right.bornMs && left.host === right.host
    && left.port === right.port;

const incarnationHashes = new WeakMap<Instance, number>();

/** Returns the identifier of an incarnation in messages between VMs. */
export const hashIncarnation = (instance: Instance): number => {
    const hash = incarnationHashes.get(instance) ?? hashText(`${instance.id} ${instance.bornMs}`);
    incarnationHashes.set(instance, hash);
    return hash;
};
