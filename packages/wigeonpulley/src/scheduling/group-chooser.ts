/** Chooses the endpoint group that a ticket is sent to first. */
import type { GroupLoad } from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";
import type { EndpointGroup } from "./groups.js";

/** Age from which a reported load is no longer used, in milliseconds. */
const MAX_LOAD_AGE_MS = 3_000;

/** Wait that another region's group must save to be preferred, in milliseconds. */
const REMOTE_REGION_COST_MS = 500;

/** Wait by which a group that holds the prompt's prefix may exceed others, in milliseconds. */
const CACHED_PREFIX_BONUS_MS = 400;

/** Maximum number of prompt prefixes whose group is stored. */
const MAX_PREFIXES = 10_000;

/** Options of the chooser. */
export interface GroupChooserOptions {
    readonly region: string;
    readonly timers: TimerService;
    readonly random: RandomSource;
    /** Load of a group that this VM schedules itself. */
    readonly findOwnLoad: (group: string) => GroupLoad | undefined;
}

interface ReceivedLoad {
    readonly load: GroupLoad;
    readonly receivedAt: number;
}

/** Power of two choices over reported loads, with a preference for the own region and for cached prefixes. */
export class GroupChooser {
    /** Group that last granted a slot to a prompt, by the prompt's first block; insertion order is order of use. */
    private readonly groupByPrefix = new Map<number, string>();
    private readonly loads = new Map<string, ReceivedLoad>();

    private constructor(private readonly options: GroupChooserOptions) {}

    /** Creates a chooser without known prefixes and loads. */
    static create(options: GroupChooserOptions): GroupChooser {
        return new GroupChooser(options);
    }

    /** Returns the group to send a ticket to first; undefined when there is no candidate. */
    choose(candidates: readonly EndpointGroup[], prefixBlocks: readonly number[]): EndpointGroup | undefined {
        const local = candidates.filter(group => group.region === this.options.region);
        const pool = local.length > 0 ? local : candidates;
        const preferred = this.findPrefixGroup(prefixBlocks);
        const sample = [
            ...this.chooseTwo(pool),
            ...this.chooseTwo(candidates).slice(0, 1),
            ...candidates.filter(group => group.name === preferred),
        ];
        return sample.reduce<EndpointGroup | undefined>(
            (best, group) =>
                best === undefined || this.computeScore(group, preferred) < this.computeScore(best, preferred)
                    ? group
                    : best,
            undefined,
        );
    }

    /** Records loads that a scheduler sent. */
    recordLoads(loads: readonly GroupLoad[]): void {
        const receivedAt = this.options.timers.now();
        loads.forEach(load => this.loads.set(load.group, { load, receivedAt }));
    }

    /** True when a recent report shows free slots and no waiting ticket. */
    isIdle(group: EndpointGroup): boolean {
        const load = this.findLoad(group);
        return load !== undefined && load.freeSlots > 0 && load.waiting === 0;
    }

    /** Records which group computes a prompt's prefix. */
    recordGrant(group: EndpointGroup, prefixBlocks: readonly number[]): void {
        const [first] = prefixBlocks;
        if (first === undefined) {
            return;
        }
        this.groupByPrefix.delete(first);
        this.groupByPrefix.set(first, group.name);
        if (this.groupByPrefix.size > MAX_PREFIXES) {
            const [oldest] = this.groupByPrefix.keys();
            this.groupByPrefix.delete(oldest ?? first);
        }
    }

    private findPrefixGroup(prefixBlocks: readonly number[]): string | undefined {
        const [first] = prefixBlocks;
        return first === undefined ? undefined : this.groupByPrefix.get(first);
    }

    private chooseTwo(groups: readonly EndpointGroup[]): readonly EndpointGroup[] {
        if (groups.length <= 2) {
            return groups;
        }
        const first = this.options.random.pickInteger(groups.length);
        const second = (first + 1 + this.options.random.pickInteger(groups.length - 1)) % groups.length;
        return [groups[first], groups[second]].flatMap(group => group ?? []);
    }

    /** Expected wait in milliseconds with the preferences added; smaller is better. */
    private computeScore(group: EndpointGroup, preferred: string | undefined): number {
        const waitMs = this.findLoad(group)?.expectedWaitMs ?? 0;
        const regionMs = group.region === this.options.region ? 0 : REMOTE_REGION_COST_MS;
        return waitMs + regionMs - (group.name === preferred ? CACHED_PREFIX_BONUS_MS : 0);
    }

    /** The load of a group, unless it is unknown or old. */
    private findLoad(group: EndpointGroup): GroupLoad | undefined {
        const received = this.loads.get(group.name);
        const isFresh = received !== undefined
            && this.options.timers.now() - received.receivedAt < MAX_LOAD_AGE_MS;
        return this.options.findOwnLoad(group.name) ?? (isFresh ? received.load : undefined);
    }
}
