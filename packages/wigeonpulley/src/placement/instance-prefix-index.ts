/** Which parts of prompts each instance has read lately, as far as this VM sent them there. */

/** A part of a prompt. */
export interface PromptBlock {
    readonly id: string;
    readonly tokens: number;
}

/** Most parts remembered for one instance; about what an engine of today keeps. */
const MAX_BLOCKS = 400;

/** Parts by instance. */
export class InstancePrefixIndex {
    private readonly blocksByInstance = new Map<string, Set<string>>();

    private constructor() {}

    /** Creates an empty memory. */
    static create(): InstancePrefixIndex {
        return new InstancePrefixIndex();
    }

    /** Keeps only the given instances. */
    retain(ids: ReadonlySet<string>): void {
        for (const id of this.blocksByInstance.keys()) {
            if (!ids.has(id)) {
                this.blocksByInstance.delete(id);
            }
        }
    }

    /** Notes that an instance reads a prompt. */
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

    /** Tokens of the prompt that the instance would have to read. */
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
