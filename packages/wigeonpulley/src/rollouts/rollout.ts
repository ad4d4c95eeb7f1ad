/** One order to move a service to another version, as one VM sees it. */
import type { TimerService } from "../time/index.js";
import { CanaryAnalysis, type RouteSamples } from "./canary-analysis.js";
import { ExposureCap, type ExposureLimits } from "./exposure-cap.js";
import type { RolloutOrder, RolloutState } from "./rollout-order.js";

/** What a VM tells the others of a roll-out. */
export interface RolloutProgress {
    readonly service: string;
    readonly version: string;
    readonly state: RolloutState;
    /** True when the VM takes the version for bad. */
    readonly isBad: boolean;
    /** Time since the order as far as the VM knows, in milliseconds. */
    readonly elapsedMs: number;
    readonly evidence: readonly RouteSamples[];
}

/** Share of new requests that try the new version until shortly before the deadline. */
const TRIAL_SHARE = 0.07;
/** Time before the deadline from which all requests go to the new version, as far as the cap allows, in milliseconds. */
const SWITCH_MS = 2_500;
/** The same as a part of the order's time, for short orders. */
const SWITCH_SHARE = 0.25;
/** Time before the deadline at which the roll-out is completed, in milliseconds. */
const COMPLETE_MS = 1_400;
const COMPLETE_SHARE = 0.14;

/** Time for which another VM's evidence counts, in milliseconds; a few intervals between reports. */
const HEARD_MS = 2_500;

/** One roll-out. */
export class Rollout {
    readonly evidence: CanaryAnalysis;
    readonly cap: ExposureCap;
    private readonly peers = new Map<string, { readonly view: RolloutProgress; readonly heardAt: number; }>();
    private startedAt: number;
    private isProvenBad = false;
    private currentState: RolloutState = "active";
    /** False until the store has said whether the order is still to be carried out. */
    isStateKnown = false;

    private constructor(
        readonly order: RolloutOrder,
        private readonly timers: TimerService,
        readLimits: () => ExposureLimits,
    ) {
        this.startedAt = timers.now();
        this.evidence = CanaryAnalysis.create(timers);
        this.cap = ExposureCap.create(readLimits);
    }

    /** Creates a roll-out that was ordered just now. */
    static create(order: RolloutOrder, timers: TimerService, readLimits: () => ExposureLimits): Rollout {
        return new Rollout(order, timers, readLimits);
    }

    /** State as far as this VM knows. */
    get state(): RolloutState {
        return this.currentState;
    }

    /** True when the version gets nothing any more. */
    get isBad(): boolean {
        return this.isProvenBad || this.currentState === "rolled-back";
    }

    /** Takes a state over that the store or another VM has; a final one stays. */
    applyState(state: RolloutState): void {
        this.isStateKnown = true;
        this.currentState = this.currentState === "active" ? state : this.currentState;
    }

    /** Takes another VM's report over. */
    applyReport(vm: string, report: RolloutProgress): void {
        this.peers.set(vm, { view: report, heardAt: this.timers.now() });
        this.startedAt = Math.min(this.startedAt, this.timers.now() - report.elapsedMs);
        if (report.state !== "active") {
            this.applyState(report.state);
        }
        this.isProvenBad ||= report.isBad;
    }

    /** Looks at the evidence of all VMs; true when it proves the version bad just now. */
    evaluate(): boolean {
        if (this.currentState !== "active" || this.isProvenBad || !this.evidence.isBad(this.listHeard())) {
            return false;
        }
        this.isProvenBad = true;
        return true;
    }

    /** Share of new requests that are to try the new version now. */
    computeCanaryShare(): number {
        if (this.currentState === "completed") {
            return 1;
        }
        if (!this.isStateKnown || this.isBad) {
            return 0;
        }
        return this.isSwitching() ? 1 : TRIAL_SHARE;
    }

    /** The final state that is due now; undefined while there is none. */
    findDueState(): RolloutState | undefined {
        if (this.currentState !== "active" || !this.isStateKnown) {
            return undefined;
        }
        if (this.isProvenBad) {
            return "rolled-back";
        }
        if (this.leftMs > Math.min(COMPLETE_MS, COMPLETE_SHARE * this.order.durationMs)) {
            return undefined;
        }
        return this.evidence.isInconclusive(this.listHeard()) ? "rolled-back" : "completed";
    }

    /** What this VM tells the others. */
    createReport(): RolloutProgress {
        return {
            service: this.order.service,
            version: this.order.version,
            state: this.currentState,
            isBad: this.isProvenBad,
            elapsedMs: Math.round(this.timers.now() - this.startedAt),
            evidence: this.evidence.listSamples(),
        };
    }

    private get leftMs(): number {
        return this.startedAt + this.order.durationMs - this.timers.now();
    }

    private isSwitching(): boolean {
        const isNear = this.leftMs <= Math.min(SWITCH_MS, SWITCH_SHARE * this.order.durationMs);
        return isNear && !this.evidence.isLeaningBad(this.listHeard());
    }

    private listHeard(): readonly RouteSamples[] {
        const oldest = this.timers.now() - HEARD_MS;
        return [...this.peers.values()].flatMap(({ view, heardAt }) => heardAt < oldest ? [] : view.evidence);
    }
}
