/** Runs one policy on one workload and measures the responses that callers receive. */
import { DispatchPermit, type Endpoint, parseChatBody, type QueueOrder } from "wigeonpulley";
import { BenchSystem } from "../system.js";
import { type BaselinePolicy, LeastOutstanding, readToEnd, RoundRobin, StaleTwoChoices } from "./policies.js";
import {
    type Arrival,
    createArrivals,
    createEngineOptions,
    createPolicyConfiguration,
    createPolicyVmLocations,
    POLICY_MODEL,
    tierWorkloads,
} from "./workload.js";

/** Names of the policies. */
export const policyNames = [
    "wigeonpulley",
    "round robin",
    "least outstanding",
    "two choices, stale",
] as const;

/** Name of a policy. */
export type PolicyName = (typeof policyNames)[number];

/** Load and faults of one run. */
export interface Scenario {
    readonly name: string;
    /** Offered load as a multiple of the engines' capacity. */
    readonly loadFactor: number;
    readonly durationMs: number;
    /** Engine that becomes five times slower after a third of the duration. */
    readonly slowEngine?: string;
    /** Number of the VM that is killed after half of the duration. */
    readonly killedVm?: number;
}

/** Result of one run. The lists have one count per tier. */
export interface PolicyResult {
    readonly offered: readonly number[];
    readonly good: readonly number[];
    readonly shed: readonly number[];
    /** Counts of the finished responses that were not good, by reason. */
    readonly failuresByReason: ReadonlyMap<string, number>;
    /** Prefilled prompt tokens of requests without a good response. */
    readonly wastedPrefillTokens: number;
    /** Bytes of prompts and responses sent between the regions. */
    readonly crossRegionBytes: number;
    /** Requests refused for overload while a request of a lower tier was queued. */
    readonly unfairSheds: number;
    readonly processorMs: number;
}

interface PolicyOptions {
    readonly policy: PolicyName;
    readonly scenario: Scenario;
    readonly seed: number;
    readonly order?: QueueOrder;
}

const FIRST_TOKEN_TARGET_MS = 1_500;
const INTER_TOKEN_TARGET_MS = 69;
/** Maximum share of inter-token latencies above the target. One is always allowed, for short responses. */
const MAX_SLOW_INTERVAL_SHARE = 0.05;
const SETTLE_MS = 5_000;
const DRAIN_MS = 60_000;
const SLOWDOWN_FACTOR = 5;
const BYTES_PER_TOKEN_EVENT = 250;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Reason why a response is not good. */
type FailureReason = "not whole" | "late" | "late first token" | "slow pace";

/** Records the events of one response and checks them against the latency targets. */
class RequestTracker {
    private intervals = 0;
    private slowIntervals = 0;
    private firstEventAt: number | undefined;
    private previousEventAt: number | undefined;
    private events = 0;

    constructor(private readonly arrival: Arrival, private readonly arrivedAt: number) {}

    /** Records an event of the response. */
    recordEvent(now: number): void {
        if (this.previousEventAt !== undefined) {
            this.intervals += 1;
            this.slowIntervals += now - this.previousEventAt > INTER_TOKEN_TARGET_MS ? 1 : 0;
        }
        this.firstEventAt ??= now;
        this.previousEventAt = now;
        this.events += 1;
    }

    /** Returns the reason why the response is not good; undefined if it is. Durable tiers have no target for the first token. */
    findFailureReason(now: number): FailureReason | undefined {
        const workload = tierWorkloads[this.arrival.tier];
        if (workload === undefined || this.events !== this.arrival.answerTokens + 1) {
            return "not whole";
        }
        if (now - this.arrivedAt > workload.deadlineMs) {
            return "late";
        }
        const waitedMs = (this.firstEventAt ?? now) - this.arrivedAt;
        if (!workload.durable && waitedMs > FIRST_TOKEN_TARGET_MS) {
            return "late first token";
        }
        return this.slowIntervals > Math.max(1, MAX_SLOW_INTERVAL_SHARE * this.intervals)
            ? "slow pace"
            : undefined;
    }
}

const createChatBody = (arrival: Arrival): object => ({
    model: POLICY_MODEL,
    stream: true,
    max_tokens: arrival.answerTokens,
    messages: [{ role: "user", content: arrival.prompt }],
});

/** Sends the requests of one run through one policy and counts the results. */
class PolicyRun {
    readonly offered = tierWorkloads.map(() => 0);
    readonly good = tierWorkloads.map(() => 0);
    readonly shed = tierWorkloads.map(() => 0);
    readonly failuresByReason = new Map<string, number>();
    crossRegionBytes = 0;
    unfairSheds = 0;
    private readonly goodIds = new Set<string>();
    private readonly endpoints: readonly Endpoint[];
    private readonly vmLocations = createPolicyVmLocations();
    private readonly baseline: BaselinePolicy | undefined;

    constructor(private readonly system: BenchSystem, options: PolicyOptions) {
        this.endpoints = createPolicyConfiguration().endpoints;
        switch (options.policy) {
            case "round robin":
                this.baseline = RoundRobin.create();
                break;
            case "least outstanding":
                this.baseline = LeastOutstanding.create();
                break;
            case "two choices, stale":
                this.baseline = StaleTwoChoices.create(
                    options.seed,
                    system.timers,
                    system.endpoints,
                    this.endpoints,
                );
                break;
            default:
                break;
        }
    }

    /** Sends a request now. */
    send(arrival: Arrival, index: number): void {
        if (!this.system.vms.has(`vm-${arrival.vm}`)) {
            return; // A load balancer sends no request to a dead VM.
        }
        increment(this.offered, arrival.tier);
        const tracker = new RequestTracker(arrival, this.system.timers.now());
        void (this.baseline === undefined
            ? this.serve(arrival, tracker)
            : this.dispatch(this.baseline, arrival, tracker, index));
    }

    /** Counts the prefilled prompt tokens of requests without a good response. */
    countWastedPrefill(): number {
        let sum = 0;
        for (const engine of this.system.endpoints.engines.values()) {
            for (const run of engine.runs.values()) {
                sum += this.goodIds.has(run.work.id) ? 0 : run.prefilledTokens;
            }
        }
        return sum;
    }

    private async serve(arrival: Arrival, tracker: RequestTracker): Promise<void> {
        const vm = this.system.vms.get(`vm-${arrival.vm}`);
        const caller = vm?.configurationFollower.current?.configuration.callers[0];
        if (vm === undefined || caller === undefined) {
            return;
        }
        const served = await vm.gateway.serve(caller, {
            ...parseChatBody(createChatBody(arrival)).unwrap(),
            kind: "engine",
            labels: { kind: tierWorkloads[arrival.tier]?.name ?? "" },
            deadlineMs: undefined,
            idempotencyKey: undefined,
            contentType: "application/json",
            signal: new AbortController().signal,
        });
        if (served.isErr() || served.value.kind !== "stream") {
            this.recordRefusal(arrival, served.isErr() && served.error.name === "Overloaded");
            return;
        }
        const { response, requestId } = served.value;
        for await (const item of response.events) {
            if (item.isOk()) {
                tracker.recordEvent(this.system.timers.now());
            }
        }
        this.finish(arrival, tracker, requestId);
    }

    private async dispatch(
        baseline: BaselinePolicy,
        arrival: Arrival,
        tracker: RequestTracker,
        index: number,
    ): Promise<void> {
        const endpoint = baseline.chooseEndpoint(arrival.vm, this.endpoints);
        if (endpoint === undefined) {
            return;
        }
        const id = `request-${index}`;
        baseline.addOpenRequests(arrival.vm, endpoint.name, 1);
        const started = await this.system.endpoints.dispatchToEngine(endpoint, DispatchPermit.create(id), {
            id,
            method: "POST",
            path: "/v1/chat/completions",
            contentType: "application/json",
            body: JSON.stringify(createChatBody(arrival)),
            idempotencyKey: undefined,
        });
        if (started.isOk()) {
            await readToEnd(started.value.stream.events, () => tracker.recordEvent(this.system.timers.now()));
            this.finish(arrival, tracker, id);
        }
        baseline.addOpenRequests(arrival.vm, endpoint.name, -1);
    }

    private finish(arrival: Arrival, tracker: RequestTracker, id: string): void {
        const reason = tracker.findFailureReason(this.system.timers.now());
        if (reason === undefined) {
            increment(this.good, arrival.tier);
            this.goodIds.add(id);
        }
        else {
            this.failuresByReason.set(reason, (this.failuresByReason.get(reason) ?? 0) + 1);
        }
        const engineName = [...this.system.endpoints.engines].find(([, engine]) => engine.runs.has(id))?.[0];
        const endpoint = this.endpoints.find(candidate => candidate.name === engineName);
        if (endpoint !== undefined && endpoint.region !== this.vmLocations[arrival.vm]?.region) {
            this.crossRegionBytes += arrival.prompt.length + arrival.answerTokens * BYTES_PER_TOKEN_EVENT;
        }
    }

    private recordRefusal(arrival: Arrival, isOverloaded: boolean): void {
        increment(this.shed, arrival.tier);
        const waitingTiers = [...this.system.vms.values()].flatMap(vm =>
            [...vm.schedulers.listSchedulers().values()].flatMap(scheduler => scheduler.listWaitingTiers())
        );
        this.unfairSheds += isOverloaded && waitingTiers.some(tier => tier > arrival.tier) ? 1 : 0;
    }
}

const increment = (counts: number[], index: number): void => {
    counts[index] = (counts[index] ?? 0) + 1;
};

/** Measures one policy in one scenario. */
export const measurePolicy = async (options: PolicyOptions): Promise<PolicyResult> => {
    const { scenario, seed, order } = options;
    const system = await BenchSystem.create({
        seed,
        vmLocations: createPolicyVmLocations(),
        configuration: createPolicyConfiguration(),
        engineOptions: createEngineOptions,
        ...(order === undefined ? {} : { order }),
    }, SETTLE_MS);
    const run = new PolicyRun(system, options);
    createArrivals(seed, scenario.loadFactor, scenario.durationMs).forEach((arrival, index) =>
        system.timers.schedule(arrival.atMs, () => run.send(arrival, index))
    );
    system.timers.schedule(scenario.durationMs / 3, () => {
        const slowEngine = system.endpoints.engines.get(scenario.slowEngine ?? "");
        if (slowEngine !== undefined) {
            slowEngine.slowdown = SLOWDOWN_FACTOR;
        }
    });
    system.timers.schedule(scenario.durationMs / 2, () => {
        if (scenario.killedVm !== undefined) {
            system.killVm(`vm-${scenario.killedVm}`);
        }
    });
    const cpu = process.cpuUsage();
    await system.timers.advance(scenario.durationMs + DRAIN_MS);
    const used = process.cpuUsage(cpu);
    system.close();
    const { offered, good, shed, failuresByReason, crossRegionBytes, unfairSheds } = run;
    return {
        offered,
        good,
        shed,
        failuresByReason,
        wastedPrefillTokens: run.countWastedPrefill(),
        crossRegionBytes,
        unfairSheds,
        processorMs: (used.user + used.system) / MICROSECONDS_PER_MILLISECOND,
    };
};
