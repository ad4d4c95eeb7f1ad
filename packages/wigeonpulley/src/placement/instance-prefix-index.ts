/** Estimates which prompt blocks each instance has cached, from the prompts that this VM recently sent to it. */

/** A block of a prompt. */
export interface PromptBlock {
    readonly id: string;
    readonly tokens: number;
}

/** Maximum number of blocks stored for one instance; about what an engine caches. */
const MAX_BLOCKS = 400;

/** Keeps the most recently used blocks of each instance, oldest first. */
export class InstancePrefixIndex {
    private readonly blocksByInstance = new Map<string, Set<string>>();

    private constructor() {}

    /** Creates an empty index. */
    static create(): InstancePrefixIndex {
        return new InstancePrefixIndex();
    }

    /** Removes all but the given instances. */
    retain(ids: ReadonlySet<string>): void {
        for (const id of this.blocksByInstance.keys()) {
            if (!ids.has(id)) {
                this.blocksByInstance.delete(id);
            }
        }
    }

    /** Records that a prompt was sent to an instance. */
    addBlocks(instance: string, promptBlocks: readonly PromptBlock[]): void {
        const blocks = this.blocksByInstance.get(instance) ?? new Set();
        this.blocksByInstance.set(instance, blocks);
        for (const { id } of promptBlocks) {
            blocks.delete(id);
            blocks.add(id);
        }
        for (const id of blocks) {
            if (blocks.size <= MAX_BLOCKS) {
                break;
            }
            blocks.delete(id);
        }
    }

    /** Number of leading blocks of a prompt that the instance has cached. */
    countCachedBlocks(instance: string, promptBlocks: readonly PromptBlock[]): number {
        const blocks = this.blocksByInstance.get(instance);
        const firstMissing = promptBlocks.findIndex(({ id }) => blocks?.has(id) !== true);
        return firstMissing < 0 ? promptBlocks.length : firstMissing;
    }

    /** Prompt tokens after the cached prefix, which the instance would have to prefill. */
    countUncachedTokens(
        instance: string,
        promptBlocks: readonly PromptBlock[],
        promptTokens: number,
    ): number {
        const blocks = this.blocksByInstance.get(instance);
        if (blocks === undefined || promptBlocks.length === 0) {
            return promptTokens;
        }
        let uncachedTokens = promptTokens;
        for (const { id, tokens } of promptBlocks) {
            if (!blocks.has(id)) {
                break;
            }
            uncachedTokens -= tokens;
        }
        return Math.max(0, uncachedTokens);
    }
}
