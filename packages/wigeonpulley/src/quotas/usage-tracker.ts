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

/** Age up to which a peer's report is fresh and lends its unused rate; covers a few intervals between reports. */
const FRESH_REPORT_MS = 1_200;

interface PeerUsage extends WorkspaceUsage {
    readonly receivedAt: number;
    readonly incarnation: bigint;
    /**
     * Usage of earlier incarnations that the current one doesn't know of, and what they may have used without a report; counts
     * until it has left the window.
     */
    readonly lost: {
        readonly units: number;
        readonly unreportedUnits: number;
        readonly receivedAt: number;
    };
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
     * Applies what another VM reported. Usage that a restarted VM has lost still counts for a window, with what it may have
     * used of an `equalPart` since its last report.
     */
    applyPeerReport(
        vm: string,
        incarnation: bigint,
        usage: WorkspaceUsage,
        receivedAt: number,
        windowMs: number,
        equalPart: number,
    ): void {
        const previous = this.peers.get(vm);
        const lost = previous === undefined || previous.incarnation === incarnation
            ? previous?.lost ?? { units: 0, unreportedUnits: 0, receivedAt }
            : this.createLost(previous, receivedAt, windowMs, equalPart);
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

    /** Estimates the units that `vmCount` VMs used in the window; one without a fresh report may have used `equalPart`. */
    estimateTotal(windowMs: number, vmCount: number, equalPart: number): number {
        const now = this.timers.now();
        const known = this.getKnownTotal(windowMs);
        let unreported = Math.max(0, vmCount - 1 - this.peers.size) * equalPart;
        for (const peer of this.peers.values()) {
            unreported += estimateUnreported(peer, now, equalPart)
                + (peer.lost.receivedAt < now - windowMs ? 0 : peer.lost.unreportedUnits);
        }
        return known + unreported;
    }

    /** Removes VMs whose usage has left the window; those that still exist count as unreported again. */
    private removeExpired(oldest: number): void {
        for (const [vm, { receivedAt }] of this.peers) {
            if (receivedAt < oldest) {
                this.peers.delete(vm);
            }
        }
    }

    private createLost(
        previous: PeerUsage,
        receivedAt: number,
        windowMs: number,
        equalPart: number,
    ): PeerUsage["lost"] {
        const { usedUnits, lost } = previous;
        const isExpired = lost.receivedAt < receivedAt - windowMs;
        return {
            units: usedUnits + (isExpired ? 0 : lost.units),
            unreportedUnits: estimateUnreported(previous, receivedAt, equalPart)
                + (isExpired ? 0 : lost.unreportedUnits),
            receivedAt: previous.receivedAt,
        };
    }
}

/** Estimates the units that a VM may have used by `now` beyond its last report; none while that is fresh. */
const estimateUnreported = (
    { receivedAt, usedUnits }: PeerUsage,
    now: number,
    equalPart: number,
): number => (now - receivedAt <= FRESH_REPORT_MS ? 0 : Math.max(0, equalPart - usedUnits));
