/** Estimates which prompt prefixes an endpoint has in its cache. */

/** Tokens in one block of a prompt. */
export const PREFIX_BLOCK_TOKENS = 256;

/** Maximum number of blocks stored for one endpoint. */
const MAX_BLOCKS = 4_096;

/** Age after which a block counts as evicted, in milliseconds. */
const MAX_BLOCK_AGE_MS = 300_000;

/** Keeps recently used blocks, oldest first. */
export class PrefixIndex {
    /** Time of the last use by block hash; insertion order is order of use. */
    private readonly lastUse = new Map<number, number>();

    private constructor() {}

    /** Creates an empty index. */
    static create(): PrefixIndex {
        return new PrefixIndex();
    }

    /** Records blocks that the endpoint computes. */
    addBlocks(blocks: readonly number[], now: number): void {
        for (const block of blocks) {
            this.lastUse.delete(block);
            this.lastUse.set(block, now);
        }
        for (const block of this.lastUse.keys()) {
            if (this.lastUse.size <= MAX_BLOCKS) {
                break;
            }
            this.lastUse.delete(block);
        }
    }

    /** Removes blocks that the endpoint reported as evicted. */
    removeBlocks(blocks: readonly number[]): void {
        blocks.forEach(block => this.lastUse.delete(block));
    }

    /** Number of leading prompt tokens that are probably cached. */
    countCachedTokens(blocks: readonly number[], now: number): number {
        const firstMissing = blocks.findIndex(block => {
            const usedAt = this.lastUse.get(block);
            return usedAt === undefined || now - usedAt > MAX_BLOCK_AGE_MS;
        });
        return (firstMissing === -1 ? blocks.length : firstMissing) * PREFIX_BLOCK_TOKENS;
    }
}
