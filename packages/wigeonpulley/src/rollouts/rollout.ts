/** One rollout as seen by one VM: the share of requests that the canary gets, and the final state that is due. */
import type { TimerService } from "../time/index.js";
import { CanaryAnalysis, type RouteSamples } from "./canary-analysis.js";
import { ExposureCap, type ExposureLimits } from "./exposure-cap.js";
import type { RolloutOrder, RolloutState } from "./rollout-order.js";

/** What a VM reports of a rollout to the others. */
export interface RolloutProgress {
    readonly service: string;
    readonly version: string;
    readonly state: RolloutState;
    /** True when the VM considers the version bad. */
    readonly isBad: boolean;
    /** Time since the order as far as the VM knows. */
    readonly elapsedMs: number;
    readonly evidence: readonly RouteSamples[];
}

/** Share of new requests that go to the canary until the cutover. */
const CANARY_SHARE = 0.07;
/** Time before the deadline from which all requests go to the new version, as far as the exposure cap allows. */
const CUTOVER_BEFORE_DEADLINE_MS = 2_500;
/** The same as a fraction of the order's duration, for short orders; the smaller of the two applies. */
const CUTOVER_DURATION_FRACTION = 0.25;
/** Time before the deadline at which the final state is decided, and the same as a fraction of the order's duration. */
const COMPLETE_BEFORE_DEADLINE_MS = 1_400;
const COMPLETE_DURATION_FRACTION = 0.14;

/** Time for which another VM's evidence counts; covers a few intervals between reports. */
const FRESH_REPORT_MS = 2_500;

/** Rollout of one service. */
export class Rollout {
    readonly analysis: CanaryAnalysis;
    readonly exposureCap: ExposureCap;
    private readonly peers = new Map<
        string,
        { readonly report: RolloutProgress; readonly receivedAt: number; }
    >();
    private startedAt: number;
    private isProvenBad = false;
    private currentState: RolloutState = "active";
    /** False until the stored state is known, which tells whether the order still has to be carried out. */
    isStateKnown = false;

    private constructor(
        readonly order: RolloutOrder,
        private readonly timers: TimerService,
        getLimits: () => ExposureLimits,
    ) {
        this.startedAt = timers.now();
        this.analysis = CanaryAnalysis.create(timers);
        this.exposureCap = ExposureCap.create(getLimits);
    }

    /** Creates a rollout that was ordered just now. */
    static create(order: RolloutOrder, timers: TimerService, getLimits: () => ExposureLimits): Rollout {
        return new Rollout(order, timers, getLimits);
    }

    /** State as far as this VM knows. */
    get state(): RolloutState {
        return this.currentState;
    }

    /** True when the version is proven bad or rolled back, so that it gets no more requests. */
    get isBad(): boolean {
        return this.isProvenBad || this.currentState === "rolled-back";
    }

    /** Applies a state from the store or from another VM; a final state stays. */
    applyState(state: RolloutState): void {
        this.isStateKnown = true;
        this.currentState = this.currentState === "active" ? state : this.currentState;
    }

    /** Applies another VM's report. */
    applyReport(vm: string, report: RolloutProgress): void {
        this.peers.set(vm, { report, receivedAt: this.timers.now() });
        this.startedAt = Math.min(this.startedAt, this.timers.now() - report.elapsedMs);
        if (report.state !== "active") {
            this.applyState(report.state);
        }
        this.isProvenBad ||= report.isBad;
    }

    /** Evaluates the evidence of all VMs; true when this call is the first to prove the version bad. */
    evaluate(): boolean {
        if (
            this.currentState !== "active" || this.isProvenBad || !this.analysis.isBad(this.listPeerSamples())
        ) {
            return false;
        }
        this.isProvenBad = true;
        return true;
    }

    /** Returns the share of new requests that should go to the canary now. */
    computeCanaryShare(): number {
        if (this.currentState === "completed") {
            return 1;
        }
        if (!this.isStateKnown || this.isBad) {
            return 0;
        }
        return this.isCutoverDue() ? 1 : CANARY_SHARE;
    }

    /** Returns the final state that is due now; undefined while none is. */
    findDueState(): RolloutState | undefined {
        if (this.currentState !== "active" || !this.isStateKnown) {
            return undefined;
        }
        if (this.isProvenBad) {
            return "rolled-back";
        }
        if (
            this.remainingMs
                > Math.min(COMPLETE_BEFORE_DEADLINE_MS, COMPLETE_DURATION_FRACTION * this.order.durationMs)
        ) {
            return undefined;
        }
        return this.analysis.isInconclusive(this.listPeerSamples()) ? "rolled-back" : "completed";
    }

    /** Returns what this VM reports to the others. */
    createReport(): RolloutProgress {
        return {
            service: this.order.service,
            version: this.order.version,
            state: this.currentState,
            isBad: this.isProvenBad,
            elapsedMs: Math.round(this.timers.now() - this.startedAt),
            evidence: this.analysis.listSamples(),
        };
    }

    private get remainingMs(): number {
        return this.startedAt + this.order.durationMs - this.timers.now();
    }

    private isCutoverDue(): boolean {
        const isNearDeadline = this.remainingMs
            <= Math.min(CUTOVER_BEFORE_DEADLINE_MS, CUTOVER_DURATION_FRACTION * this.order.durationMs);
        return isNearDeadline && !this.analysis.isLeaningBad(this.listPeerSamples());
    }

    private listPeerSamples(): readonly RouteSamples[] {
        const freshSince = this.timers.now() - FRESH_REPORT_MS;
        return [...this.peers.values()].flatMap(({ report, receivedAt }) =>
            receivedAt < freshSince ? [] : report.evidence
        );
    }
}
