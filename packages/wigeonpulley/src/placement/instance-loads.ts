/** What this VM has sent to each instance, how fast the instance works, and which prompts it read. */
import type { Instance } from "../discovery/index.js";
import type { TimerService } from "../time/index.js";
import type { DecayingLinearRegression } from "./decaying-linear-regression.js";
import { createFirstEventRegression, InstanceLatencyModel } from "./instance-latency-model.js";
import { InstancePrefixIndex } from "./instance-prefix-index.js";
import type { PeerLoads } from "./peer-loads.js";
import type { PlacementRequest } from "./placement-request.js";

/** Time for which an instance that refused for being full gets nothing new, in milliseconds. */
const FULL_BACKOFF_MS = 150;

interface Load {
    inFlight: number;
    pendingPromptTokens: number;
    fullUntil: number;
    readonly model: InstanceLatencyModel;
}

/** Loads by instance. */
export class InstanceLoads {
    private readonly loads = new Map<string, Load>();
    private readonly firstEventRegressions = new Map<string, DecayingLinearRegression>();
    private readonly prefixIndex = InstancePrefixIndex.create();

    private constructor(private readonly timers: TimerService, private readonly peers: PeerLoads) {}

    /** Creates loads without requests. */
    static create(timers: TimerService, peers: PeerLoads): InstanceLoads {
        return new InstanceLoads(timers, peers);
    }

    /** Requests at an instance. */
    countInFlight(id: string): number {
        return this.loads.get(id)?.inFlight ?? 0;
    }

    /** Prompt tokens that an instance has still to read. */
    countPendingPromptTokens(id: string): number {
        return this.loads.get(id)?.pendingPromptTokens ?? 0;
    }

    /** Tokens of a request's prompt that the instance would have to read. */
    countUncachedTokens(id: string, { promptBlocks, promptTokens }: PlacementRequest): number {
        return this.prefixIndex.countUncachedTokens(id, promptBlocks, promptTokens);
    }

    /** True while an instance has just refused for being full. */
    isFull(id: string): boolean {
        return (this.loads.get(id)?.fullUntil ?? 0) > this.timers.now();
    }

    /** How fast an instance works. */
    getLatencyModel(instance: Instance): InstanceLatencyModel {
        return this.getLoad(instance).model;
    }

    /** Notes a request on its way to an instance, with the tokens that it has to read. */
    occupy(instance: Instance, { promptBlocks }: PlacementRequest, uncachedTokens: number): void {
        const load = this.getLoad(instance);
        load.inFlight += 1;
        load.pendingPromptTokens += uncachedTokens;
        this.prefixIndex.addBlocks(instance.id, promptBlocks);
    }

    /** Notes that a prompt has been read, or will not be. */
    finishPrefill(instance: Instance, uncachedTokens: number): void {
        const load = this.getLoad(instance);
        load.pendingPromptTokens = Math.max(0, load.pendingPromptTokens - uncachedTokens);
    }

    /** Notes that a request has left an instance. */
    release(instance: Instance, isFull: boolean): void {
        const load = this.getLoad(instance);
        load.inFlight = Math.max(0, load.inFlight - 1);
        if (isFull) {
            load.fullUntil = this.timers.now() + FULL_BACKOFF_MS;
        }
    }

    /** Forgets instances that are gone and serve nothing any more. */
    retain(ids: ReadonlySet<string>): void {
        this.prefixIndex.retain(ids);
        for (const [id, { inFlight }] of this.loads) {
            if (!ids.has(id) && inFlight === 0) {
                this.loads.delete(id);
            }
        }
    }

    private getLoad({ id, service }: Instance): Load {
        const load = this.loads.get(id)
            ?? {
                inFlight: 0,
                pendingPromptTokens: 0,
                fullUntil: 0,
                model: InstanceLatencyModel.create(
                    this.getFirstEventRegression(service),
                    () => this.peers.getEventGapMs(id),
                ),
            };
        this.loads.set(id, load);
        return load;
    }

    private getFirstEventRegression(service: string): DecayingLinearRegression {
        const regression = this.firstEventRegressions.get(service) ?? createFirstEventRegression();
        this.firstEventRegressions.set(service, regression);
        return regression;
    }
}
