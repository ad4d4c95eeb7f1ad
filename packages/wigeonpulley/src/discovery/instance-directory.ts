/**
 * Directory of the known instances. Entries that are missing after an outage of the platform's store are kept for a grace
 * period, because live instances then register again. An entry that its instance wrote before the newest one known is
 * ignored: a store that was restored from a copy lists instances that drain or have left as ready.
 */
import { RecentMap } from "../collections/index.js";
import type { EventLogger } from "../logging/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";
import { type Instance, isSameIncarnation } from "./instance.js";

/** A change of one entry; `instance` is undefined when the entry was removed or names no usable instance. */
export interface InstanceChange {
    readonly id: string;
    readonly instance: Instance | undefined;
}

/** Called after each update of the directory. */
export type DirectoryListener = () => void;

/** By the platform's protocol, live instances register again within about 2 s after the store has recovered. */
const REGISTRATION_GRACE_MS = 2_200;
/** Removed instances whose last entries are remembered. */
const MAX_REMOVED_INSTANCES = 1_024;

/** Directory of one VM. */
export class InstanceDirectory {
    private readonly instances = new Map<string, Instance>();
    /** All instances and those of each service; cleared with each change. */
    private listed: readonly Instance[] | undefined;
    private readonly listedByService = new Map<string, readonly Instance[]>();
    /** Last entries of removed instances. */
    private readonly removed = RecentMap.create<string, Instance>(MAX_REMOVED_INSTANCES);
    private readonly pendingRemovals = new Map<string, CancelTimer>();
    private readonly listeners: DirectoryListener[] = [];
    private storeLostAt: number | undefined;
    private storeRecoveredAt = Number.NEGATIVE_INFINITY;
    /** Begin of the last outage, and the earliest time since then at which the store is known to have served another VM. */
    private lastOutage: { readonly lostAt: number; servedOthersAt: number; } | undefined;
    private hasSnapshot = false;
    private setLoaded: () => void = () => undefined;
    private readonly loaded = new Promise<void>(resolve => {
        this.setLoaded = resolve;
    });

    private constructor(private readonly timers: TimerService, private readonly logger: EventLogger) {}

    /** Creates an empty directory. */
    static create(timers: TimerService, logger: EventLogger): InstanceDirectory {
        return new InstanceDirectory(timers, logger);
    }

    /** Calls back after each update of the directory. */
    subscribe(listener: DirectoryListener): void {
        this.listeners.push(listener);
    }

    /** True once a snapshot has been applied. */
    get isLoaded(): boolean {
        return this.hasSnapshot;
    }

    /** Returns all known instances, including draining ones and missing ones within their grace period. */
    list(): readonly Instance[] {
        this.listed ??= [...this.instances.values()];
        return this.listed;
    }

    /** Returns all known instances of a service, as `list` does. */
    listOfService(service: string): readonly Instance[] {
        const known = this.listedByService.get(service)
            ?? this.list().filter(instance => instance.service === service);
        this.listedByService.set(service, known);
        return known;
    }

    /**
     * Applies a snapshot and removes entries missing from it; after an outage or a restore of the store they are kept for
     * the grace period.
     */
    applySnapshot(changes: readonly InstanceChange[], isRestored = false): void {
        if (isRestored) {
            this.storeRecoveredAt = this.timers.now();
            this.lastOutage = undefined;
        }
        const changesById = new Map(changes.map(change => [change.id, change]));
        this.hasSnapshot = true;
        for (const id of this.instances.keys()) {
            if (!changesById.has(id)) {
                this.applyChange({ id, instance: undefined });
            }
        }
        changes.forEach(change => this.applyChange(change));
        this.notify();
        this.setLoaded();
    }

    /** Resolves once a snapshot has been applied. */
    waitUntilLoaded(): Promise<void> {
        return this.loaded;
    }

    /** Applies single changes in their order. */
    applyChanges(changes: readonly InstanceChange[]): void {
        changes.forEach(change => this.applyChange(change));
        this.notify();
    }

    /** Records that the store does not respond. */
    handleStoreLost(): void {
        if (this.storeLostAt === undefined) {
            this.storeLostAt = this.timers.now();
            this.lastOutage = { lostAt: this.storeLostAt, servedOthersAt: Number.POSITIVE_INFINITY };
        }
    }

    /** Records that the store responds; after an outage this starts the grace period. */
    handleStoreRecovered(): void {
        if (this.storeLostAt !== undefined) {
            this.storeLostAt = undefined;
            this.storeRecoveredAt = Math.min(
                this.timers.now(),
                this.lastOutage?.servedOthersAt ?? Number.POSITIVE_INFINITY,
            );
        }
    }

    /**
     * Records that the store served another VM at `servedAt`, a monotonic time in milliseconds. An outage that it survived
     * was one of this VM's link: live instances could register all the time since then, and what is missing has left.
     */
    recordServedOthers(servedAt: number): void {
        const outage = this.lastOutage;
        if (outage === undefined || servedAt <= outage.lostAt || servedAt >= outage.servedOthersAt) {
            return;
        }
        outage.servedOthersAt = servedAt;
        if (this.storeLostAt === undefined && servedAt < this.storeRecoveredAt) {
            this.storeRecoveredAt = servedAt;
            [...this.pendingRemovals].forEach(([id, cancel]) => {
                cancel();
                this.pendingRemovals.delete(id);
                this.removeAfterGrace(id);
            });
        }
    }

    private applyChange({ id, instance }: InstanceChange): void {
        const before = this.instances.get(id);
        if (instance !== undefined) {
            if (!this.isOutdated(instance, before)) {
                this.setInstance(instance, before);
            }
        }
        else if (before !== undefined && !this.pendingRemovals.has(id)) {
            this.removeAfterGrace(id);
        }
    }

    private removeAfterGrace(id: string): void {
        const graceMs = this.storeRecoveredAt + REGISTRATION_GRACE_MS - this.timers.now();
        if (graceMs > 0) {
            this.pendingRemovals.set(id, this.timers.schedule(graceMs, () => this.remove(id)));
        }
        else {
            this.remove(id);
        }
    }

    private setInstance(instance: Instance, before: Instance | undefined): void {
        this.removed.remove(instance.id);
        this.pendingRemovals.get(instance.id)?.();
        this.pendingRemovals.delete(instance.id);
        this.instances.set(instance.id, instance);
        this.clearLists();
        if (before === undefined || before.state !== instance.state || !isSameIncarnation(before, instance)) {
            this.logger.write("InstanceSeen", {
                instance: instance.id,
                service: instance.service,
                address: `${instance.host}:${instance.port}`,
                state: instance.state,
                version: instance.version,
            });
        }
    }

    /** True for an entry that the same incarnation wrote before the newest one known, or that was removed since. */
    private isOutdated(instance: Instance, before: Instance | undefined): boolean {
        const removed = this.removed.get(instance.id);
        return (before !== undefined && isWrittenBefore(instance, before))
            || (removed !== undefined
                && (isWrittenBefore(instance, removed) || isSameRegistration(instance, removed)));
    }

    private remove(id: string): void {
        const instance = this.instances.get(id);
        if (instance !== undefined) {
            this.removed.set(id, instance);
        }
        this.pendingRemovals.delete(id);
        this.instances.delete(id);
        this.clearLists();
        this.logger.write("InstanceGone", { instance: id });
        this.notify();
    }

    private clearLists(): void {
        this.listed = undefined;
        this.listedByService.clear();
    }

    private notify(): void {
        this.listeners.forEach(listener => listener());
    }
}

const hasComparableSequence = (left: Instance, right: Instance): boolean =>
    left.bornMs > 0 && left.sequence > 0 && isSameIncarnation(left, right);

const isWrittenBefore = (left: Instance, right: Instance): boolean =>
    hasComparableSequence(left, right) && left.sequence < right.sequence;

const isSameRegistration = (left: Instance, right: Instance): boolean =>
    hasComparableSequence(left, right) && left.sequence === right.sequence;
