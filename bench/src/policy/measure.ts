/** Runs one policy over one workload and measures what callers got. */
import { DispatchPermit, type Endpoint, parseChatBody, type QueueOrder } from "wigeonpulley";
import { BenchSystem } from "../system.js";
import { type Baseline, LeastOutstanding, readToEnd, RoundRobin, StaleTwoChoices } from "./policies.js";
import {
    type Arrival,
    createArrivals,
    createEngineOptions,
    createPolicyConfiguration,
    createPolicyPlaces,
    POLICY_MODEL,
    tierLoads,
} from "./workload.js";

/** Names of the policies. */
export const policyNames = [
    "wigeonpulley",
    "round robin",
    "least outstanding",
    "two choices, stale",
] as const;

/** One of the policies. */
export type PolicyName = (typeof policyNames)[number];

/** A workload with what happens to the engines. */
export interface Scenario {
    readonly name: string;
    /** Offered load as a factor of the capacity. */
    readonly factor: number;
    readonly durationMs: number;
    /** An engine that becomes five times slower after a third of the time. */
    readonly slowEngine?: string;
    /** A VM that is killed after half of the time. */
    readonly killedVm?: number;
}

/** What one run showed. Lists are by tier. */
export interface Outcome {
    readonly offered: readonly number[];
    readonly good: readonly number[];
    readonly shed: readonly number[];
    /** Answers that were not good, by reason. */
    readonly faults: ReadonlyMap<string, number>;
    /** Tokens of prompts computed for requests that were not answered in time. */
    readonly wastedPrefill: number;
    /** Bytes of prompts and answers that crossed between the regions. */
    readonly crossBytes: number;
    /** Higher-tier refusals while a lower tier waited. */
    readonly unfairSheds: number;
    readonly processorMs: number;
}

interface Options {
    readonly policy: PolicyName;
    readonly scenario: Scenario;
    readonly seed: number;
    readonly order?: QueueOrder;
}

const FIRST_TOKEN_TARGET_MS = 1_500;
const INTER_TOKEN_TARGET_MS = 69;
/** Part of the gaps that may be slow; in a short answer one gap may be. */
const SLOW_SHARE = 0.05;
const SETTLE_MS = 5_000;
const TAIL_MS = 60_000;
const SLOWDOWN = 5;
const BYTES_PER_TOKEN_EVENT = 250;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Why an answer is not a good one. */
type Fault = "not whole" | "late" | "late first token" | "slow pace";

/** Follows one request from its arrival to its end. */
class RequestJudge {
    private gaps = 0;
    private slowGaps = 0;
    private firstAt: number | undefined;
    private previousAt: number | undefined;
    private events = 0;

    constructor(private readonly arrival: Arrival, private readonly arrivedAt: number) {}

    /** Notes an event. */
    noteEvent(now: number): void {
        if (this.previousAt !== undefined) {
            this.gaps += 1;
            this.slowGaps += now - this.previousAt > INTER_TOKEN_TARGET_MS ? 1 : 0;
        }
        this.firstAt ??= now;
        this.previousAt = now;
        this.events += 1;
    }

    /** Why the answer is not a good one; undefined for a good one. Durable tiers may wait before they begin. */
    findFault(now: number): Fault | undefined {
        const load = tierLoads[this.arrival.tier];
        if (load === undefined || this.events !== this.arrival.answerTokens + 1) {
            return "not whole";
        }
        if (now - this.arrivedAt > load.deadlineMs) {
            return "late";
        }
        const waitedMs = (this.firstAt ?? now) - this.arrivedAt;
        if (!load.durable && waitedMs > FIRST_TOKEN_TARGET_MS) {
            return "late first token";
        }
        return this.slowGaps > Math.max(1, SLOW_SHARE * this.gaps) ? "slow pace" : undefined;
    }
}

const createChat = (arrival: Arrival): object => ({
    model: POLICY_MODEL,
    stream: true,
    max_tokens: arrival.answerTokens,
    messages: [{ role: "user", content: arrival.prompt }],
});

/** One run in progress. */
class PolicyRun {
    readonly offered = tierLoads.map(() => 0);
    readonly good = tierLoads.map(() => 0);
    readonly shed = tierLoads.map(() => 0);
    readonly faults = new Map<string, number>();
    crossBytes = 0;
    unfairSheds = 0;
    private readonly goodIds = new Set<string>();
    private readonly endpoints: readonly Endpoint[];
    private readonly places = createPolicyPlaces();
    private readonly baseline: Baseline | undefined;

    constructor(private readonly system: BenchSystem, options: Options) {
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

    /** Sends one request now. */
    send(arrival: Arrival, index: number): void {
        if (!this.system.vms.has(`vm-${arrival.vm}`)) {
            return; // The balancer would not send it to a dead VM.
        }
        addOne(this.offered, arrival.tier);
        const judge = new RequestJudge(arrival, this.system.timers.now());
        void (this.baseline === undefined
            ? this.serve(arrival, judge)
            : this.dispatch(this.baseline, arrival, judge, index));
    }

    /** Prompt tokens computed for requests without a good answer. */
    countWastedPrefill(): number {
        let sum = 0;
        for (const engine of this.system.endpoints.engines.values()) {
            for (const run of engine.runs.values()) {
                sum += this.goodIds.has(run.work.id) ? 0 : run.prefilledTokens;
            }
        }
        return sum;
    }

    private async serve(arrival: Arrival, judge: RequestJudge): Promise<void> {
        const vm = this.system.vms.get(`vm-${arrival.vm}`);
        const caller = vm?.configurationFollower.current?.configuration.callers[0];
        if (vm === undefined || caller === undefined) {
            return;
        }
        const served = await vm.gateway.serve(caller, {
            ...parseChatBody(createChat(arrival)).unwrap(),
            kind: "engine",
            labels: { kind: tierLoads[arrival.tier]?.name ?? "" },
            deadlineMs: undefined,
            idempotencyKey: undefined,
            contentType: "application/json",
            signal: new AbortController().signal,
        });
        if (served.isErr() || served.value.kind !== "stream") {
            this.noteRefusal(arrival, served.isErr() && served.error.name === "Overloaded");
            return;
        }
        const { response, requestId } = served.value;
        for await (const item of response.events) {
            if (item.isOk()) {
                judge.noteEvent(this.system.timers.now());
            }
        }
        this.finish(arrival, judge, requestId);
    }

    private async dispatch(
        baseline: Baseline,
        arrival: Arrival,
        judge: RequestJudge,
        index: number,
    ): Promise<void> {
        const endpoint = baseline.pick(arrival.vm, this.endpoints);
        if (endpoint === undefined) {
            return;
        }
        const id = `request-${index}`;
        baseline.count(arrival.vm, endpoint.name, 1);
        const started = await this.system.endpoints.dispatchToEngine(endpoint, DispatchPermit.create(id), {
            id,
            method: "POST",
            path: "/v1/chat/completions",
            contentType: "application/json",
            body: JSON.stringify(createChat(arrival)),
            idempotencyKey: undefined,
        });
        if (started.isOk()) {
            await readToEnd(started.value.stream.events, () => judge.noteEvent(this.system.timers.now()));
            this.finish(arrival, judge, id);
        }
        baseline.count(arrival.vm, endpoint.name, -1);
    }

    private finish(arrival: Arrival, judge: RequestJudge, id: string): void {
        const fault = judge.findFault(this.system.timers.now());
        if (fault === undefined) {
            addOne(this.good, arrival.tier);
            this.goodIds.add(id);
        }
        else {
            this.faults.set(fault, (this.faults.get(fault) ?? 0) + 1);
        }
        const engine = [...this.system.endpoints.engines].find(([, model]) => model.runs.has(id))?.[0];
        const endpoint = this.endpoints.find(candidate => candidate.name === engine);
        if (endpoint !== undefined && endpoint.region !== this.places[arrival.vm]?.region) {
            this.crossBytes += arrival.prompt.length + arrival.answerTokens * BYTES_PER_TOKEN_EVENT;
        }
    }

    private noteRefusal(arrival: Arrival, isForLoad: boolean): void {
        addOne(this.shed, arrival.tier);
        const waiting = [...this.system.vms.values()].flatMap(vm =>
            [...vm.schedulers.listSchedulers().values()].flatMap(group => group.listWaitingTiers())
        );
        this.unfairSheds += isForLoad && waiting.some(tier => tier > arrival.tier) ? 1 : 0;
    }
}

const addOne = (counts: number[], index: number): void => {
    counts[index] = (counts[index] ?? 0) + 1;
};

/** Runs one policy over one scenario. */
export const measurePolicy = async (options: Options): Promise<Outcome> => {
    const { scenario, seed, order } = options;
    const system = await BenchSystem.create({
        seed,
        places: createPolicyPlaces(),
        configuration: createPolicyConfiguration(),
        engineOptions: createEngineOptions,
        ...(order === undefined ? {} : { order }),
    }, SETTLE_MS);
    const run = new PolicyRun(system, options);
    createArrivals(seed, scenario.factor, scenario.durationMs).forEach((arrival, index) =>
        system.timers.schedule(arrival.at, () => run.send(arrival, index))
    );
    system.timers.schedule(scenario.durationMs / 3, () => {
        const slow = system.endpoints.engines.get(scenario.slowEngine ?? "");
        if (slow !== undefined) {
            slow.slowdown = SLOWDOWN;
        }
    });
    system.timers.schedule(scenario.durationMs / 2, () => {
        if (scenario.killedVm !== undefined) {
            system.killVm(`vm-${scenario.killedVm}`);
        }
    });
    const cpu = process.cpuUsage();
    await system.timers.advance(scenario.durationMs + TAIL_MS);
    const used = process.cpuUsage(cpu);
    system.close();
    const { offered, good, shed, faults, crossBytes, unfairSheds } = run;
    return {
        offered,
        good,
        shed,
        faults,
        wastedPrefill: run.countWastedPrefill(),
        crossBytes,
        unfairSheds,
        processorMs: (used.user + used.system) / MICROSECONDS_PER_MILLISECOND,
    };
};
