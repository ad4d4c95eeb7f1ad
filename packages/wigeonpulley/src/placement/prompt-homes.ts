/**
 * Decides which instances are the homes of a prompt's blocks: rendezvous hashing of each block over the instances that
 * can be homes. VMs that know the same instances choose the same homes without exchanging messages. The homes of a
 * block are chosen among those of the block before it, because an engine reuses a block only if it has all blocks
 * before it cached.
 */

/** What is known about a block of a prompt. */
export interface WeighedBlock {
    readonly tokens: number;
    /** Hash of the block's identifier. */
    readonly hash: number;
    /** Share of the service's recent requests whose prompts contain the block. */
    readonly share: number;
    /** Likelihood that a home has the block cached, from 0 to 1. */
    readonly likelihood: number;
}

/** An instance that may take a request. */
export interface HomeCandidate {
    /** Hash of the instance's identifier; a restarted instance keeps its blocks. */
    readonly hash: number;
    /** False while another instance takes its place as a home. */
    readonly canBeHome: boolean;
}

/** Blocks of fewer tokens are read within about a millisecond, so that no home is worth its effect on the load. */
const MIN_HOME_TOKENS = 128;
/** Blocks that recur less likely than this get no homes of their own. */
const MIN_LIKELIHOOD = 0.05;
/** Homes for each instance's worth of a block's requests; above 1, so that a block alone doesn't fill its homes. */
const HOMES_PER_LOAD = 3;
/** Numbers of homes; coarse, so that VMs with somewhat different counts of a block use the same number. */
const HOME_COUNTS: readonly number[] = [1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96];

/** Number of homes for a block with the given share of a service's requests, served by `instances` instances. */
export const computeHomeCount = (share: number, instances: number): number => {
    const wanted = share * instances * HOMES_PER_LOAD;
    return Math.min(instances, HOME_COUNTS.find(count => count >= wanted) ?? instances);
};

/** Returns, for each candidate, the number of leading blocks of the prompt that it is a home of. */
export const chooseHomeDepths = (
    blocks: readonly WeighedBlock[],
    candidates: readonly HomeCandidate[],
): readonly number[] => {
    const depths = candidates.map(() => 0);
    const eligible = [...candidates.keys()].filter(index => candidates[index]?.canBeHome === true);
    let homes = eligible;
    for (const [depth, block] of blocks.entries()) {
        if (block.likelihood < MIN_LIKELIHOOD) {
            break;
        }
        const count = computeHomeCount(block.share, eligible.length);
        if (block.tokens >= MIN_HOME_TOKENS && count < homes.length) {
            homes = selectHighest(
                homes,
                count,
                index => combineHashes(block.hash, candidates[index]?.hash ?? 0),
            );
        }
        homes.forEach(index => {
            depths[index] = depth + 1;
        });
    }
    return depths;
};

/**
 * Prompt tokens that an instance is expected to prefill. `knownUncachedTokens` are those after the `cachedBlocks` leading
 * blocks that this VM itself recently sent there; `homeDepth` is the number of leading blocks that it is a home of.
 */
export const computeExpectedUncachedTokens = (
    knownUncachedTokens: number,
    blocks: readonly WeighedBlock[],
    cachedBlocks: number,
    homeDepth: number,
): number => {
    const likelyTokens = blocks.slice(cachedBlocks, homeDepth).reduce(
        (sum, { tokens, likelihood }) => sum + tokens * likelihood,
        0,
    );
    return Math.max(0, knownUncachedTokens - likelyTokens);
};

/** Mixes two hashes of 32 bits into one (finaliser of MurmurHash3); 100 times as fast as hashing the texts again. */
export const combineHashes = (left: number, right: number): number => {
    let hash = (left ^ Math.imul(right, 0x9e37_79b1)) >>> 0;
    hash = Math.imul(hash ^ (hash >>> 16), 0x85eb_ca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2_ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
};

/** Returns the `count` indexes with the highest hashes. */
const selectHighest = (
    indexes: readonly number[],
    count: number,
    getHash: (index: number) => number,
): number[] => {
    const ranked = indexes.map(index => ({ index, hash: getHash(index) }));
    if (count > 1) {
        return ranked.sort((left, right) => right.hash - left.hash).slice(0, count).map(({ index }) => index);
    }
    return ranked.reduce<typeof ranked>(
        ([best], entry) => [best === undefined || entry.hash > best.hash ? entry : best],
        [],
    ).map(({ index }) => index);
};
