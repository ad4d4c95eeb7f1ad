/**
 * Counts the work that each workspace got from one service, as the basis of its share. Within a rank the workspace with the
 * least work per weight goes first; work is counted in tokens, because one long prompt costs as much as many short ones.
 * The counts decay, so that an idle workspace gains no more than the window's work.
 */
import { RecentMap } from "../collections/index.js";
import { hashText } from "../hashing/index.js";
import type { PeerLoads } from "./peer-loads.js";
import type { PlacementRequest } from "./placement-request.js";
import type { RankUses, WorkspaceUse } from "./workspace-use.js";

/** Time constant of the decay, in milliseconds; longer than the age of reports, or VMs would act on what has decayed. */
const DECAY_TIME_MS = 4_000;
/** Age at which a count no longer matters, in milliseconds; less than 1% is left. */
const MAX_IDLE_MS = 5 * DECAY_TIME_MS;
/** Workspaces of a rank above which idle ones are removed whenever one is added. */
const MAX_KEPT_WORKSPACES = 64;
const PERCENT = 100;
/** Names whose hashes are kept, because each hash takes about a microsecond. */
const MAX_KEPT_HASHES = 1_024;

/** What the shares need to know of a request. */
export type SharedRequest = Pick<PlacementRequest, "workspace" | "workspaceWeight" | "workTokens" | "rank">;

/** Decayed work per weight of one workspace. */
interface DecayedUse {
    perWeight: number;
    updatedAt: number;
}

const nameHashes = RecentMap.create<string, number>(MAX_KEPT_HASHES);

/** Hash by which a workspace is named in reports; requests without a workspace share one. */
export const hashWorkspace = (workspace = ""): number => {
    const hash = nameHashes.get(workspace) ?? hashText(workspace);
    nameHashes.set(workspace, hash);
    return hash;
};

/** Work per weight that a request adds to its workspace's use. */
export const computeUsePerWeight = ({ workTokens, workspaceWeight }: SharedRequest): number =>
    workTokens / Math.max(Number.MIN_VALUE, workspaceWeight);

/** Use of one service by workspaces, from this VM's dispatches and the others' reports. */
export class WorkspaceShares {
    /** By rank, then by the hash of the workspace's name. */
    private readonly usesByRank = new Map<number, Map<number, DecayedUse>>();

    private constructor(private readonly service: string, private readonly peers: PeerLoads) {}

    /** Creates empty counts for a service. */
    static create(service: string, peers: PeerLoads): WorkspaceShares {
        return new WorkspaceShares(service, peers);
    }

    /** Records that this VM sent a request to an instance, at a monotonic time in milliseconds. */
    recordDispatch(request: SharedRequest, now: number): void {
        this.addUse(request, computeUsePerWeight(request), now);
    }

    /** Takes back a dispatch of the time `dispatchedAt`, because the instance did not take the request. */
    removeDispatch(request: SharedRequest, dispatchedAt: number, now: number): void {
        this.addUse(
            request,
            -computeUsePerWeight(request) * Math.exp(-(now - dispatchedAt) / DECAY_TIME_MS),
            now,
        );
    }

    /** Decayed work per weight of a workspace over all VMs, by the hash of its name. */
    computeUse(rank: number, workspace: number, now: number): number {
        const reported = this.peers.listWorkspaceUses(this.service, rank).get(workspace)?.perWeight ?? 0;
        return this.computeOwnUse(rank, workspace, now) + reported;
    }

    /** Uses of the workspaces that other VMs reported at a rank. */
    listPeerUses(rank: number): ReadonlyMap<number, WorkspaceUse> {
        return this.peers.listWorkspaceUses(this.service, rank);
    }

    /** This VM's part of the uses, by rank, together with its waiting requests. */
    listOwnUses(waiting: Iterable<SharedRequest>, now: number): readonly RankUses[] {
        const waitingByRank = countByRankAndWorkspace(waiting);
        [...this.usesByRank.keys()].forEach(rank => this.removeIdle(rank, now));
        return [...new Set([...this.usesByRank.keys(), ...waitingByRank.keys()])].map(rank => {
            const counts = waitingByRank.get(rank) ?? new Map<number, number>();
            const workspaces = new Set([...this.usesByRank.get(rank)?.keys() ?? [], ...counts.keys()]);
            return {
                service: this.service,
                rank,
                uses: new Map([...workspaces].map(workspace => [workspace, {
                    perWeight: this.computeOwnUse(rank, workspace, now),
                    waiting: counts.get(workspace) ?? 0,
                }])),
            };
        });
    }

    /**
     * Use per weight of a request's workspace relative to the mean of the workspaces that are known at its rank, in percent;
     * 100 when it is the only one.
     */
    computeSharePercent({ rank, workspace }: SharedRequest, now: number): number {
        const own = hashWorkspace(workspace);
        const workspaces = new Set([
            own,
            ...this.usesByRank.get(rank)?.keys() ?? [],
            ...this.listPeerUses(rank).keys(),
        ]);
        const sum = [...workspaces].reduce((total, other) => total + this.computeUse(rank, other, now), 0);
        return sum === 0
            ? PERCENT
            : Math.round(PERCENT * workspaces.size * this.computeUse(rank, own, now) / sum);
    }

    private computeOwnUse(rank: number, workspace: number, now: number): number {
        const use = this.usesByRank.get(rank)?.get(workspace);
        return use === undefined ? 0 : use.perWeight * Math.exp(-(now - use.updatedAt) / DECAY_TIME_MS);
    }

    private addUse({ rank, workspace }: SharedRequest, perWeight: number, now: number): void {
        const uses = this.usesByRank.get(rank) ?? new Map<number, DecayedUse>();
        this.usesByRank.set(rank, uses);
        const hash = hashWorkspace(workspace);
        if (!uses.has(hash) && uses.size >= MAX_KEPT_WORKSPACES) {
            this.removeIdle(rank, now);
        }
        uses.set(hash, {
            perWeight: Math.max(0, this.computeOwnUse(rank, hash, now) + perWeight),
            updatedAt: now,
        });
    }

    private removeIdle(rank: number, now: number): void {
        const uses = this.usesByRank.get(rank);
        for (const [workspace, { updatedAt }] of uses ?? []) {
            if (now - updatedAt > MAX_IDLE_MS) {
                uses?.delete(workspace);
            }
        }
        if (uses?.size === 0) {
            this.usesByRank.delete(rank);
        }
    }
}

/** Number of requests by rank and by the hash of the workspace's name. */
export const countByRankAndWorkspace = (
    requests: Iterable<SharedRequest>,
): ReadonlyMap<number, ReadonlyMap<number, number>> => {
    const counts = new Map<number, Map<number, number>>();
    for (const { rank, workspace } of requests) {
        const ofRank = counts.get(rank) ?? new Map<number, number>();
        const hash = hashWorkspace(workspace);
        ofRank.set(hash, (ofRank.get(hash) ?? 0) + 1);
        counts.set(rank, ofRank);
    }
    return counts;
};
