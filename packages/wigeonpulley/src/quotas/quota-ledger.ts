/**
 * Quotas of workspaces over all VMs. Each VM has an equal share of a quota's rate. A VM that needs less tells the others
 * how much it keeps, and those that need more divide the rest by their demand, for as long as what they were told is
 * fresh. So the sum stays within the quota while VMs are cut off, frozen or started anew: a share that is not confirmed
 * falls back to the VM that it belongs to. A share is a token bucket; what a VM takes in error for a moment is covered by
 * the slack of the bound.
 */
import { QuotaAllowance } from "../forwarding/index.js";
import type { Quota } from "../routing/index.js";
import type { TimerService } from "../time/index.js";

/** What a VM tells the others of one workspace's quota. */
export interface WorkspaceUse {
    readonly workspace: string;
    /** Rate that the VM keeps for itself at the most, in units a second. */
    readonly keptPerS: number;
    /** Units asked for a second, lately. */
    readonly demandPerS: number;
}

/** What the ledger is built from. */
export interface QuotaLedgerOptions {
    readonly timers: TimerService;
    /** VMs that may use quotas, this one included. */
    readonly countVms: () => number;
    /** By how much a workspace may exceed its quota in a window, over all VMs: units, a share, and the window. */
    readonly readTolerance: () => {
        readonly slack: number;
        readonly overrun: number;
        readonly windowMs: number;
    };
}

/** Age up to which another VM's report lends its unused rate, in milliseconds; a few intervals between reports. */
const LEND_MS = 1_200;
/** Time constant of the demand, in milliseconds. */
const DEMAND_WINDOW_MS = 2_000;
/** Demand is known only roughly, so a VM keeps this much more than it needs. */
const KEEP_FACTOR = 1.5;
/** Part of its equal share that a VM keeps without any demand, so that a first request is not refused. */
const KEEP_LEAST = 0.25;
/**
 * Part of the tolerance that all buckets together may be overdrawn by. Requests are large against a VM's share, and one
 * that is let through is paid back; the rest covers what VMs do not know of each other.
 */
const OVERDRAFT_SHARE = 0.6;
/** Part of the quota's rate up to which the demand of all VMs refuses nobody. */
const UNCONTENDED_SHARE = 0.8;
const MS_PER_S = 1_000;

interface PeerUse {
    readonly keptPerS: number;
    readonly demandPerS: number;
    readonly heardAt: number;
}

interface Account {
    quota: Quota;
    level: number;
    filledAt: number;
    demandPerS: number;
    demandAt: number;
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
        this.noteDemand(account, units);
        this.fill(account);
        if (account.level + this.computeOverdraft(account) <= 0 && !this.isUncontended(account)) {
            return false;
        }
        account.level -= units;
        return true;
    }

    override giveBack(workspace: string, units: number): void {
        const account = this.accounts.get(workspace);
        if (account !== undefined) {
            account.level += units;
        }
    }

    override explain(workspace: string): { readonly level: number; readonly ratePerS: number; } {
        const account = this.accounts.get(workspace);
        return account === undefined
            ? { level: 0, ratePerS: 0 }
            : { level: Math.round(account.level), ratePerS: Math.round(this.computeRate(account)) };
    }

    override estimateWaitMs(workspace: string, quota: Quota, units: number): number {
        const account = this.findAccount(workspace, quota);
        const missing = Math.min(units, Math.max(0, -account.level));
        return missing / this.computeRate(account) * MS_PER_S;
    }

    /** What this VM tells the others. */
    listUse(): readonly WorkspaceUse[] {
        return [...this.accounts].map(([workspace, account]) => {
            this.decayDemand(account);
            return { workspace, keptPerS: this.computeKept(account), demandPerS: account.demandPerS };
        });
    }

    /** Takes another VM's report over; a workspace that it does not name is one that it has not used. */
    applyUse(vm: string, uses: readonly WorkspaceUse[]): void {
        const heardAt = this.options.timers.now();
        const useByWorkspace = new Map(uses.map(use => [use.workspace, use]));
        for (const [workspace, account] of this.accounts) {
            const keptUnused = KEEP_LEAST * this.computeEqualRate(account);
            const { keptPerS, demandPerS } = useByWorkspace.get(workspace)
                ?? { keptPerS: keptUnused, demandPerS: 0 };
            account.peers.set(vm, { keptPerS, demandPerS, heardAt });
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
            level: quota.burst / this.countVms(),
            filledAt: now,
            demandPerS: 0,
            demandAt: now,
            peers: new Map(),
        };
        this.accounts.set(workspace, account);
        return account;
    }

    private fill(account: Account): void {
        const now = this.options.timers.now();
        const rate = this.computeRate(account);
        const filled = account.level + rate * (now - account.filledAt) / MS_PER_S;
        account.level = Math.min(this.computeBurst(account), filled);
        account.filledAt = now;
    }

    private countVms(): number {
        return Math.max(1, this.options.countVms());
    }

    private computeEqualRate(account: Account): number {
        return account.quota.ratePerS / this.countVms();
    }

    /** The part of the burst that goes with this VM's part of the rate. */
    private computeBurst(account: Account): number {
        return account.quota.burst * this.computeRate(account) / account.quota.ratePerS;
    }

    /** True while all VMs together ask for so little that a bucket's ups and downs need refuse nobody. */
    private isUncontended(account: Account): boolean {
        const fresh = this.listFresh(account);
        const unheard = Math.max(0, this.countVms() - 1 - fresh.length) * this.computeEqualRate(account);
        const demand = fresh.reduce((sum, { demandPerS }) => sum + demandPerS, account.demandPerS + unheard);
        return demand < UNCONTENDED_SHARE * account.quota.ratePerS;
    }

    /** Units by which this VM's bucket may be overdrawn. */
    private computeOverdraft({ quota }: Account): number {
        const { slack, overrun, windowMs } = this.options.readTolerance();
        return OVERDRAFT_SHARE * (slack + overrun * quota.ratePerS * windowMs / MS_PER_S) / this.countVms();
    }

    /** What this VM keeps of its own equal share. */
    private computeKept(account: Account): number {
        const equal = this.computeEqualRate(account);
        return Math.min(equal, Math.max(KEEP_LEAST * equal, KEEP_FACTOR * account.demandPerS));
    }

    /** The rate that this VM may use now: what it keeps, and its part of what the others lend. */
    private computeRate(account: Account): number {
        const equal = this.computeEqualRate(account);
        const kept = this.computeKept(account);
        if (kept < equal) {
            return kept;
        }
        const fresh = this.listFresh(account);
        const lent = fresh.reduce((sum, { keptPerS }) => sum + Math.max(0, equal - keptPerS), 0);
        const wanted = fresh.reduce(
            (sum, { demandPerS }) => sum + Math.max(0, KEEP_FACTOR * demandPerS - equal),
            0,
        );
        const own = Math.max(0, KEEP_FACTOR * account.demandPerS - equal);
        return equal + (own === 0 ? 0 : lent * own / (own + wanted));
    }

    private listFresh(account: Account): readonly PeerUse[] {
        const oldest = this.options.timers.now() - LEND_MS;
        return [...account.peers.values()].filter(({ heardAt }) => heardAt >= oldest);
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
