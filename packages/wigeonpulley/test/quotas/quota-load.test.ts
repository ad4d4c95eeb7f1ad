import { expect, test } from "vitest";
import { type Quota, SeededRandom, SharedQuotaLimiter, VirtualTimerService } from "wigeonpulley";

/** Load of a small workspace that demands up to five times its quota in large requests, on VMs whose demand changes. */
const QUOTA: Quota = { ratePerS: 20_000, burst: 20_000, unit: "tokens", plainTokens: 200 };
const TOLERANCE = { slack: 140_000, overrun: 0.1, windowMs: 8_000 };
const ALLOWED = (QUOTA.ratePerS * TOLERANCE.windowMs / 1_000 + QUOTA.burst) * (1 + TOLERANCE.overrun)
    + TOLERANCE.slack;
const VM_COUNT = 6;
const STEP_MS = 50;
const REPORT_INTERVAL_MS = 500;
const PHASE_MS = 3_000;
const SIMULATED_MS = 60_000;
const RESTART_MS = 1_500;
const MAX_UNITS = 58_000;
const RESTART_INTERVAL_PHASES = 3;

interface Faults {
    /** Fraction of the VMs that receive no reports during a phase. */
    readonly partitionedFraction: number;
    /** Fraction of the VMs that restart at every third phase. */
    readonly restartedFraction: number;
}

interface SimulatedRequest {
    readonly at: number;
    readonly vm: number;
    readonly units: number;
    readonly isAdmitted: boolean;
}

interface SimulatedVm {
    limiter: SharedQuotaLimiter;
    incarnation: bigint;
    downUntil: number;
    isPartitioned: boolean;
    pendingUnits: number;
    demandShare: number;
}

/**
 * A quarter of the requests are plain. The prompts of the others have few tokens mostly and tens of thousands at most.
 */
const chooseUnits = (random: SeededRandom): number => {
    const radius = Math.sqrt(-2 * Math.log(1 - random.pickFraction()));
    const spread = radius * Math.cos(2 * Math.PI * random.pickFraction());
    return random.pickFraction() < 0.25
        ? 200
        : Math.min(MAX_UNITS, Math.round(1_000 * Math.exp(1.4 * spread)) + 1);
};

class LoadSimulation {
    readonly requests: SimulatedRequest[] = [];
    private readonly timers = VirtualTimerService.create();
    private readonly random: SeededRandom;
    private now = 0;
    private demandFactor = 1;
    private readonly vms: readonly SimulatedVm[];

    private constructor(seed: number, private readonly faults: Faults) {
        this.random = SeededRandom.create(seed);
        Object.assign(this.timers, { now: () => this.now });
        this.vms = Array.from({ length: VM_COUNT }, () => ({
            limiter: this.createLimiter(),
            incarnation: 1n,
            downUntil: 0,
            isPartitioned: false,
            pendingUnits: 0,
            demandShare: 0,
        }));
    }

    static run(seed: number, faults: Faults): readonly SimulatedRequest[] {
        const simulation = new LoadSimulation(seed, faults);
        for (; simulation.now < SIMULATED_MS; simulation.now += STEP_MS) {
            simulation.advance();
        }
        return simulation.requests;
    }

    private createLimiter(): SharedQuotaLimiter {
        return SharedQuotaLimiter.create({
            timers: this.timers,
            getVmCount: () => ({ count: VM_COUNT, isKnown: true }),
            getTolerance: () => TOLERANCE,
        });
    }

    private advance(): void {
        if (this.now % PHASE_MS === 0) {
            this.startPhase();
        }
        const running = this.vms.filter(({ downUntil }) => downUntil <= this.now);
        running.forEach(vm => this.sendRequests(vm));
        if (this.now % REPORT_INTERVAL_MS === 0) {
            this.exchangeReports(running.filter(({ isPartitioned }) => !isPartitioned));
        }
    }

    private startPhase(): void {
        const isRestart = this.now % (RESTART_INTERVAL_PHASES * PHASE_MS) === 0;
        const weights = this.vms.map(() => this.random.pickFraction() ** 2 + 0.02);
        const sum = weights.reduce((total, weight) => total + weight, 0);
        this.demandFactor = 0.5 + 5 * this.random.pickFraction();
        this.vms.forEach((vm, index) => {
            vm.demandShare = (weights[index] ?? 0) / sum;
            vm.isPartitioned = this.random.pickFraction() < this.faults.partitionedFraction;
            if (isRestart && this.random.pickFraction() < this.faults.restartedFraction) {
                vm.limiter = this.createLimiter();
                vm.incarnation += 1n;
                vm.downUntil = this.now + RESTART_MS;
            }
        });
    }

    private sendRequests(vm: SimulatedVm): void {
        vm.pendingUnits += this.demandFactor * vm.demandShare * QUOTA.ratePerS * STEP_MS / 1_000;
        while (vm.pendingUnits > 0) {
            const units = chooseUnits(this.random);
            const isAdmitted = vm.limiter.tryConsume("lushoto", QUOTA, units);
            vm.pendingUnits -= units;
            this.requests.push({ at: this.now, vm: this.vms.indexOf(vm), units, isAdmitted });
        }
    }

    private exchangeReports(reachable: readonly SimulatedVm[]): void {
        reachable.forEach(from =>
            reachable.filter(to => to !== from).forEach(to =>
                to.limiter.applyPeerUsage(
                    `vm-${this.vms.indexOf(from)}`,
                    from.incarnation,
                    from.limiter.listUsage(),
                )
            )
        );
    }
}

const SEEDS = Array.from({ length: 20 }, (unused, index) => index + 1);
const sumUnits = (requests: readonly SimulatedRequest[]): number =>
    requests.reduce((sum, { units }) => sum + units, 0);
const listAdmitted = (requests: readonly SimulatedRequest[]): readonly SimulatedRequest[] =>
    requests.filter(({ isAdmitted }) => isAdmitted);

const findMaxInWindow = (admitted: readonly SimulatedRequest[]): number =>
    Math.max(
        ...admitted.map(({ at }) =>
            sumUnits(admitted.filter(other => other.at > at - TOLERANCE.windowMs && other.at <= at))
        ),
    );

test.each([
    { name: "no faults", faults: { partitionedFraction: 0, restartedFraction: 0 } },
    { name: "partitioned VMs", faults: { partitionedFraction: 0.3, restartedFraction: 0 } },
    { name: "restarted VMs", faults: { partitionedFraction: 0, restartedFraction: 0.7 } },
    { name: "both", faults: { partitionedFraction: 0.3, restartedFraction: 0.7 } },
])("no window admits more than the bound with large requests and $name", ({ faults }) => {
    SEEDS.forEach(seed => {
        expect(findMaxInWindow(listAdmitted(LoadSimulation.run(seed, faults)))).toBeLessThanOrEqual(ALLOWED);
    });
});

test("a workspace that exceeds its quota gets most of what the bound allows", () => {
    const runs = SEEDS.map(seed =>
        LoadSimulation.run(seed, { partitionedFraction: 0, restartedFraction: 0 })
    );
    const admitted = sumUnits(runs.flatMap(listAdmitted)) / SEEDS.length;
    expect(admitted / (ALLOWED * SIMULATED_MS / TOLERANCE.windowMs)).toBeGreaterThan(0.6);
});

test("callers of the busiest VM are refused hardly more often than all callers", () => {
    const runs = SEEDS.map(seed =>
        LoadSimulation.run(seed, { partitionedFraction: 0, restartedFraction: 0 })
    );
    const computeAdmittedFraction = (requests: readonly SimulatedRequest[]): number =>
        sumUnits(listAdmitted(requests)) / sumUnits(requests);
    const shares = runs.map(requests => {
        const byVm = Array.from(
            { length: VM_COUNT },
            (unused, vm) => requests.filter(request => request.vm === vm),
        );
        const busiest = byVm.reduce((
            most,
            requestsOfVm,
        ) => (sumUnits(requestsOfVm) > sumUnits(most) ? requestsOfVm : most));
        return computeAdmittedFraction(busiest) / computeAdmittedFraction(requests);
    });
    expect(shares.reduce((sum, share) => sum + share, 0) / shares.length).toBeGreaterThan(0.85);
});
