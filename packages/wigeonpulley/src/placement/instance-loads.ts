/** What this VM has in flight at each instance, with the instance's latency model and prefix index. */
import type { Instance } from "../discovery/index.js";
import type { TimerService } from "../time/index.js";
import type { DecayingLinearRegression } from "./decaying-linear-regression.js";
import { createFirstEventRegression, InstanceLatencyModel } from "./instance-latency-model.js";
import { InstancePrefixIndex } from "./instance-prefix-index.js";
import type { PeerLoads } from "./peer-loads.js";
import type { PlacementRequest } from "./placement-request.js";

/** Time for which an instance that refused a request as full gets no new one, in milliseconds. */
const FULL_BACKOFF_MS = 150;

interface Load {
    inFlight: number;
    pendingPromptTokens: number;
    sentPromptTokens: number;
    fullUntil: number;
    readonly model: InstanceLatencyModel;
}

/** Load that this VM puts on each instance. */
export class InstanceLoads {
    private readonly loads = new Map<string, Load>();
    private readonly firstEventRegressions = new Map<string, DecayingLinearRegression>();
    private readonly prefixIndex = InstancePrefixIndex.create();

    private constructor(private readonly timers: TimerService, private readonly peers: PeerLoads) {}

    /** Creates empty loads. */
    static create(timers: TimerService, peers: PeerLoads): InstanceLoads {
        return new InstanceLoads(timers, peers);
    }

    /** Number of requests in flight at an instance. */
    countInFlight(id: string): number {
        return this.loads.get(id)?.inFlight ?? 0;
    }

    /** Prompt tokens that await prefill at an instance. */
    countPendingPromptTokens(id: string): number {
        return this.loads.get(id)?.pendingPromptTokens ?? 0;
    }

    /** Prompt tokens sent to an instance for prefill since the first request. */
    countSentPromptTokens(id: string): number {
        return this.loads.get(id)?.sentPromptTokens ?? 0;
    }

    /** Prompt tokens of a request that the instance would have to prefill. */
    countUncachedTokens(id: string, { promptBlocks, promptTokens }: PlacementRequest): number {
        return this.prefixIndex.countUncachedTokens(id, promptBlocks, promptTokens);
    }

    /** Number of leading blocks of a request's prompt that this VM recently sent to the instance. */
    countCachedBlocks(id: string, { promptBlocks }: PlacementRequest): number {
        return this.prefixIndex.countCachedBlocks(id, promptBlocks);
    }

    /** True for a short time after an instance refused a request as full. */
    isFull(id: string): boolean {
        return (this.loads.get(id)?.fullUntil ?? 0) > this.timers.now();
    }

    /** Latency model of an instance. */
    getLatencyModel(instance: Instance): InstanceLatencyModel {
        return this.getLoad(instance).model;
    }

    /** Records a request sent to an instance, with the tokens that the instance has to prefill for it. */
    occupy(instance: Instance, { promptBlocks }: PlacementRequest, uncachedTokens: number): void {
        const load = this.getLoad(instance);
        load.inFlight += 1;
        load.pendingPromptTokens += uncachedTokens;
        load.sentPromptTokens += uncachedTokens;
        this.prefixIndex.addBlocks(instance.id, promptBlocks);
    }

    /** Records that the prefill of a request has finished, or will not take place. */
    finishPrefill(instance: Instance, uncachedTokens: number): void {
        const load = this.getLoad(instance);
        load.pendingPromptTokens = Math.max(0, load.pendingPromptTokens - uncachedTokens);
    }

    /** Records that a request has ended; `isFull` when the instance refused it as full. */
    release(instance: Instance, isFull: boolean): void {
        const load = this.getLoad(instance);
        load.inFlight = Math.max(0, load.inFlight - 1);
        if (isFull) {
            load.fullUntil = this.timers.now() + FULL_BACKOFF_MS;
        }
    }

    /** Removes instances that are not in `ids` and have no request in flight. */
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
                sentPromptTokens: 0,
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
