/** Orders of operators to move a service to another version, and the states of such rollouts. */
import * as z from "zod";

/** Order to move a service's requests to the endpoints of another version. */
export const rolloutOrderSchema = z.object({
    service: z.string().min(1).describe("Service whose requests are moved."),
    version: z.string().min(1).describe("Version that receives the requests."),
    durationMs: z.number().positive().describe("Time from the order to its deadline, in milliseconds."),
});

/** Order of an operator. */
export type RolloutOrder = z.infer<typeof rolloutOrderSchema>;

/** State of a rollout; `completed` and `rolled-back` are final. */
export const rolloutStateSchema = z.enum(["active", "completed", "rolled-back"]);

/** State of a rollout. */
export type RolloutState = z.infer<typeof rolloutStateSchema>;

/** Stored state of a service's newest rollout. */
export interface RolloutStatus {
    readonly service: string;
    readonly version: string;
    readonly state: RolloutState;
}

/** True for a state that never changes again. */
export const isFinalState = (state: RolloutState): boolean => state !== "active";
