/**
 * Decides which free slots this VM takes while at least as many requests wait for them at other VMs. Each VM takes a part in
 * proportion to its waiting requests, and of less than a whole slot it takes one with that probability. So all VMs together take
 * each free slot about once before they know of each other's choices, however many VMs there are and however often they check.
 */
import type { Instance } from "../discovery/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";
import type { InstanceRateLimits } from "./instance-rate-limits.js";
import type { PeerLoads } from "./peer-loads.js";

/** Dependencies. */
export interface SlotClaimsOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly peers: PeerLoads;
    readonly rateLimits: InstanceRateLimits;
}

/** Free slots, and the requests that wait for them. */
export interface ContendedSlots {
    /** Name of the queue of the requests. */
    readonly queue: string;
    readonly free: number;
    /** Number of waiting requests at this VM, and at the others as far as known. */
    readonly own: number;
    readonly others: number;
    /** Mean time for which a request holds a slot, in milliseconds; undefined when it is not known. */
    readonly slotTimeMs: number | undefined;
}

/** Shortest time in which the VMs take the free slots once, in milliseconds. */
const MIN_INTERVAL_MS = 50;
/**
 * The same for each free slot: a few slots are taken sooner than others know of it, since a late claim leaves them idle and
 * too many claims are few.
 */
const INTERVAL_PER_SLOT_MS = 50;
/**
 * Factor for the slots of instances that fail when they turn away too many requests, however many slots look free: a claim by
 * an outdated report is turned away.
 */
export const BRITTLE_FACTOR = 0.5;

interface ClaimState {
    /** Slots that may be taken at the newest check. */
    credit: number;
    /** Monotonic time of the newest check, in milliseconds. */
    checkedAt: number;
}

/** Claims of one VM. */
export class SlotClaims {
    private readonly stateByQueue = new Map<string, ClaimState>();

    private constructor(private readonly options: SlotClaimsOptions) {}

    /** Creates claims of a VM that has taken no slot yet. */
    static create(options: SlotClaimsOptions): SlotClaims {
        return new SlotClaims(options);
    }

    /**
     * True when a request may go to the instance because this VM has just freed a slot, of which the others learn only with the
     * next report. At an instance that fails when it has to turn away too many requests, only the slot that was freed there
     * is used again.
     */
    canReuse(instance: Instance, freedInstance: string | undefined): boolean {
        return this.options.rateLimits.isBrittle(instance)
            ? freedInstance === instance.id
            : freedInstance !== undefined;
    }

    /** Takes one of the free slots, if this VM's part of them allows it now. */
    tryClaim(instance: Instance, slots: ContendedSlots): boolean {
        const { timers, random, rateLimits } = this.options;
        const { queue, free, own, others } = slots;
        const now = timers.now();
        const state = this.stateByQueue.get(queue) ?? { credit: 0, checkedAt: Number.NEGATIVE_INFINITY };
        this.stateByQueue.set(queue, state);
        const elapsedMs = now - state.checkedAt;
        if (elapsedMs > 0) {
            const part = free * own / (own + others) * (rateLimits.isBrittle(instance) ? BRITTLE_FACTOR : 1);
            state.checkedAt = now;
            state.credit = part * Math.min(1, elapsedMs / this.computeIntervalMs(slots))
                + random.pickFraction();
        }
        if (state.credit < 1) {
            return false;
        }
        state.credit -= 1;
        return true;
    }

    /** Time until the other VMs know of a claim, or its slot is free again, in milliseconds. */
    private computeIntervalMs({ free, slotTimeMs = Number.POSITIVE_INFINITY }: ContendedSlots): number {
        return Math.max(
            MIN_INTERVAL_MS,
            Math.min(this.options.peers.getReportAgeMs(), slotTimeMs, free * INTERVAL_PER_SLOT_MS),
        );
    }
}
