/**
 * Finds prompt blocks under which instances crash, and quarantines them. A block is quarantined when several instances
 * closed connections before requests with it were answered properly and no request with it was answered since; an answer
 * ends the quarantine. VMs share losses, answers and quarantines, and each of them decides by itself.
 */
import { hashIncarnation, type Instance } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import type { TimerService } from "../time/index.js";
import { QUARANTINE_MS, SuspectBlock } from "./suspect-block.js";

/** Evidence about one block, as VMs report it to each other. Ages are in milliseconds. */
export interface BlockReport {
    readonly block: string;
    /** Hashes of instances that lost a response with the block, and the age of each loss. */
    readonly losses: readonly { readonly instance: number; readonly ageMs: number; }[];
    /** Deepest position of the block in a prompt that was lost. */
    readonly depth: number;
    /** Age of the last known answer; undefined if there is none. */
    readonly answeredAgeMs: number | undefined;
    /** Time for which the block is quarantined; undefined if it isn't. */
    readonly quarantinedMs: number | undefined;
}

/** A block that no request may bring to an instance. */
export interface QuarantinedBlock {
    readonly block: string;
    readonly remainingMs: number;
}

/** Dependencies of the quarantine. */
export interface PromptQuarantineOptions {
    readonly timers: TimerService;
    readonly logger: EventLogger;
}

interface PromptBlock {
    readonly id: string;
}

/** Blocks whose last answer is remembered. */
const MAX_ANSWERED_BLOCKS = 4_096;
/** Blocks under suspicion at the same time. */
const MAX_SUSPECTS = 512;
/** Blocks in one report; bounds its size. */
const MAX_REPORTED_BLOCKS = 8;
/** Losses of one block in a report, the newest ones; more than any verdict needs. */
const MAX_REPORTED_LOSSES = 8;
/** Age of the newest loss up to which a block that isn't quarantined is reported, in milliseconds. */
const MAX_REPORTED_LOSS_AGE_MS = 15_000;
/** The same for a block without losses since its last answer, which only has to reach the VMs that know of the loss. */
const MAX_REPORTED_ANSWER_AGE_MS = 3_000;

/** Quarantine of one VM. */
export class PromptQuarantine {
    /** Time of the last answer by block, least recently answered first. */
    private readonly answeredAt = new Map<string, number>();
    private readonly suspects = new Map<string, SuspectBlock>();
    private readonly listeners: ((block: string, isQuarantined: boolean) => void)[] = [];

    private constructor(private readonly options: PromptQuarantineOptions) {}

    /** Creates a quarantine without blocks. */
    static create(options: PromptQuarantineOptions): PromptQuarantine {
        return new PromptQuarantine(options);
    }

    /** Calls back when this VM's own evidence starts or ends the quarantine of a block. */
    subscribe(listener: (block: string, isQuarantined: boolean) => void): void {
        this.listeners.push(listener);
    }

    /** Returns the first quarantined block of a prompt; undefined without one. */
    findQuarantined(promptBlocks: readonly PromptBlock[]): QuarantinedBlock | undefined {
        if (this.suspects.size === 0) {
            return undefined;
        }
        const now = this.options.timers.now();
        for (const block of listSharedBlocks(promptBlocks)) {
            const quarantined = this.findQuarantinedBlock(block, now);
            if (quarantined !== undefined) {
                return quarantined;
            }
        }
        return undefined;
    }

    /** Returns all quarantined blocks. */
    listQuarantined(): readonly QuarantinedBlock[] {
        const now = this.options.timers.now();
        return [...this.suspects.keys()].flatMap(block => this.findQuarantinedBlock(block, now) ?? []);
    }

    /** True when one more request with these blocks may end one more instance, though the evidence isn't sufficient yet. */
    isSuspicious(promptBlocks: readonly PromptBlock[]): boolean {
        const now = this.options.timers.now();
        return listSharedBlocks(promptBlocks).some(block =>
            this.suspects.get(block)?.isSuspicious(now) === true
        );
    }

    /** Records that a request was answered far enough to show that its blocks do no harm. */
    recordAnswer(promptBlocks: readonly PromptBlock[]): void {
        const now = this.options.timers.now();
        for (const block of listSharedBlocks(promptBlocks)) {
            this.answeredAt.delete(block);
            this.answeredAt.set(block, now);
            this.applyAnswer(block, now, true);
        }
        for (const block of this.answeredAt.keys()) {
            if (this.answeredAt.size <= MAX_ANSWERED_BLOCKS) {
                break;
            }
            this.answeredAt.delete(block);
        }
    }

    /** Records that an instance closed the connection before it had answered a request properly. */
    recordLoss(promptBlocks: readonly PromptBlock[], instance: Instance): void {
        const now = this.options.timers.now();
        listSharedBlocks(promptBlocks).forEach((block, depth) =>
            this.getOrCreateSuspect(block).recordLoss(hashIncarnation(instance), now, depth)
        );
    }

    /** Quarantines a block as the store says, from a monotonic time on. */
    applyStored(block: string, since: number): void {
        this.adopt(block, since);
    }

    /** Ends the quarantine of a block whose record was removed from the store. */
    removeStored(block: string): void {
        if (this.suspects.get(block)?.release(this.options.timers.now()) === true) {
            this.options.logger.write("PromptBlockReleased", { block, reason: "the record was removed" });
        }
    }

    /** Returns what the other VMs should know: quarantined blocks and those with the most losses first. */
    listReports(): readonly BlockReport[] {
        const now = this.options.timers.now();
        for (const [block, suspect] of this.suspects) {
            this.evaluate(block, suspect, now);
            if (suspect.isObsolete(now)) {
                this.suspects.delete(block);
            }
        }
        return [...this.suspects]
            .filter(([, suspect]) => isReportable(suspect, now))
            .sort(([, left], [, right]) =>
                computeUrgency(right, now) - computeUrgency(left, now)
                || right.newestLossAt - left.newestLossAt
            )
            .slice(0, MAX_REPORTED_BLOCKS)
            .map(([block, suspect]) => createReport(block, suspect, now));
    }

    /**
     * Applies reports of another VM. `askedAt` is the monotonic time at which the reports were asked for; undefined for
     * reports that came unasked. Those may have been on their way for any time, so their answers, which would seem newer
     * than they are, don't count.
     */
    applyReports(reports: readonly BlockReport[], askedAt: number | undefined): void {
        const now = this.options.timers.now();
        for (const { block, losses, depth, answeredAgeMs, quarantinedMs } of reports) {
            const suspect = this.getOrCreateSuspect(block);
            losses.forEach(({ instance, ageMs }) => suspect.recordLoss(instance, now - ageMs, depth));
            if (answeredAgeMs !== undefined && askedAt !== undefined) {
                this.applyAnswer(block, askedAt - answeredAgeMs, false);
            }
            if (quarantinedMs !== undefined) {
                this.adopt(block, now - quarantinedMs);
            }
        }
    }

    private findQuarantinedBlock(block: string, now: number): QuarantinedBlock | undefined {
        const suspect = this.suspects.get(block);
        const since = suspect === undefined ? undefined : this.evaluate(block, suspect, now);
        return since === undefined ? undefined : { block, remainingMs: since + QUARANTINE_MS - now };
    }

    private adopt(block: string, since: number): void {
        const { timers, logger } = this.options;
        if (this.getOrCreateSuspect(block).adoptQuarantine(since, timers.now())) {
            logger.write("PromptBlockQuarantined", {
                block,
                instances: 0,
                ageMs: Math.round(timers.now() - since),
            });
        }
    }

    private applyAnswer(block: string, answeredAt: number, isOwn: boolean): void {
        if (this.suspects.get(block)?.recordAnswer(answeredAt) !== true) {
            return;
        }
        this.options.logger.write("PromptBlockReleased", { block, reason: "a request was answered" });
        if (isOwn) {
            this.listeners.forEach(listener => listener(block, false));
        }
    }

    /** Returns the time since which the block is quarantined, if it is. */
    private evaluate(block: string, suspect: SuspectBlock, now: number): number | undefined {
        const isExplained = (): boolean =>
            [...this.suspects.values()].some(other => other.explains(suspect, now));
        if (suspect.evaluate(now, isExplained)) {
            this.options.logger.write("PromptBlockQuarantined", {
                block,
                instances: suspect.lossCount,
                ageMs: Math.round(now - suspect.newestLossAt),
            });
            this.listeners.forEach(listener => listener(block, true));
        }
        return suspect.getQuarantinedSince(now);
    }

    private getOrCreateSuspect(block: string): SuspectBlock {
        const suspect = this.suspects.get(block)
            ?? SuspectBlock.create(this.answeredAt.get(block) ?? Number.NEGATIVE_INFINITY);
        this.suspects.set(block, suspect);
        this.evictSuspects(block);
        return suspect;
    }

    /** Removes the oldest suspects beyond the limit, but for quarantined blocks and the given one. */
    private evictSuspects(kept: string): void {
        const now = this.options.timers.now();
        for (const [block, suspect] of this.suspects) {
            if (this.suspects.size <= MAX_SUSPECTS) {
                break;
            }
            if (block !== kept && suspect.getQuarantinedSince(now) === undefined) {
                this.suspects.delete(block);
            }
        }
    }
}

/** The last block of a prompt belongs to its request, so a ban on it would stop no other request. */
const listSharedBlocks = (promptBlocks: readonly PromptBlock[]): readonly string[] =>
    promptBlocks.slice(0, -1).map(({ id }) => id);

const isReportable = (suspect: SuspectBlock, now: number): boolean => {
    const maxAgeMs = suspect.lossCount > 0 ? MAX_REPORTED_LOSS_AGE_MS : MAX_REPORTED_ANSWER_AGE_MS;
    return suspect.getQuarantinedSince(now) !== undefined || now - suspect.newestLossAt <= maxAgeMs;
};

const computeUrgency = (suspect: SuspectBlock, now: number): number =>
    suspect.getQuarantinedSince(now) === undefined ? suspect.lossCount : Number.MAX_SAFE_INTEGER;

const createReport = (block: string, suspect: SuspectBlock, now: number): BlockReport => {
    const since = suspect.getQuarantinedSince(now);
    return {
        block,
        losses: suspect.listLosses().slice(-MAX_REPORTED_LOSSES).map(([instance, lostAt]) => ({
            instance,
            ageMs: now - lostAt,
        })),
        depth: suspect.depth,
        answeredAgeMs: Number.isFinite(suspect.lastAnsweredAt) ? now - suspect.lastAnsweredAt : undefined,
        quarantinedMs: since === undefined ? undefined : now - since,
    };
};
