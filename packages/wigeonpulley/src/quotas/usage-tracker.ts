/** Tracks the usage of one workspace's quota in a sliding window: this VM's own and what the other VMs reported. */
import type { TimerService } from "../time/index.js";
import { SlidingWindowCounter } from "./sliding-window-counter.js";

/** Usage of one workspace's quota as a VM reports it to the others. */
export interface WorkspaceUsage {
    readonly workspace: string;
    /** Part of its equal share of the rate that the VM keeps for itself, in units per second. */
    readonly keptPerS: number;
    /** Recent demand, in units per second. */
    readonly demandPerS: number;
    /** Units that the VM used in the window. */
    readonly usedUnits: number;
    /** Units that all VMs reported for the window, as far as the VM knows; without what it only estimates. */
    readonly knownUnits: number;
}

/** What a VM may use without its reports reaching this VM. */
export interface UnreportedUsage {
    /** Most units that a VM may use in a window. */
    readonly equalPart: number;
    /** Units that a VM may use at once, on top of those that it may use each millisecond. */
    readonly atOnce: number;
    readonly perMs: number;
    /** Demand from which a VM may also borrow from the others, in units per second. */
    readonly borrowingDemandPerS: number;
}

/** Age up to which a peer's report is fresh and lends its unused rate; covers a few intervals between reports. */
const FRESH_REPORT_MS = 1_200;

interface PeerUsage extends WorkspaceUsage {
    readonly receivedAt: number;
    readonly incarnation: bigint;
    /** Usage of earlier incarnations that the current one doesn't know of; counts until it has left the window. */
    readonly lost: { readonly units: number; readonly receivedAt: number; };
}

/** Usage of one workspace. */
export class UsageTracker {
    private readonly local: SlidingWindowCounter;
    private readonly peers = new Map<string, PeerUsage>();

    private constructor(private readonly timers: TimerService) {
        this.local = SlidingWindowCounter.create(timers);
    }

    /** Creates a tracker without recorded usage. */
    static create(timers: TimerService): UsageTracker {
        return new UsageTracker(timers);
    }

    /** Records units that this VM used; a negative number refunds units. */
    add(units: number): void {
        this.local.add(units);
    }

    /**
     * Applies what another VM reported. What its predecessor used still counts for a window when the VM was restarted, with
     * what it may have used since its last report.
     */
    applyPeerReport(
        vm: string,
        incarnation: bigint,
        usage: WorkspaceUsage,
        receivedAt: number,
        windowMs: number,
        unreported: UnreportedUsage,
    ): void {
        const previous = this.peers.get(vm);
        const lost = previous === undefined || previous.incarnation === incarnation
            ? previous?.lost ?? { units: 0, receivedAt }
            : {
                units: previous.usedUnits + this.getLostUnits(previous, windowMs)
                    + estimateUsedSince(previous, receivedAt, unreported),
                receivedAt,
            };
        this.peers.set(vm, { ...usage, receivedAt, incarnation, lost });
    }

    /** Returns the reports of all VMs that are still fresh. */
    listFreshReports(): readonly WorkspaceUsage[] {
        const oldestFresh = this.timers.now() - FRESH_REPORT_MS;
        return [...this.peers.values()].filter(({ receivedAt }) => receivedAt >= oldestFresh);
    }

    /** Returns the units that this VM used in the window. */
    getLocalTotal(windowMs: number): number {
        return this.local.getTotal(windowMs);
    }

    /** Returns the units that this VM used in the window and that the others reported for it. */
    getKnownTotal(windowMs: number): number {
        const oldest = this.timers.now() - windowMs;
        this.removeExpired(oldest);
        let total = this.local.getTotal(windowMs);
        for (const { usedUnits, lost } of this.peers.values()) {
            total += usedUnits + (lost.receivedAt < oldest ? 0 : lost.units);
        }
        return total;
    }

    /** Estimates the units that `vmCount` VMs used in the window, with what they may have used unreported. */
    estimateTotal(windowMs: number, vmCount: number, unreported: UnreportedUsage): number {
        const now = this.timers.now();
        const known = this.getKnownTotal(windowMs);
        const unknownVms = Math.max(0, vmCount - 1 - this.peers.size);
        let usedSince = 0;
        for (const peer of this.peers.values()) {
            usedSince += estimateUsedSince(peer, now, unreported);
        }
        return known + unknownVms * unreported.equalPart + usedSince;
    }

    /** Removes VMs whose usage has left the window; those that still exist count as unreported again. */
    private removeExpired(oldest: number): void {
        for (const [vm, { receivedAt }] of this.peers) {
            if (receivedAt < oldest) {
                this.peers.delete(vm);
            }
        }
    }

    private getLostUnits({ lost }: PeerUsage, windowMs: number): number {
        return lost.receivedAt < this.timers.now() - windowMs ? 0 : lost.units;
    }
}

/** Estimates the units that a VM has used by `now` since its last report; none while that is fresh. */
const estimateUsedSince = (
    { receivedAt, usedUnits, demandPerS }: PeerUsage,
    now: number,
    { equalPart, atOnce, perMs, borrowingDemandPerS }: UnreportedUsage,
): number => {
    const ageMs = now - receivedAt;
    if (ageMs <= FRESH_REPORT_MS) {
        return 0;
    }
    const usable = demandPerS > borrowingDemandPerS ? equalPart : atOnce + perMs * ageMs;
    return Math.max(0, Math.min(equalPart - usedUnits, usable));
};
