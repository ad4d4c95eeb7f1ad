/**
 * Counts how often prompt blocks recur in this VM's requests. From this follow a block's share of its service's
 * requests, and the likelihood that some VM has recently sent it to its home. A VM sees only its part of the requests:
 * if a share r of the blocks of a kind recurs in this part, about 1 - (1 - r)^n recur over n VMs.
 */
import { RecentMap } from "../collections/index.js";
import { computeDigest, hashText } from "../hashing/index.js";
import type { TimerService } from "../time/index.js";
import type { PromptBlock } from "./instance-prefix-index.js";
import type { WeighedBlock } from "./prompt-homes.js";

/** How many blocks were seen and how many of them had been seen before; older observations count less. */
interface Recurrence {
    seen: number;
    recurred: number;
}

interface CountedBlock {
    readonly hash: number;
    /** Decayed number of requests with the block. */
    weight: number;
    seenAt: number;
    /** Recurrence of the blocks that directly follow this one. */
    readonly next: Recurrence;
}

interface ServiceCounts {
    /** Decayed number of requests. */
    weight: number;
    seenAt: number;
    /** Recurrence of the last blocks of prompts, and of all others. */
    readonly last: Recurrence;
    readonly inner: Recurrence;
}

/** Blocks that are counted; an entry takes about 330 bytes, so all of them take 2.7 MB. */
const MAX_BLOCKS = 8_192;
/** Blocks of one prompt that are counted and weighed; bounds the time that a prompt of very many blocks takes. */
const MAX_PROMPT_BLOCKS = 32;
/** Characters of a block's identifier that are stored; longer ones are stored as their digest. */
const MAX_IDENTIFIER_LENGTH = 64;
/** Services that are counted. */
const MAX_SERVICES = 64;
/** Time constant of the decay of the counts, in milliseconds: a VM sees a few requests of a service a second. */
const DECAY_MS = 30_000;
/** Age from which a block is taken for evicted by the engines, in milliseconds. */
const MAX_AGE_MS = 120_000;
/** Factor on earlier observations of a recurrence; about the last hundred count. */
const FORGETTING_FACTOR = 0.99;
/** Recurrence in one VM's requests that is assumed before there are observations: 0.3 over 18 VMs, 0.7 over 67. */
const PRIOR_RECURRENCE = 0.02;
/** Weight of what is known of the wider kind of blocks, in observations. */
const PRIOR_WEIGHT = 4;
/** Highest likelihood that a home has a block cached: it may have evicted it, or another VM chose another home. */
const MAX_LIKELIHOOD = 0.9;
/** Least count from which a block's share is known well enough to give it more than one home. */
const MIN_SHARE_WEIGHT = 3;

/** Counts of one VM. */
export class BlockRecurrences {
    private readonly blocks = RecentMap.create<string, CountedBlock>(MAX_BLOCKS);
    private readonly services = RecentMap.create<string, ServiceCounts>(MAX_SERVICES);

    private constructor(private readonly timers: TimerService) {}

    /** Creates empty counts. */
    static create(timers: TimerService): BlockRecurrences {
        return new BlockRecurrences(timers);
    }

    /** Records that a prompt was sent to an instance of a service. */
    recordPrompt(service: string, promptBlocks: readonly PromptBlock[]): void {
        const now = this.timers.now();
        const counts = this.services.get(service)
            ?? { weight: 0, seenAt: now, last: createRecurrence(), inner: createRecurrence() };
        counts.weight = computeWeight(counts, now) + 1;
        counts.seenAt = now;
        this.services.set(service, counts);
        let before: CountedBlock | undefined;
        for (const [index, { id }] of promptBlocks.slice(0, MAX_PROMPT_BLOCKS).entries()) {
            const key = formatKey(service, id);
            const known = this.blocks.get(key);
            const block = known ?? { hash: hashText(id), weight: 0, seenAt: now, next: createRecurrence() };
            const hasRecurred = isRecent(known, now);
            observe(index === promptBlocks.length - 1 ? counts.last : counts.inner, hasRecurred);
            if (before !== undefined) {
                observe(before.next, hasRecurred);
            }
            block.weight = computeWeight(block, now) + 1;
            block.seenAt = now;
            this.blocks.set(key, block);
            before = block;
        }
    }

    /** Weighs the first blocks of a prompt; `vms` VMs, this one included, send requests to the same instances. */
    weighBlocks(service: string, promptBlocks: readonly PromptBlock[], vms: number): readonly WeighedBlock[] {
        const now = this.timers.now();
        const counts = this.services.get(service);
        const total = counts === undefined ? 0 : computeWeight(counts, now);
        let before: CountedBlock | undefined;
        let likelihood = MAX_LIKELIHOOD;
        return promptBlocks.slice(0, MAX_PROMPT_BLOCKS).map(({ id, tokens }, index) => {
            const block = this.blocks.get(formatKey(service, id));
            if (!isRecent(block, now)) {
                const kind = index === promptBlocks.length - 1 ? counts?.last : counts?.inner;
                const recurrence = estimate(before?.next, estimate(kind, PRIOR_RECURRENCE));
                likelihood = Math.min(likelihood, 1 - (1 - recurrence) ** vms);
            }
            before = block;
            const weight = block === undefined ? 0 : computeWeight(block, now);
            const share = weight < MIN_SHARE_WEIGHT ? 0 : Math.min(1, weight / total);
            return { tokens, hash: block?.hash ?? hashText(id), share, likelihood };
        });
    }
}

const formatKey = (service: string, id: string): string =>
    `${service}\n${id.length <= MAX_IDENTIFIER_LENGTH ? id : computeDigest(id)}`;

const createRecurrence = (): Recurrence => ({ seen: 0, recurred: 0 });

const observe = (recurrence: Recurrence, hasRecurred: boolean): void => {
    recurrence.seen = recurrence.seen * FORGETTING_FACTOR + 1;
    recurrence.recurred = recurrence.recurred * FORGETTING_FACTOR + (hasRecurred ? 1 : 0);
};

const estimate = (recurrence: Recurrence | undefined, prior: number): number =>
    ((recurrence?.recurred ?? 0) + prior * PRIOR_WEIGHT) / ((recurrence?.seen ?? 0) + PRIOR_WEIGHT);

const isRecent = (block: CountedBlock | undefined, now: number): boolean =>
    block !== undefined && now - block.seenAt <= MAX_AGE_MS;

const computeWeight = (
    { weight, seenAt }: { readonly weight: number; readonly seenAt: number; },
    now: number,
): number => weight * Math.exp((seenAt - now) / DECAY_MS);
