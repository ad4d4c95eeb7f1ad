import { expect, test } from "vitest";
import { type Quota, SeededRandom, SharedQuotaLimiter, VirtualTimerService } from "wigeonpulley";

/** Pattern: a small workspace asks up to five times its quota, in lumps, at VMs that change in demand. */
const QUOTA: Quota = { ratePerS: 20_000, burst: 20_000, unit: "tokens", plainTokens: 200 };
const TOLERANCE = { slack: 140_000, overrun: 0.1, windowMs: 8_000 };
const ALLOWED = (QUOTA.ratePerS * TOLERANCE.windowMs / 1_000 + QUOTA.burst) * (1 + TOLERANCE.overrun)
    + TOLERANCE.slack;
const VMS = 6;
const STEP_MS = 50;
const REPORT_MS = 500;
const STRETCH_MS = 3_000;
const PLAYED_MS = 60_000;
const DOWN_MS = 1_500;
const MOST_UNITS = 58_000;
const RESTART_STRETCHES = 3;

interface Trouble {
    /** Share of VMs that hear nobody during a stretch. */
    readonly cutShare: number;
    /** Share of VMs that start anew at every third stretch. */
    readonly restartShare: number;
}

interface Asked {
    readonly at: number;
    readonly vm: number;
    readonly units: number;
    readonly isAdmitted: boolean;
}

interface Vm {
    ledger: SharedQuotaLimiter;
    incarnation: bigint;
    downUntil: number;
    isCut: boolean;
    due: number;
    demandShare: number;
}

/** A quarter are plain requests; prompts of the rest are few tokens for most and tens of thousands for the largest. */
const drawUnits = (random: SeededRandom): number => {
    const radius = Math.sqrt(-2 * Math.log(1 - random.pickFraction()));
    const spread = radius * Math.cos(2 * Math.PI * random.pickFraction());
    return random.pickFraction() < 0.25
        ? 200
        : Math.min(MOST_UNITS, Math.round(1_000 * Math.exp(1.4 * spread)) + 1);
};

class LoadPlayer {
    readonly asked: Asked[] = [];
    private readonly timers = VirtualTimerService.create();
    private readonly random: SeededRandom;
    private now = 0;
    private demandFactor = 1;
    private readonly vms: readonly Vm[];

    private constructor(seed: number, private readonly trouble: Trouble) {
        this.random = SeededRandom.create(seed);
        Object.assign(this.timers, { now: () => this.now });
        this.vms = Array.from({ length: VMS }, () => ({
            ledger: this.createLedger(),
            incarnation: 1n,
            downUntil: 0,
            isCut: false,
            due: 0,
            demandShare: 0,
        }));
    }

    static play(seed: number, trouble: Trouble): readonly Asked[] {
        const player = new LoadPlayer(seed, trouble);
        for (; player.now < PLAYED_MS; player.now += STEP_MS) {
            player.step();
        }
        return player.asked;
    }

    private createLedger(): SharedQuotaLimiter {
        return SharedQuotaLimiter.create({
            timers: this.timers,
            countVms: () => VMS,
            getTolerance: () => TOLERANCE,
        });
    }

    private step(): void {
        if (this.now % STRETCH_MS === 0) {
            this.beginStretch();
        }
        const running = this.vms.filter(({ downUntil }) => downUntil <= this.now);
        running.forEach(vm => this.askAt(vm));
        if (this.now % REPORT_MS === 0) {
            this.exchange(running.filter(({ isCut }) => !isCut));
        }
    }

    private beginStretch(): void {
        const isRestart = this.now % (RESTART_STRETCHES * STRETCH_MS) === 0;
        const weights = this.vms.map(() => this.random.pickFraction() ** 2 + 0.02);
        const sum = weights.reduce((total, weight) => total + weight, 0);
        this.demandFactor = 0.5 + 5 * this.random.pickFraction();
        this.vms.forEach((vm, index) => {
            vm.demandShare = (weights[index] ?? 0) / sum;
            vm.isCut = this.random.pickFraction() < this.trouble.cutShare;
            if (isRestart && this.random.pickFraction() < this.trouble.restartShare) {
                vm.ledger = this.createLedger();
                vm.incarnation += 1n;
                vm.downUntil = this.now + DOWN_MS;
            }
        });
    }

    private askAt(vm: Vm): void {
        vm.due += this.demandFactor * vm.demandShare * QUOTA.ratePerS * STEP_MS / 1_000;
        while (vm.due > 0) {
            const units = drawUnits(this.random);
            const isAdmitted = vm.ledger.tryConsume("lushoto", QUOTA, units);
            vm.due -= units;
            this.asked.push({ at: this.now, vm: this.vms.indexOf(vm), units, isAdmitted });
        }
    }

    private exchange(hearing: readonly Vm[]): void {
        hearing.forEach(from =>
            hearing.filter(to => to !== from).forEach(to =>
                to.ledger.applyPeerUsage(
                    `vm-${this.vms.indexOf(from)}`,
                    from.incarnation,
                    from.ledger.listUsage(),
                )
            )
        );
    }
}

const SEEDS = Array.from({ length: 20 }, (unused, index) => index + 1);
const sumUnits = (asked: readonly Asked[]): number => asked.reduce((sum, { units }) => sum + units, 0);
const listAdmitted = (asked: readonly Asked[]): readonly Asked[] =>
    asked.filter(({ isAdmitted }) => isAdmitted);

const findMostInWindow = (admitted: readonly Asked[]): number =>
    Math.max(
        ...admitted.map(({ at }) =>
            sumUnits(admitted.filter(other => other.at > at - TOLERANCE.windowMs && other.at <= at))
        ),
    );

test.each([
    { name: "no trouble", trouble: { cutShare: 0, restartShare: 0 } },
    { name: "VMs cut off", trouble: { cutShare: 0.3, restartShare: 0 } },
    { name: "VMs started anew", trouble: { cutShare: 0, restartShare: 0.7 } },
    { name: "both", trouble: { cutShare: 0.3, restartShare: 0.7 } },
])("no window admits more than the bound with large requests and $name", ({ trouble }) => {
    SEEDS.forEach(seed => {
        expect(findMostInWindow(listAdmitted(LoadPlayer.play(seed, trouble)))).toBeLessThanOrEqual(ALLOWED);
    });
});

test("a workspace beyond its quota gets most of what the bound allows", () => {
    const played = SEEDS.map(seed => LoadPlayer.play(seed, { cutShare: 0, restartShare: 0 }));
    const admitted = sumUnits(played.flatMap(listAdmitted)) / SEEDS.length;
    expect(admitted / (ALLOWED * PLAYED_MS / TOLERANCE.windowMs)).toBeGreaterThan(0.6);
});

test("callers of the busiest VM are refused hardly more often than all", () => {
    const played = SEEDS.map(seed => LoadPlayer.play(seed, { cutShare: 0, restartShare: 0 }));
    const computeShare = (asked: readonly Asked[]): number => sumUnits(listAdmitted(asked)) / sumUnits(asked);
    const shares = played.map(asked => {
        const byVm = Array.from({ length: VMS }, (unused, vm) => asked.filter(request => request.vm === vm));
        const busiest = byVm.reduce((
            most,
            requests,
        ) => (sumUnits(requests) > sumUnits(most) ? requests : most));
        return computeShare(busiest) / computeShare(asked);
    });
    expect(shares.reduce((sum, share) => sum + share, 0) / shares.length).toBeGreaterThan(0.85);
});
