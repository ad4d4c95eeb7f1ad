/** Orders waiting tickets strictly by tier, and by a given order within each tier. */
import type { QueueEntry, QueueOrder } from "./queue-order.js";

/** Entry of a queue. */
export interface QueuedTicket extends QueueEntry {
    readonly ticket: { readonly id: string; readonly tier: number; };
}

/** Queue of one group. */
export class TierQueue<Entry extends QueuedTicket> {
    /** Entries by tier, each list in queue order. */
    private readonly tiers: Entry[][] = [];

    private constructor(private readonly order: QueueOrder) {}

    /** Creates an empty queue. */
    static create<Entry extends QueuedTicket>(order: QueueOrder): TierQueue<Entry> {
        return new TierQueue(order);
    }

    /** Number of entries. */
    get size(): number {
        return this.tiers.reduce((sum, tier) => sum + tier.length, 0);
    }

    /** Adds an entry at its position. */
    add(entry: Entry): void {
        while (this.tiers.length <= entry.ticket.tier) {
            this.tiers.push([]);
        }
        const tier = this.tiers[entry.ticket.tier] ?? [];
        const key = this.order.computeKey(entry);
        const position = tier.findIndex(other => this.order.computeKey(other) > key);
        tier.splice(position === -1 ? tier.length : position, 0, entry);
    }

    /** Removes an entry; has no effect when it does not wait. */
    remove(entry: Entry): void {
        const tier = this.tiers[entry.ticket.tier] ?? [];
        const index = tier.indexOf(entry);
        if (index !== -1) {
            tier.splice(index, 1);
        }
    }

    /** True while an entry waits. */
    has(entry: Entry): boolean {
        return this.tiers[entry.ticket.tier]?.includes(entry) ?? false;
    }

    /** Finds the entry of a ticket. */
    find(id: string): Entry | undefined {
        return this.listAll().find(entry => entry.ticket.id === id);
    }

    /** All entries, the first to be granted first. */
    listAll(): readonly Entry[] {
        return this.tiers.flat();
    }

    /** Entries that are granted before a waiting one. */
    listAhead(entry: Entry): readonly Entry[] {
        const tier = this.tiers[entry.ticket.tier] ?? [];
        return [...this.tiers.slice(0, entry.ticket.tier).flat(), ...tier.slice(0, tier.indexOf(entry))];
    }

    /** Entries of lower tiers, the lowest tier first. */
    listBelow(tier: number): readonly Entry[] {
        return this.tiers.slice(tier + 1).reverse().flat();
    }
}
