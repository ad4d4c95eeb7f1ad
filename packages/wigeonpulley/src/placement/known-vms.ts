/**
 * Remembers the VMs that this one has known, for limits that several VMs keep without calls between them. A VM that is gone
 * from the list may still be sending, for example if the store lost the list or while the VM drains, so it is kept for a while.
 */
import type { TimerService } from "../time/index.js";

/** Dependencies of the known VMs. */
export interface KnownVmsOptions {
    readonly self: string;
    readonly timers: TimerService;
    /** Returns the names of all VMs, dead ones and those known from gossip included. */
    readonly listVms: () => readonly string[];
    /** True once the list of VMs has been read since the start. */
    readonly hasReadVmList: () => boolean;
    /** True once another VM has sent a message to this one since the start. */
    readonly hasContact: () => boolean;
}

/** Time for which the names of VMs are used before they are listed again, in milliseconds. */
const LISTING_VALIDITY_MS = 500;
/** Time for which a VM that is no longer listed is remembered, in milliseconds; longer than a VM takes to drain. */
const RETENTION_MS = 120_000;
/** Time for which the VMs must have been known, in milliseconds: a new VM is gossiped to all others within 2.5 s. */
const SETTLING_MS = 2_500;
/**
 * The same for a VM without contact to others, in milliseconds. It reads the list again in that time, after 8 s: a store that
 * lost the list names only the VMs that have registered again since.
 */
const LONE_SETTLING_MS = 10_000;
/** Additions during the settling time above which it begins again: lists that lack up to three VMs do no harm. */
const MAX_SETTLING_ADDITIONS = 3;

/** The VMs known to one VM. */
export class KnownVms {
    /** Other VMs, with the monotonic time at which they were listed last, in milliseconds. */
    private readonly listedAt = new Map<string, number>();
    private others: readonly string[] = [];
    private refreshedAt = Number.NEGATIVE_INFINITY;
    /** Start of the settling time and the number of VMs known then; undefined before the list was read. */
    private settling: { readonly startedAt: number; readonly count: number; } | undefined;
    private hasSettled = false;

    private constructor(private readonly options: KnownVmsOptions) {}

    /** Creates an empty memory. */
    static create(options: KnownVmsOptions): KnownVms {
        return new KnownVms(options);
    }

    /** Returns the other VMs; the same array as long as they are the same. */
    listOthers(): readonly string[] {
        this.refreshIfDue();
        return this.others;
    }

    /** True once the VMs have been known for the settling time after the list was read. */
    get isSettled(): boolean {
        this.refreshIfDue();
        return this.hasSettled;
    }

    /** Lists the VMs again. */
    refresh(): void {
        const { self, timers, listVms } = this.options;
        const now = timers.now();
        this.refreshedAt = now;
        listVms().filter(vm => vm !== self).forEach(vm => this.listedAt.set(vm, now));
        for (const [vm, listedAt] of this.listedAt) {
            if (now - listedAt > RETENTION_MS) {
                this.listedAt.delete(vm);
            }
        }
        if (this.others.length !== this.listedAt.size || this.others.some(vm => !this.listedAt.has(vm))) {
            this.others = [...this.listedAt.keys()];
        }
        this.updateSettling(now);
    }

    private refreshIfDue(): void {
        if (this.options.timers.now() - this.refreshedAt >= LISTING_VALIDITY_MS) {
            this.refresh();
        }
    }

    private updateSettling(now: number): void {
        if (this.hasSettled || !this.options.hasReadVmList()) {
            return;
        }
        const count = this.others.length;
        if (this.settling === undefined || count > this.settling.count + MAX_SETTLING_ADDITIONS) {
            this.settling = { startedAt: now, count };
        }
        const settlingMs = this.options.hasContact() ? SETTLING_MS : LONE_SETTLING_MS;
        this.hasSettled = now - this.settling.startedAt >= settlingMs;
    }
}
