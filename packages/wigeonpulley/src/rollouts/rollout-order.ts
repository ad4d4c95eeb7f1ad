/** What operators order, and what the system answers for it. */
import { z } from "zod";

/** An order to move a service's requests to the endpoints of another version. */
export const rolloutOrderSchema = z.object({
    service: z.string().min(1).describe("Service whose requests move."),
    version: z.string().min(1).describe("Version that takes over."),
    durationMs: z.number().positive().describe("Time from the order to its deadline, in milliseconds."),
});

/** An order. */
export type RolloutOrder = z.infer<typeof rolloutOrderSchema>;

/** How far an order is; `completed` and `rolled-back` are final. */
export const rolloutStateSchema = z.enum(["active", "completed", "rolled-back"]);

/** State of an order. */
export type RolloutState = z.infer<typeof rolloutStateSchema>;

/** What the store says of a service's newest roll-out. */
export interface RolloutStatus {
    readonly service: string;
    readonly version: string;
    readonly state: RolloutState;
}

/** True for a state that never changes again. */
export const isFinalState = (state: RolloutState): boolean => state !== "active";
