/** What this VM has sent to each instance, how fast the instance works, and which prompts it read. */
import type { Instance } from "../discovery/index.js";
import type { TimerService } from "../time/index.js";
import type { Demand } from "./demand.js";
import { InstancePace } from "./instance-pace.js";
import { PrefixMemory } from "./prefix-memory.js";

/** Time for which an instance that refused for being full gets nothing new, in milliseconds. */
const FULL_PAUSE_MS = 150;

interface Load {
    inFlight: number;
    pendingTokens: number;
    fullUntil: number;
    readonly pace: InstancePace;
}

/** Loads by instance. */
export class InstanceLoads {
    private readonly loads = new Map<string, Load>();
    private readonly prefixes = PrefixMemory.create();

    private constructor(private readonly timers: TimerService) {}

    /** Creates loads without requests. */
    static create(timers: TimerService): InstanceLoads {
        return new InstanceLoads(timers);
    }

    /** Requests at an instance. */
    countInFlight(id: string): number {
        return this.loads.get(id)?.inFlight ?? 0;
    }

    /** Prompt tokens that an instance has still to read. */
    countPendingTokens(id: string): number {
        return this.loads.get(id)?.pendingTokens ?? 0;
    }

    /** Tokens of a request's prompt that the instance would have to read. */
    countUnread(id: string, { prompt, promptTokens }: Demand): number {
        return this.prefixes.countUnread(id, prompt, promptTokens);
    }

    /** True while an instance has just refused for being full. */
    isFull(id: string): boolean {
        return (this.loads.get(id)?.fullUntil ?? 0) > this.timers.now();
    }

    /** How fast an instance works. */
    findPace(id: string): InstancePace {
        return this.find(id).pace;
    }

    /** Notes a request on its way to an instance, with the tokens that it has to read. */
    occupy(instance: Instance, { prompt }: Demand, unreadTokens: number): void {
        const load = this.find(instance.id);
        load.inFlight += 1;
        load.pendingTokens += unreadTokens;
        this.prefixes.note(instance.id, prompt);
    }

    /** Notes that a prompt has been read, or will not be. */
    endPrefill(id: string, unreadTokens: number): void {
        const load = this.find(id);
        load.pendingTokens = Math.max(0, load.pendingTokens - unreadTokens);
    }

    /** Notes that a request has left an instance. */
    release(id: string, isFull: boolean): void {
        const load = this.find(id);
        load.inFlight = Math.max(0, load.inFlight - 1);
        if (isFull) {
            load.fullUntil = this.timers.now() + FULL_PAUSE_MS;
        }
    }

    /** Forgets instances that are gone and serve nothing any more. */
    retain(ids: ReadonlySet<string>): void {
        this.prefixes.retain(ids);
        for (const [id, { inFlight }] of this.loads) {
            if (!ids.has(id) && inFlight === 0) {
                this.loads.delete(id);
            }
        }
    }

    private find(id: string): Load {
        const load = this.loads.get(id)
            ?? { inFlight: 0, pendingTokens: 0, fullUntil: 0, pace: InstancePace.create() };
        this.loads.set(id, load);
        return load;
    }
}
