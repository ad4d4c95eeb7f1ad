/**
 * Bytes that one process holds for its clients, bounded by one budget. Every holder has an account; an upload that would exceed
 * the budget first displaces the unfinished uploads that have made no progress for longest.
 */
import type { TimerService } from "../time/index.js";

/** What bytes are held for. */
export type ByteKind = "uploads" | "requests" | "responses" | "connections";

/** All kinds, in the order of the metric. */
export const BYTE_KINDS: readonly ByteKind[] = ["uploads", "requests", "responses", "connections"];

/** Time without a byte after which an unfinished upload may be displaced, in milliseconds. */
const STALLED_MS = 500;

/** Size and clock of a budget. */
export interface ByteBudgetOptions {
    readonly timers: TimerService;
    readonly limitBytes: number;
}

/** Budget of one process. */
export class ByteBudget {
    private readonly accounts = new Set<ByteAccount>();
    private readonly bytesByKind = new Map<ByteKind, number>(BYTE_KINDS.map(kind => [kind, 0]));
    private total = 0;

    private constructor(private readonly options: ByteBudgetOptions) {}

    /** Creates a budget of which nothing is used. */
    static create(options: ByteBudgetOptions): ByteBudget {
        return new ByteBudget(options);
    }

    /** Size of the budget, in bytes. */
    get limitBytes(): number {
        return this.options.limitBytes;
    }

    /** Bytes held for all kinds. */
    get totalBytes(): number {
        return this.total;
    }

    /** Returns the bytes held for one kind. */
    getBytes(kind: ByteKind): number {
        return this.bytesByKind.get(kind) ?? 0;
    }

    /** Opens an account without bytes. */
    open(kind: ByteKind): ByteAccount {
        const account: ByteAccount = ByteAccount.create(kind, this.options.timers, {
            tryReserve: bytes => this.tryReserve(account, bytes),
            update: (changedKind, change) => this.update(changedKind, change),
            remove: () => this.accounts.delete(account),
        });
        this.accounts.add(account);
        return account;
    }

    private update(kind: ByteKind, change: number): void {
        this.bytesByKind.set(kind, this.getBytes(kind) + change);
        this.total += change;
    }

    /** True when the bytes fit, if necessary after uploads without progress were displaced. */
    private tryReserve(account: ByteAccount, bytes: number): boolean {
        if (this.total + bytes <= this.limitBytes) {
            return true;
        }
        const stalledSince = this.options.timers.now() - STALLED_MS;
        const stalled = [...this.accounts].filter(other =>
            other !== account && other.isDisplaceable && other.bytes > 0 && other.progressAt <= stalledSince
        ).toSorted((left, right) => left.progressAt - right.progressAt);
        for (const other of stalled) {
            other.displace();
            if (this.total + bytes <= this.limitBytes) {
                return true;
            }
        }
        return false;
    }
}

/** What an account needs of its budget. */
interface BudgetAccess {
    readonly tryReserve: (bytes: number) => boolean;
    readonly update: (kind: ByteKind, change: number) => void;
    readonly remove: () => void;
}

/** Bytes held for one request or for one purpose. */
export class ByteAccount {
    private heldBytes = 0;
    private lastProgressAt: number;
    private onDisplace: (() => void) | undefined;
    private isClosed = false;

    private constructor(
        private kind: ByteKind,
        private readonly timers: TimerService,
        private readonly budget: BudgetAccess,
    ) {
        this.lastProgressAt = timers.now();
    }

    /** Creates an account; only a budget calls this. */
    static create(kind: ByteKind, timers: TimerService, budget: BudgetAccess): ByteAccount {
        return new ByteAccount(kind, timers, budget);
    }

    /** Bytes held now. */
    get bytes(): number {
        return this.heldBytes;
    }

    /** Monotonic time at which bytes arrived last, in milliseconds. */
    get progressAt(): number {
        return this.lastProgressAt;
    }

    /** True while the account belongs to an unfinished upload. */
    get isDisplaceable(): boolean {
        return this.onDisplace !== undefined;
    }

    /** Adds bytes if the budget has room for them; false also when the account is closed. */
    tryAdd(bytes: number): boolean {
        const isAdded = !this.isClosed && this.budget.tryReserve(bytes);
        if (isAdded) {
            this.set(this.heldBytes + bytes);
        }
        return isAdded;
    }

    /** Sets the bytes held to what is there already, also when that exceeds the budget. Without effect once it is closed. */
    set(bytes: number): void {
        if (this.isClosed) {
            return;
        }
        this.budget.update(this.kind, bytes - this.heldBytes);
        this.heldBytes = bytes;
    }

    /** Records that bytes have arrived. */
    recordProgress(): void {
        this.lastProgressAt = this.timers.now();
    }

    /** Starts an upload, which the budget may end by the callback while it makes no progress. */
    startUpload(onDisplace: () => void): void {
        this.onDisplace = onDisplace;
        this.changeKind("uploads");
        this.recordProgress();
    }

    /** Ends an upload; what it has brought is held for the request from now on. */
    finishUpload(): void {
        this.onDisplace = undefined;
        this.changeKind("requests");
    }

    /** Ends the upload in favour of another one. */
    displace(): void {
        this.onDisplace?.();
    }

    /** Releases all bytes. */
    close(): void {
        this.set(0);
        this.isClosed = true;
        this.onDisplace = undefined;
        this.budget.remove();
    }

    private changeKind(kind: ByteKind): void {
        const { heldBytes } = this;
        this.set(0);
        this.kind = kind;
        this.set(heldBytes);
    }
}
