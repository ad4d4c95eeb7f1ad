/** Tracks which groups have refused one request, to decide whether it is refused for good. */
import { RefusalReason } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { TimerService } from "../time/index.js";
import { SHED_WINDOW_MS, type SlotRefusal } from "./group-scheduler.js";

/** Time for which a refusal counts, in milliseconds; below the shed window, since a refusal takes time to arrive. */
const REFUSAL_VALIDITY_MS = SHED_WINDOW_MS / 2;

/** Refusals of one request. */
export class RefusalHistory {
    private readonly refusals = new Map<
        string,
        { readonly refusal: SlotRefusal; readonly refusedAt: number; }
    >();

    private constructor(private readonly timers: TimerService) {}

    /** Creates an empty history. */
    static create(timers: TimerService): RefusalHistory {
        return new RefusalHistory(timers);
    }

    /** Records a group's refusal. */
    add(group: string, refusal: SlotRefusal): void {
        this.refusals.set(group, { refusal, refusedAt: this.timers.now() });
    }

    /** True when any group has refused the request because of load. */
    get hasOverloadRefusal(): boolean {
        return [...this.refusals.values()].some(({ refusal }) => refusal.reason === RefusalReason.OVERLOADED);
    }

    /**
     * Refusals that still count, by group. A refusal expires because a group sheds lower tiers for a while only. Once a
     * group has refused for load, refusals for an unattainable deadline no longer count: those groups have to refuse
     * for load, too, so that they shed lower tiers.
     */
    listValid(): ReadonlyMap<string, SlotRefusal> {
        const now = this.timers.now();
        const { hasOverloadRefusal } = this;
        return new Map(
            [...this.refusals]
                .filter(([, { refusedAt }]) => now - refusedAt < REFUSAL_VALIDITY_MS)
                .filter(([, { refusal }]) =>
                    !hasOverloadRefusal || refusal.reason !== RefusalReason.DEADLINE_UNATTAINABLE
                )
                .map(([group, { refusal }]) => [group, refusal]),
        );
    }
}
