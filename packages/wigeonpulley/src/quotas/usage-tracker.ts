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
    /** Units that all VMs used in the window, as far as the VM knows. */
    readonly knownUnits: number;
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

    /** Applies what another VM reported; usage that a restarted VM has lost still counts for a window. */
    applyPeerReport(
        vm: string,
        incarnation: bigint,
        usage: WorkspaceUsage,
        receivedAt: number,
        windowMs: number,
    ): void {
        const previous = this.peers.get(vm);
        const lost = previous === undefined || previous.incarnation === incarnation
            ? previous?.lost ?? { units: 0, receivedAt }
            : {
                units: previous.usedUnits + this.getLostUnits(previous, windowMs),
                receivedAt: previous.receivedAt,
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

    /**
     * Estimates the units that `vmCount` VMs used in the window; one without a fresh report may have used
     * `unreportedUnits`.
     */
    estimateTotal(windowMs: number, vmCount: number, unreportedUnits: number): number {
        const now = this.timers.now();
        this.removeExpired(now - windowMs);
        const unknown = Math.max(0, vmCount - 1 - this.peers.size) * unreportedUnits;
        let total = this.local.getTotal(windowMs) + unknown;
        for (const { receivedAt, usedUnits, lost } of this.peers.values()) {
            const isFresh = receivedAt >= now - FRESH_REPORT_MS;
            total += isFresh ? usedUnits : Math.max(usedUnits, unreportedUnits);
            total += lost.receivedAt < now - windowMs ? 0 : lost.units;
        }
        return total;
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
