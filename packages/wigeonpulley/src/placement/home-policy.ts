/** Policy on homes of prompt blocks, and its implementation that chooses homes by rendezvous hashing. */
import { hashText } from "../hashing/index.js";
import type { TimerService } from "../time/index.js";
import { BlockRecurrences } from "./block-recurrences.js";
import { evaluateHomeCandidates, type LoadedInstance } from "./home-candidates.js";
import type { PlacementRequest } from "./placement-request.js";
import { chooseHomeDepths, type WeighedBlock } from "./prompt-homes.js";

/** Homes of one prompt. */
export interface PromptHomes {
    readonly blocks: readonly WeighedBlock[];
    /** Number of leading blocks that each instance is a home of, in the order of the instances. */
    readonly depths: readonly number[];
    /** Whether each instance can be a home, in the order of the instances. */
    readonly canBeHome: readonly boolean[];
    /** Mean number of requests in flight at the instances among which the homes were chosen. */
    readonly meanInFlight: number;
}

/** Where prompts should go so that their blocks are cached. */
export abstract class HomePolicy {
    /** Returns the homes of a request's prompt among the instances that may take it; undefined for none. */
    abstract findHomes(request: PlacementRequest, loaded: readonly LoadedInstance[]): PromptHomes | undefined;

    /** Records that a request was sent to an instance. */
    abstract recordPrompt(request: PlacementRequest): void;

    /** Forgets instances that are not in `ids`. */
    abstract retain(ids: ReadonlySet<string>): void;
}

/** No homes: only what this VM itself sent to an instance counts. */
export class NoHomes extends HomePolicy {
    private constructor() {
        super();
    }

    /** Creates the policy. */
    static create(): NoHomes {
        return new NoHomes();
    }

    override findHomes(): undefined {
        return undefined;
    }

    override recordPrompt(): void {
        // Nothing depends on it.
    }

    override retain(): void {
        // Nothing is kept.
    }
}

/** Dependencies of the homes. */
export interface RendezvousHomesOptions {
    readonly timers: TimerService;
    readonly dataCentre: string;
    readonly region: string;
    /** Region by data centre. */
    readonly regions: Readonly<Record<string, string>>;
    /** Returns the number of VMs that may send requests, including this one. */
    readonly countVms: () => number;
}

/** Chooses homes by rendezvous hashing. */
export class RendezvousHomes extends HomePolicy {
    private readonly recurrences: BlockRecurrences;
    /** By the instance's identifier. */
    private readonly instanceHashes = new Map<string, number>();

    private constructor(private readonly options: RendezvousHomesOptions) {
        super();
        this.recurrences = BlockRecurrences.create(options.timers);
    }

    /** Creates a policy that has seen no prompt. */
    static create(options: RendezvousHomesOptions): RendezvousHomes {
        return new RendezvousHomes(options);
    }

    override findHomes(
        { service, isEngine, promptBlocks }: PlacementRequest,
        loaded: readonly LoadedInstance[],
    ): PromptHomes | undefined {
        if (!isEngine || promptBlocks.length === 0 || loaded.length < 2) {
            return undefined;
        }
        const { timers, countVms } = this.options;
        const { canBeHome, meanInFlight, scopeShare } = evaluateHomeCandidates(loaded, {
            ...this.options,
            wallClockMs: timers.readWallClock(),
        });
        // The VMs of other regions send to homes of their own.
        const vms = Math.max(1, countVms() * scopeShare);
        const blocks = this.recurrences.weighBlocks(service, promptBlocks, vms);
        const candidates = loaded.map(({ instance }, index) => ({
            hash: this.getHash(instance.id),
            canBeHome: canBeHome[index] === true,
        }));
        return { blocks, canBeHome, meanInFlight, depths: chooseHomeDepths(blocks, candidates) };
    }

    override recordPrompt({ service, isEngine, promptBlocks }: PlacementRequest): void {
        if (isEngine) {
            this.recurrences.recordPrompt(service, promptBlocks);
        }
    }

    override retain(ids: ReadonlySet<string>): void {
        for (const id of this.instanceHashes.keys()) {
            if (!ids.has(id)) {
                this.instanceHashes.delete(id);
            }
        }
    }

    private getHash(id: string): number {
        const hash = this.instanceHashes.get(id) ?? hashText(id);
        this.instanceHashes.set(id, hash);
        return hash;
    }
}
