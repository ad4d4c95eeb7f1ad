/** Baselines of the policy benchmark: round robin, least outstanding requests, and two random choices with stale reports. */
import {
    type Endpoint,
    type EndpointClient,
    type EngineEvent,
    SeededRandom,
    type TimerService,
} from "wigeonpulley";

/** Load-balancing policy without queues: each VM chooses an engine by itself and dispatches at once. */
export abstract class BaselinePolicy {
    /** Chooses the engine for a request that arrives at a VM. */
    abstract chooseEndpoint(vm: number, endpoints: readonly Endpoint[]): Endpoint | undefined;

    /** Records that a request of a VM started (1) or finished (-1) on an engine. */
    addOpenRequests(vm: number, endpoint: string, change: 1 | -1): void {
        void [vm, endpoint, change];
    }
}

/** Round robin: each VM takes the engines in turn, starting at its own number. */
export class RoundRobin extends BaselinePolicy {
    private readonly nextIndexes = new Map<number, number>();

    /** Creates the policy. */
    static create(): RoundRobin {
        return new RoundRobin();
    }

    override chooseEndpoint(vm: number, endpoints: readonly Endpoint[]): Endpoint | undefined {
        const index = this.nextIndexes.get(vm) ?? vm;
        this.nextIndexes.set(vm, index + 1);
        return endpoints[index % endpoints.length];
    }
}

/** Least outstanding requests: each VM chooses the engine with the fewest open requests of its own. */
export class LeastOutstanding extends BaselinePolicy {
    private readonly openRequests = new Map<string, number>();

    /** Creates the policy. */
    static create(): LeastOutstanding {
        return new LeastOutstanding();
    }

    override chooseEndpoint(vm: number, endpoints: readonly Endpoint[]): Endpoint | undefined {
        return endpoints.reduce<Endpoint | undefined>(
            (best, endpoint) =>
                best === undefined || this.countOpenRequests(vm, endpoint) < this.countOpenRequests(vm, best)
                    ? endpoint
                    : best,
            undefined,
        );
    }

    override addOpenRequests(vm: number, endpoint: string, change: 1 | -1): void {
        const key = `${vm} ${endpoint}`;
        this.openRequests.set(key, (this.openRequests.get(key) ?? 0) + change);
    }

    private countOpenRequests(vm: number, endpoint: Endpoint): number {
        return this.openRequests.get(`${vm} ${endpoint.name}`) ?? 0;
    }
}

/** Power of two choices: the less loaded of two random engines, by load reports that are about a second old. */
export class StaleTwoChoices extends BaselinePolicy {
    private readonly reportedLoads = new Map<string, number>();

    private constructor(private readonly random: SeededRandom) {
        super();
    }

    /** Creates the policy and starts to fetch load reports at a fixed interval. */
    static create(
        seed: number,
        timers: TimerService,
        client: EndpointClient,
        endpoints: readonly Endpoint[],
    ): StaleTwoChoices {
        const policy = new StaleTwoChoices(SeededRandom.create(seed));
        timers.scheduleRepeating(
            REPORT_INTERVAL_MS,
            () =>
                endpoints.forEach(endpoint =>
                    void client.readReport(endpoint).then(report => {
                        policy.reportedLoads.set(endpoint.name, report.isOk() ? report.value.running : 0);
                    })
                ),
        );
        return policy;
    }

    override chooseEndpoint(vm: number, endpoints: readonly Endpoint[]): Endpoint | undefined {
        const [left, right] = [0, 1].map(() => endpoints[this.random.pickInteger(endpoints.length)]);
        return this.getReportedLoad(left) <= this.getReportedLoad(right) ? left : right;
    }

    private getReportedLoad(endpoint: Endpoint | undefined): number {
        return endpoint === undefined ? 0 : this.reportedLoads.get(endpoint.name) ?? 0;
    }
}

const REPORT_INTERVAL_MS = 1_000;

/** Reads a stream to its end and calls `onEvent` for each event. */
export const readToEnd = async (events: AsyncIterable<EngineEvent>, onEvent: () => void): Promise<void> => {
    for await (const event of events) {
        void event;
        onEvent();
    }
};
