/**
 * Finds requests under which instances crash, and quarantines what they have in common. A trait of requests is a block
 * that prompts share, or the fingerprint of a whole request; traits are listed from the general to the specific. A trait is
 * quarantined when several instances closed connections before requests with it were answered properly and no request
 * with it was answered since; an answer ends the quarantine, and so does the knowledge that the instances live on. VMs share losses, answers and quarantines, and each of them
 * decides by itself.
 */
import { RecentMap } from "../collections/index.js";
import { hashIncarnation, type Instance } from "../discovery/index.js";
import type { EventLogger } from "../logging/index.js";
import type { TimerService } from "../time/index.js";
import { LiveInstances } from "./live-instances.js";
import { QUARANTINE_MS, Suspect } from "./suspect.js";

/** Evidence about one trait of requests, as VMs report it to each other. Ages are in milliseconds. */
export interface SuspectReport {
    readonly trait: string;
    /** Hashes of instances that lost a response to a request with the trait, and the age of each loss. */
    readonly losses: readonly { readonly instance: number; readonly ageMs: number; }[];
    /** Deepest position of the trait among those of a request that was lost. */
    readonly depth: number;
    /** Age of the last known answer; undefined if there is none. */
    readonly answeredAgeMs: number | undefined;
    /** Time for which the trait is quarantined; undefined if it isn't. */
    readonly quarantinedMs: number | undefined;
}

/** A trait with which no request may reach an instance. */
export interface QuarantinedTrait {
    readonly trait: string;
    readonly remainingMs: number;
}

/** An instance that lived on after a loss, as VMs report it to each other. */
export interface LiveInstance {
    /** Hash of the instance. */
    readonly instance: number;
    /** Time since it was certainly alive, in milliseconds. */
    readonly ageMs: number;
}

/** Why a quarantine began or ended: by an answer, or because its instances had not crashed. */
export type QuarantineChange = "quarantined" | "answered" | "withdrawn";

/** Dependencies of the quarantine. */
export interface QuarantineOptions {
    readonly timers: TimerService;
    readonly logger: EventLogger;
    /** Returns the instances that the directory lists. */
    readonly listInstances?: () => readonly Instance[];
}

/** Traits whose last answer is remembered. */
const MAX_ANSWERED_TRAITS = 8_192;
/** Traits under suspicion at the same time. */
const MAX_SUSPECTS = 512;
/** Suspects that are removed at once when there are more. */
const EVICTED_SUSPECTS = 64;
/** Traits in one report; bounds its size. */
const MAX_REPORTED_TRAITS = 8;
/** Quarantined traits among them. */
const MAX_REPORTED_QUARANTINES = MAX_REPORTED_TRAITS / 2;
/** Losses of one trait in a report, the newest ones; more than any verdict needs. */
const MAX_REPORTED_LOSSES = 8;
/** Age of the newest loss up to which a trait that isn't quarantined is reported, in milliseconds. */
const MAX_REPORTED_LOSS_AGE_MS = 15_000;
/** The same for a trait without losses since its last answer, which only has to reach the VMs that know of the loss. */
const MAX_REPORTED_ANSWER_AGE_MS = 3_000;

/** Quarantine of one VM. */
export class Quarantine {
    /** Time of the last answer by trait. */
    private readonly answeredAt = RecentMap.create<string, number>(MAX_ANSWERED_TRAITS);
    private readonly suspects = new Map<string, Suspect>();
    /** Quarantined traits in the reports so far; the next report goes on after them. */
    private reportedQuarantines = 0;
    private readonly listeners: ((trait: string, change: QuarantineChange) => void)[] = [];

    private readonly baselessListeners: ((trait: string) => void)[] = [];
    /** Times until which one request with a quarantined trait may pass. */
    private readonly trials = new Map<string, number>();
    private readonly liveInstances: LiveInstances;

    private constructor(private readonly options: QuarantineOptions) {
        this.liveInstances = LiveInstances.create(instance => this.hashListed().has(instance));
    }

    /** Creates a quarantine without traits. */
    static create(options: QuarantineOptions): Quarantine {
        return new Quarantine(options);
    }

    /** Calls back when this VM's own evidence starts or ends the quarantine of a trait. */
    subscribe(listener: (trait: string, change: QuarantineChange) => void): void {
        this.listeners.push(listener);
    }

    /** Returns the first quarantined trait of a request; undefined without one. */
    findQuarantined(traits: readonly string[]): QuarantinedTrait | undefined {
        if (this.suspects.size === 0) {
            return undefined;
        }
        const now = this.options.timers.now();
        this.confirmLives(now);
        for (const trait of traits) {
            const quarantined = this.findQuarantinedTrait(trait, now);
            if (quarantined !== undefined) {
                return quarantined;
            }
        }
        return undefined;
    }

    /**
     * Returns the quarantined trait for which a request is refused now; undefined when it may be sent, with `startTrials`
     * before that.
     */
    findRefusal(traits: readonly string[]): QuarantinedTrait | undefined {
        const refusal = this.listQuarantinedOf(traits).find(({ trait }) => !this.hasTrial(trait));
        if (refusal !== undefined && this.isBaseless(refusal.trait)) {
            this.baselessListeners.forEach(listener => listener(refusal.trait));
        }
        return refusal;
    }

    /** Uses up the trials that let a request pass, just before it is sent; returns true if there are any. */
    startTrials(traits: readonly string[]): boolean {
        const quarantined = this.listQuarantinedOf(traits);
        quarantined.forEach(({ trait }) => this.trials.delete(trait));
        return quarantined.length > 0;
    }

    /** Lets one request with a quarantined trait pass until a monotonic time. */
    grantTrial(trait: string, until: number): void {
        this.trials.set(trait, until);
    }

    /** Calls back when a request is refused for a trait for whose quarantine no VM has reported a loss to this one. */
    subscribeToBaselessRefusals(listener: (trait: string) => void): void {
        this.baselessListeners.push(listener);
    }

    /** Returns all quarantined traits. */
    listQuarantined(): readonly QuarantinedTrait[] {
        const now = this.options.timers.now();
        return [...this.suspects.keys()].flatMap(trait => this.findQuarantinedTrait(trait, now) ?? []);
    }

    /** True when one more request with these traits may end one more instance, though the evidence isn't sufficient yet. */
    isSuspicious(traits: readonly string[]): boolean {
        const now = this.options.timers.now();
        return traits.some(trait => this.suspects.get(trait)?.isSuspicious(now) === true);
    }

    /** Records that a request was answered far enough to show that its traits do no harm. */
    recordAnswer(traits: readonly string[]): void {
        const now = this.options.timers.now();
        for (const trait of traits) {
            this.answeredAt.set(trait, now);
            this.applyAnswer(trait, now, true);
        }
    }

    /** Records that an instance closed the connection before it had answered a request properly. */
    recordLoss(traits: readonly string[], instance: Instance): void {
        const now = this.options.timers.now();
        const hash = hashIncarnation(instance);
        this.liveInstances.recordLoss(hash, now);
        traits.forEach((trait, depth) => this.getOrCreateSuspect(trait).recordLoss(hash, now, depth));
    }

    /** Records that bytes of a response to a request arrived that was sent at `sentAt`. */
    recordResponse(instance: Instance, sentAt: number): void {
        const now = this.options.timers.now();
        // Without the time of its start, an instance looks like the one that had its name before.
        if (this.suspects.size > 0 && instance.bornMs > 0) {
            const hash = hashIncarnation(instance);
            if (this.liveInstances.recordResponse(hash, sentAt, now)) {
                this.withdrawLosses(hash, now);
            }
        }
    }

    /** Quarantines a trait as the store says, from a monotonic time on. */
    applyStored(trait: string, since: number): void {
        this.adopt(trait, since);
    }

    /** Ends the quarantine of a trait whose record was removed from the store. */
    removeStored(trait: string): void {
        if (this.suspects.get(trait)?.release(this.options.timers.now()) === true) {
            this.options.logger.write("PromptBlockReleased", {
                block: trait,
                reason: "the record was removed",
            });
        }
    }

    /** Returns what the other VMs should know: quarantined traits and those with the most losses first. */
    listReports(): readonly SuspectReport[] {
        const now = this.options.timers.now();
        this.confirmLives(now);
        for (const [trait, suspect] of this.suspects) {
            this.evaluate(trait, suspect, now);
            if (suspect.isObsolete(now)) {
                this.suspects.delete(trait);
            }
        }
        const quarantined = this.selectQuarantined(now);
        const others = [...this.suspects]
            .filter(([, suspect]) =>
                suspect.getQuarantinedSince(now) === undefined && isReportable(suspect, now)
            )
            .sort(([, left], [, right]) =>
                right.lossCount - left.lossCount || right.newestLossAt - left.newestLossAt
            );
        return [...quarantined, ...others].slice(0, MAX_REPORTED_TRAITS).map(([trait, suspect]) =>
            createReport(trait, suspect, now)
        );
    }

    /**
     * Applies reports of another VM. `askedAt` is the monotonic time at which the reports were asked for; undefined for
     * reports that came unasked. Those may have been on their way for any time, so their answers, which would seem newer
     * than they are, don't count.
     */
    applyReports(reports: readonly SuspectReport[], askedAt: number | undefined): void {
        const now = this.options.timers.now();
        for (const { trait, losses, depth, answeredAgeMs, quarantinedMs } of reports) {
            const suspect = this.getOrCreateSuspect(trait);
            losses.forEach(({ instance, ageMs }) => {
                const lostAt = now - ageMs;
                if (lostAt >= this.liveInstances.getAliveAt(instance)) {
                    this.liveInstances.recordLoss(instance, lostAt);
                    suspect.recordLoss(instance, lostAt, depth);
                }
            });
            if (answeredAgeMs !== undefined && askedAt !== undefined) {
                this.applyAnswer(trait, askedAt - answeredAgeMs, false);
            }
            if (quarantinedMs !== undefined) {
                this.adopt(trait, now - quarantinedMs);
            }
        }
    }

    /** Returns the instances that lived on after losses. */
    listLiveInstances(): readonly LiveInstance[] {
        const now = this.options.timers.now();
        this.confirmLives(now);
        return this.liveInstances.listReports(now);
    }

    /**
     * Applies what another VM knows of instances that lived on, unless that came unasked. A VM that doesn't reach the store
     * may take the next incarnation for one of them, so this one must be listed here, too.
     */
    applyLiveInstances(instances: readonly LiveInstance[], askedAt: number | undefined): void {
        if (askedAt === undefined || instances.length === 0) {
            return;
        }
        const now = this.options.timers.now();
        const listed = this.hashListed();
        for (const { instance, ageMs } of instances) {
            if (listed.has(instance) && this.liveInstances.recordLife(instance, askedAt - ageMs, now)) {
                this.withdrawLosses(instance, now);
            }
        }
    }

    private hashListed(): ReadonlySet<number> {
        return new Set(this.options.listInstances?.().map(hashIncarnation));
    }

    private listQuarantinedOf(traits: readonly string[]): readonly QuarantinedTrait[] {
        return traits.flatMap(trait => this.findQuarantined([trait]) ?? []);
    }

    /** True while this VM knows no loss under a trait, not even by a trial of another VM. */
    private isBaseless(trait: string): boolean {
        return (this.suspects.get(trait)?.lossCount ?? 0) === 0;
    }

    private hasTrial(trait: string): boolean {
        return (this.trials.get(trait) ?? Number.NEGATIVE_INFINITY) > this.options.timers.now()
            && this.isBaseless(trait);
    }

    private confirmLives(now: number): void {
        this.liveInstances.confirmAnswers(now).forEach(instance => this.withdrawLosses(instance, now));
    }

    /** Withdraws the losses of an instance that lived on from all traits, and ends quarantines that rested on them. */
    private withdrawLosses(instance: number, now: number): void {
        const aliveAt = this.liveInstances.getAliveAt(instance);
        for (const [trait, suspect] of this.suspects) {
            if (suspect.withdrawLoss(instance, aliveAt, now)) {
                this.options.logger.write("PromptBlockReleased", {
                    block: trait,
                    reason: "its instances live on",
                });
                this.listeners.forEach(listener => listener(trait, "withdrawn"));
            }
        }
    }

    /** Selects quarantined traits to report, by turns, so that they leave room for new evidence. */
    private selectQuarantined(now: number): readonly (readonly [string, Suspect])[] {
        const quarantined = [...this.suspects].filter(([, suspect]) =>
            suspect.getQuarantinedSince(now) !== undefined
        );
        const start = quarantined.length > MAX_REPORTED_QUARANTINES
            ? this.reportedQuarantines % quarantined.length
            : 0;
        this.reportedQuarantines = start + MAX_REPORTED_QUARANTINES;
        return [...quarantined.slice(start), ...quarantined.slice(0, start)].slice(
            0,
            MAX_REPORTED_QUARANTINES,
        );
    }

    private findQuarantinedTrait(trait: string, now: number): QuarantinedTrait | undefined {
        const suspect = this.suspects.get(trait);
        const since = suspect === undefined ? undefined : this.evaluate(trait, suspect, now);
        return since === undefined ? undefined : { trait, remainingMs: since + QUARANTINE_MS - now };
    }

    private adopt(trait: string, since: number): void {
        const { timers, logger } = this.options;
        if (this.getOrCreateSuspect(trait).adoptQuarantine(since, timers.now())) {
            logger.write("PromptBlockQuarantined", {
                block: trait,
                instances: 0,
                ageMs: Math.round(timers.now() - since),
            });
        }
    }

    private applyAnswer(trait: string, answeredAt: number, isOwn: boolean): void {
        if (this.suspects.get(trait)?.recordAnswer(answeredAt) !== true) {
            return;
        }
        this.options.logger.write("PromptBlockReleased", { block: trait, reason: "a request was answered" });
        if (isOwn) {
            this.listeners.forEach(listener => listener(trait, "answered"));
        }
    }

    /** Returns the time since which the trait is quarantined, if it is. */
    private evaluate(trait: string, suspect: Suspect, now: number): number | undefined {
        const isExplained = (): boolean =>
            [...this.suspects.values()].some(other => other.explains(suspect, now));
        if (suspect.evaluate(now, isExplained)) {
            this.options.logger.write("PromptBlockQuarantined", {
                block: trait,
                instances: suspect.lossCount,
                ageMs: Math.round(now - suspect.newestLossAt),
            });
            this.listeners.forEach(listener => listener(trait, "quarantined"));
        }
        return suspect.getQuarantinedSince(now);
    }

    private getOrCreateSuspect(trait: string): Suspect {
        const suspect = this.suspects.get(trait)
            ?? Suspect.create(this.answeredAt.get(trait) ?? Number.NEGATIVE_INFINITY);
        this.suspects.set(trait, suspect);
        this.evictSuspects(trait);
        return suspect;
    }

    /** Removes the suspects with the fewest losses beyond the limit, but for quarantined traits and the given one. */
    private evictSuspects(kept: string): void {
        if (this.suspects.size <= MAX_SUSPECTS) {
            return;
        }
        const now = this.options.timers.now();
        [...this.suspects]
            .filter(([trait, suspect]) => trait !== kept && suspect.getQuarantinedSince(now) === undefined)
            .sort(([, left], [, right]) =>
                left.lossCount - right.lossCount || left.newestLossAt - right.newestLossAt
            )
            .slice(0, EVICTED_SUSPECTS)
            .forEach(([trait]) => this.suspects.delete(trait));
    }
}

const isReportable = (suspect: Suspect, now: number): boolean => {
    const maxAgeMs = suspect.lossCount > 0 ? MAX_REPORTED_LOSS_AGE_MS : MAX_REPORTED_ANSWER_AGE_MS;
    return now - suspect.newestLossAt <= maxAgeMs;
};

const createReport = (trait: string, suspect: Suspect, now: number): SuspectReport => {
    const since = suspect.getQuarantinedSince(now);
    return {
        trait,
        losses: suspect.listLosses().slice(-MAX_REPORTED_LOSSES).map(([instance, lostAt]) => ({
            instance,
            ageMs: now - lostAt,
        })),
        depth: suspect.depth,
        answeredAgeMs: Number.isFinite(suspect.lastAnsweredAt) ? now - suspect.lastAnsweredAt : undefined,
        quarantinedMs: since === undefined ? undefined : now - since,
    };
};
