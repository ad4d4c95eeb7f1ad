/** Which parts of prompts each instance has read lately, as far as this VM sent them there. */

/** A part of a prompt. */
export interface PromptBlock {
    readonly id: string;
    readonly tokens: number;
}

/** Most parts remembered for one instance; about what an engine of today keeps. */
const MOST_PARTS = 400;

/** Parts by instance. */
export class InstancePrefixIndex {
    private readonly parts = new Map<string, Set<string>>();

    private constructor() {}

    /** Creates an empty memory. */
    static create(): InstancePrefixIndex {
        return new InstancePrefixIndex();
    }

    /** Keeps only the given instances. */
    retain(ids: ReadonlySet<string>): void {
        for (const id of this.parts.keys()) {
            if (!ids.has(id)) {
                this.parts.delete(id);
            }
        }
    }

    /** Notes that an instance reads a prompt. */
    addBlocks(instance: string, prompt: readonly PromptBlock[]): void {
        const known = this.parts.get(instance) ?? new Set();
        this.parts.set(instance, known);
        for (const { id } of prompt) {
            known.delete(id);
            known.add(id);
        }
        for (const id of known) {
            if (known.size <= MOST_PARTS) {
                break;
            }
            known.delete(id);
        }
    }

    /** Tokens of the prompt that the instance would have to read. */
    countUncachedTokens(instance: string, prompt: readonly PromptBlock[], promptTokens: number): number {
        const known = this.parts.get(instance);
        if (known === undefined || prompt.length === 0) {
            return promptTokens;
        }
        let unread = promptTokens;
        for (const { id, tokens } of prompt) {
            if (!known.has(id)) {
                break;
            }
            unread -= tokens;
        }
        return Math.max(0, unread);
    }
}
