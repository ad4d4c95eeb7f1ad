/** What a VM knows of the use of one workspace's quota in the window, its own and that of the others. */
import type { TimerService } from "../time/index.js";
import { SlidingWindowCounter } from "./sliding-window-counter.js";

/** What a VM tells the others of one workspace's quota. */
export interface WorkspaceUsage {
    readonly workspace: string;
    /** Rate that the VM keeps for itself at the most, in units a second. */
    readonly keptPerS: number;
    /** Units asked for a second, lately. */
    readonly demandPerS: number;
    /** Units that the VM used in the window. */
    readonly usedUnits: number;
    /** Units that the VM knows to have been used in the window by all VMs. */
    readonly knownUnits: number;
}

/** Age up to which another VM's report lends its unused rate, in milliseconds; a few intervals between reports. */
const LEND_MS = 1_200;

interface PeerUse extends WorkspaceUsage {
    readonly heardAt: number;
    readonly incarnation: bigint;
    /** What an earlier incarnation used and this one does not know, until it has left the window. */
    readonly forgotten: { readonly units: number; readonly heardAt: number; };
}

/** Known use of one workspace. */
export class UsageTracker {
    private readonly own: SlidingWindowCounter;
    private readonly peers = new Map<string, PeerUse>();

    private constructor(private readonly timers: TimerService) {
        this.own = SlidingWindowCounter.create(timers);
    }

    /** Creates a view without use. */
    static create(timers: TimerService): UsageTracker {
        return new UsageTracker(timers);
    }

    /** Notes units that this VM used; negative ones were not used after all. */
    add(units: number): void {
        this.own.add(units);
    }

    /** Takes what another VM told. */
    applyPeerReport(vm: string, incarnation: bigint, use: WorkspaceUsage, windowMs: number): void {
        const heardAt = this.timers.now();
        const before = this.peers.get(vm);
        const forgotten = before === undefined || before.incarnation === incarnation
            ? before?.forgotten ?? { units: 0, heardAt }
            : { units: before.usedUnits + this.readForgotten(before, windowMs), heardAt: before.heardAt };
        this.peers.set(vm, { ...use, heardAt, incarnation, forgotten });
        this.dropSilent(windowMs);
    }

    /** What the VMs told that are heard at present. */
    listFreshReports(): readonly WorkspaceUsage[] {
        return [...this.peers.values()].filter(peer => this.isFresh(peer));
    }

    /** Units that this VM used in the window. */
    sumLocal(windowMs: number): number {
        return this.own.getTotal(windowMs);
    }

    /** Units used as far as this VM knows; each of `countVms` that is not heard may have used `unheardUnits`. */
    estimateTotal(windowMs: number, countVms: number, unheardUnits: number): number {
        const oldest = this.timers.now() - windowMs;
        const unknown = Math.max(0, countVms - 1 - this.peers.size) * unheardUnits;
        return [...this.peers.values()].reduce((sum, peer) => {
            const used = peer.heardAt < oldest ? 0 : peer.usedUnits;
            const atMost = this.isFresh(peer) ? used : Math.max(used, unheardUnits);
            return sum + this.readForgotten(peer, windowMs) + atMost;
        }, this.own.getTotal(windowMs) + unknown);
    }

    /** Forgets VMs whose use has left the window; those that still exist count as unknown again. */
    private dropSilent(windowMs: number): void {
        const oldest = this.timers.now() - windowMs;
        for (const [vm, { heardAt }] of this.peers) {
            if (heardAt < oldest) {
                this.peers.delete(vm);
            }
        }
    }

    private readForgotten({ forgotten }: PeerUse, windowMs: number): number {
        return forgotten.heardAt < this.timers.now() - windowMs ? 0 : forgotten.units;
    }

    private isFresh({ heardAt }: PeerUse): boolean {
        return heardAt >= this.timers.now() - LEND_MS;
    }
}
