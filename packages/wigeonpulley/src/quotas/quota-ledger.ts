/**
 * Quotas of workspaces over all VMs. Each VM keeps a bucket that stands for the whole quota: it fills at the quota's
 * rate, and both its own use and what the other VMs report are taken out of it. While the demand of all VMs exceeds the
 * rate, a VM uses between two reports only its share of what is left, by demand. A VM that was not heard from lately is
 * assumed to use an equal share of the rate, so that VMs which are cut off from each other stay within the quota together.
 */
import { QuotaAllowance } from "../forwarding/index.js";
import type { Quota } from "../routing/index.js";
import type { TimerService } from "../time/index.js";

/** What another VM tells of its use of one workspace's quota. */
export interface WorkspaceUse {
    readonly workspace: string;
    /** Units taken since the VM started. */
    readonly taken: number;
    /** Units asked for a second, lately. */
    readonly demandPerS: number;
}

/** What the ledger is built from. */
export interface QuotaLedgerOptions {
    readonly timers: TimerService;
    /** VMs that may use quotas and whose use can't be known from reports: all that ran lately, this one included. */
    readonly countVms: () => number;
    /** Units by which a workspace may exceed its quota for a moment. */
    readonly readSlack: () => number;
}

/** Time after which a silent VM is assumed to use an equal share, in milliseconds; a few intervals between reports. */
const SILENT_MS = 1_500;
/** Time constant of the demand, in milliseconds. */
const DEMAND_WINDOW_MS = 2_000;
/** Smallest share of what is left that a VM may use at once, as a part of an equal share. */
const LEAST_SHARE = 0.5;
/** Window in which a share of what is left may be used, in milliseconds; the interval between reports. */
const SHARE_WINDOW_MS = 500;
/** Part of the slack that a bucket may be overdrawn by, so that one large request is not refused near the limit. */
const OVERDRAFT_SHARE = 0.3;
/** Part of the rate up to which the demand of all VMs needs no division. */
const UNCONTENDED_SHARE = 0.8;
/** Time after which a silent VM is no longer assumed to use its share, in milliseconds; longer than most cuts. */
const FORGET_MS = 20_000;
const MS_PER_S = 1_000;

interface PeerUse {
    incarnation: bigint;
    taken: number;
    demandPerS: number;
    heardAt: number;
    /** Units already taken out of the bucket on assumption since the peer fell silent. */
    assumed: number;
}

interface Account {
    quota: Quota;
    level: number;
    filledAt: number;
    taken: number;
    demandPerS: number;
    demandAt: number;
    /** Units taken in the present share window, and its end. */
    windowTaken: number;
    windowEndsAt: number;
    windowAllowance: number;
    readonly peers: Map<string, PeerUse>;
}

/** Ledger of one VM. */
export class QuotaLedger extends QuotaAllowance {
    private readonly accounts = new Map<string, Account>();

    private constructor(private readonly options: QuotaLedgerOptions) {
        super();
    }

    /** Creates a ledger without use. */
    static create(options: QuotaLedgerOptions): QuotaLedger {
        return new QuotaLedger(options);
    }

    override tryTake(workspace: string, quota: Quota, units: number): boolean {
        const account = this.findAccount(workspace, quota);
        this.fill(account);
        this.noteDemand(account, units);
        this.openWindow(account);
        const isSpent = account.level <= -OVERDRAFT_SHARE * this.options.readSlack();
        if (isSpent || (this.isContended(account) && account.windowTaken >= account.windowAllowance)) {
            return false;
        }
        account.level -= units;
        account.windowTaken += units;
        account.taken += units;
        return true;
    }

    override giveBack(workspace: string, units: number): void {
        const account = this.accounts.get(workspace);
        if (account !== undefined) {
            account.level = Math.min(account.quota.burst, account.level + units);
            account.taken -= units;
            account.windowTaken -= units;
        }
    }

    override estimateWaitMs(workspace: string, quota: Quota, units: number): number {
        const account = this.findAccount(workspace, quota);
        const missing = Math.max(0, units - Math.max(0, account.level));
        return Math.max(SHARE_WINDOW_MS, missing / quota.ratePerS * MS_PER_S);
    }

    /** What this VM tells the others. */
    listUse(): readonly WorkspaceUse[] {
        return [...this.accounts].map(([workspace, account]) => {
            this.decayDemand(account);
            return { workspace, taken: account.taken, demandPerS: account.demandPerS };
        });
    }

    /** Takes another VM's use over. */
    applyUse(vm: string, incarnation: bigint, uses: readonly WorkspaceUse[]): void {
        const now = this.options.timers.now();
        for (const { workspace, taken, demandPerS } of uses) {
            const account = this.accounts.get(workspace);
            if (account === undefined) {
                continue;
            }
            this.fill(account);
            const peer = account.peers.get(vm);
            if (peer === undefined || peer.incarnation !== incarnation) {
                account.peers.set(vm, { incarnation, taken, demandPerS, heardAt: now, assumed: 0 });
                continue;
            }
            account.level -= Math.max(0, taken - peer.taken - peer.assumed);
            Object.assign(peer, { taken: Math.max(peer.taken, taken), demandPerS, heardAt: now, assumed: 0 });
        }
    }

    /** Forgets VMs that are gone for good. */
    retainVms(names: ReadonlySet<string>): void {
        for (const account of this.accounts.values()) {
            for (const name of account.peers.keys()) {
                if (!names.has(name)) {
                    account.peers.delete(name);
                }
            }
        }
    }

    private findAccount(workspace: string, quota: Quota): Account {
        const known = this.accounts.get(workspace);
        if (known !== undefined) {
            known.quota = quota;
            return known;
        }
        const now = this.options.timers.now();
        const account: Account = {
            quota,
            // Others may have used the burst already.
            level: quota.burst / Math.max(1, this.options.countVms()),
            filledAt: now,
            taken: 0,
            demandPerS: 0,
            demandAt: now,
            windowTaken: 0,
            windowEndsAt: now,
            windowAllowance: 0,
            peers: new Map(),
        };
        this.accounts.set(workspace, account);
        return account;
    }

    private fill(account: Account): void {
        const now = this.options.timers.now();
        const { ratePerS, burst } = account.quota;
        const elapsedMs = now - account.filledAt;
        account.filledAt = now;
        account.level += ratePerS * elapsedMs / MS_PER_S;
        const equalRate = ratePerS / Math.max(1, this.options.countVms());
        for (const peer of account.peers.values()) {
            const silentMs = now - peer.heardAt;
            if (silentMs > SILENT_MS && silentMs < FORGET_MS) {
                const units = equalRate * Math.min(elapsedMs, silentMs - SILENT_MS) / MS_PER_S;
                peer.assumed += units;
                account.level -= units;
            }
        }
        account.level = Math.min(burst, account.level);
    }

    private openWindow(account: Account): void {
        const now = this.options.timers.now();
        if (now < account.windowEndsAt) {
            return;
        }
        account.windowEndsAt = now + SHARE_WINDOW_MS;
        // What one large request took beyond the share is paid back in the windows that follow.
        account.windowTaken = Math.max(0, account.windowTaken - account.windowAllowance);
        const coming = account.quota.ratePerS * SHARE_WINDOW_MS / MS_PER_S;
        account.windowAllowance = (Math.max(0, account.level) + coming) * this.computeShare(account);
    }

    /** This VM's share of what is left: by demand, but never far below an equal one. */
    private computeShare(account: Account): number {
        const equal = 1 / Math.max(1, this.options.countVms());
        const all = sumDemand(account);
        return Math.max(LEAST_SHARE * equal, all === 0 ? 1 : account.demandPerS / all);
    }

    private isContended(account: Account): boolean {
        return sumDemand(account) > UNCONTENDED_SHARE * account.quota.ratePerS;
    }

    private noteDemand(account: Account, units: number): void {
        this.decayDemand(account);
        account.demandPerS += units / DEMAND_WINDOW_MS * MS_PER_S;
    }

    private decayDemand(account: Account): void {
        const now = this.options.timers.now();
        account.demandPerS *= Math.exp(-(now - account.demandAt) / DEMAND_WINDOW_MS);
        account.demandAt = now;
    }
}

/** Demand of all VMs, in units a second. */
const sumDemand = (account: Account): number =>
    [...account.peers.values()].reduce((sum, { demandPerS }) => sum + demandPerS, account.demandPerS);
