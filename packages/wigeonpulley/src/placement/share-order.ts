/**
 * Orders the waiting requests of one rank by their workspaces' shares, for one dispatch: start-time fair queueing over the
 * decayed work. A request's start tag is its workspace's use plus the work of the workspace's requests ahead of it, per
 * weight; the lowest tag goes first. Requests of one workspace keep their order.
 */
import {
    computeUsePerWeight,
    hashWorkspace,
    type SharedRequest,
    type WorkspaceShares,
} from "./workspace-shares.js";

/**
 * Least weight of a waiting request in the decision whose turn it is. Reports of waiting requests may be outdated; with
 * a lower one, slots would stay empty longer for requests that no longer wait.
 */
const MIN_TURN_WEIGHT = 1 / 8;
/** Ratio to the lowest use up to which a use counts as equal, because the uses that VMs know of each other are outdated. */
const TOLERATED_EXCESS = 1.25;
/** Exponent of the ratio; at 1, a workspace that takes what others leave kept slots that these waited for. */
const EXCESS_EXPONENT = 2;

/** Waiting requests of this VM and of others, each weighted by how far its workspace is below its share. */
export interface TurnWeights {
    readonly own: number;
    readonly others: number;
    /** Largest weight of a request of this VM; 1 without one of the rank. */
    readonly best: number;
}

/** Computes the start tags of requests, in the order in which each workspace's requests are served. */
export const computeStartTags = <Request extends SharedRequest>(
    requests: readonly Request[],
    shares: WorkspaceShares,
    now: number,
): ReadonlyMap<Request, number> => {
    const nextTags = new Map<number, Map<number, number>>();
    return new Map(requests.map(request => {
        const { rank } = request;
        const workspace = hashWorkspace(request.workspace);
        const ofRank = nextTags.get(rank) ?? new Map<number, number>();
        const tag = ofRank.get(workspace) ?? shares.computeUse(rank, workspace, now);
        ofRank.set(workspace, tag + computeUsePerWeight(request));
        nextTags.set(rank, ofRank);
        return [request, tag];
    }));
};

/**
 * Weights the waiting requests of a rank; `own` counts those of this VM by the hash of the workspace's name. The weight of a request falls with the use of its workspace relative to the lowest use of one that waits, so that all VMs weight it the same and together claim each free slot about once. Of the `others`
 * requests of other VMs, those whose workspaces were not reported count in full.
 */
export const computeTurnWeights = (
    own: ReadonlyMap<number, number>,
    rank: number,
    others: number,
    shares: WorkspaceShares,
    now: number,
): TurnWeights => {
    const peerUses = [...shares.listPeerUses(rank)].filter(([, use]) => use.waiting > 0);
    const uses = new Map(
        [...own.keys(), ...peerUses.map(([workspace]) => workspace)].map(workspace => [
            workspace,
            shares.computeUse(rank, workspace, now),
        ]),
    );
    const lowestUse = Math.min(...uses.values());
    const getWeight = (workspace: number): number => {
        const use = uses.get(workspace) ?? 0;
        const toleratedUse = lowestUse * TOLERATED_EXCESS;
        return use <= toleratedUse
            ? 1
            : Math.max(MIN_TURN_WEIGHT, (toleratedUse / use) ** EXCESS_EXPONENT);
    };
    const reported = peerUses.reduce((sum, [, use]) => sum + use.waiting, 0);
    return {
        own: [...own].reduce((sum, [workspace, count]) => sum + count * getWeight(workspace), 0),
        best: own.size === 0 ? 1 : Math.max(...[...own.keys()].map(getWeight)),
        others: Math.max(0, others - reported)
            + peerUses.reduce((sum, [workspace, use]) => sum + use.waiting * getWeight(workspace), 0),
    };
};

/**
 * Number of a rank's `waiting` requests of other VMs that are dispatched before a request with the given start tag: those of
 * its own workspace and of workspaces with a lower use. Those whose workspaces were not reported count, too.
 */
export const countPeersAhead = (
    request: SharedRequest,
    startTag: number,
    waiting: number,
    shares: WorkspaceShares,
    now: number,
): number => {
    const own = hashWorkspace(request.workspace);
    let behind = 0;
    for (const [workspace, use] of shares.listPeerUses(request.rank)) {
        const isAhead = workspace === own || shares.computeUse(request.rank, workspace, now) < startTag;
        behind += isAhead ? 0 : use.waiting;
    }
    return Math.max(0, waiting - behind);
};
