/**
 * Decides which instances are cold, from their records and from when this VM first saw them. A phase is ended by the
 * monotonic clock of this VM only: wall clocks differ between machines and may jump by seconds.
 */
import { type Instance, isSameIncarnation } from "../discovery/index.js";
import type { Service } from "../routing/index.js";
import type { TimerService } from "../time/index.js";

/** Services with a cold phase, and its length. */
export type ColdService = Pick<Service, "name" | "coldStartMs" | "coldPerS">;

/** Dependencies of the phases. */
export interface ColdPhasesOptions {
    readonly timers: TimerService;
    /** Called when an instance has turned cold or warm. */
    readonly onChange: (instance: Instance, isCold: boolean) => void;
}

interface Phase {
    /** The record read last. */
    instance: Instance;
    /** Monotonic times until which it is cold by its start, its record and `markCold`, in milliseconds. */
    startUntil: number;
    recordUntil: number;
    markedUntil: number;
    isCold: boolean;
}

/** The instances of one service by their names; those that were seen last come last. */
type Phases = Map<string, Phase>;

/**
 * Difference between the wall clocks of an instance and this VM up to which a recent start is recognised in the first
 * snapshot, in milliseconds.
 */
const MAX_CLOCK_DIFFERENCE_MS = 10_000;
/** Removed instances of a service that are remembered: one that registers again is not cold because of that. */
const MAX_REMOVED_INSTANCES = 1_024;

/** The phases that one VM knows. */
export class ColdPhases {
    private services: ReadonlyMap<string, ColdService> = new Map();
    /** By service; absent before the first snapshot. */
    private readonly phases = new Map<string, Phases>();

    private constructor(private readonly options: ColdPhasesOptions) {}

    /** Creates a set without services. */
    static create(options: ColdPhasesOptions): ColdPhases {
        return new ColdPhases(options);
    }

    /** Applies the services of the active configuration; those that name no rate for cold instances are ignored. */
    applyServices(services: readonly ColdService[]): void {
        this.services = new Map(
            services.filter(({ coldPerS }) => coldPerS > 0).map(service => [service.name, service]),
        );
        [...this.phases].filter(([name]) => !this.services.has(name)).forEach(([name, phases]) => {
            phases.forEach(phase => this.setCold(phase, false));
            this.phases.delete(name);
        });
    }

    /** True when some service has cold phases. */
    get hasServices(): boolean {
        return this.services.size > 0;
    }

    /** Returns the service if its instances have cold phases. */
    findService(name: string): ColdService | undefined {
        return this.services.size === 0 ? undefined : this.services.get(name);
    }

    /** Records the instances in the directory, once it has been loaded. */
    recordInstances(instances: readonly Instance[]): void {
        for (const service of this.services.values()) {
            const phases = this.phases.get(service.name);
            const listed = instances.filter(instance => instance.service === service.name);
            const known: Phases = phases ?? new Map<string, Phase>();
            listed.forEach(instance => this.recordInstance(known, instance, service, phases === undefined));
            trimOldest(known, listed.length + MAX_REMOVED_INSTANCES);
            this.phases.set(service.name, known);
        }
    }

    /** True while an instance of a service with cold phases is cold. */
    isCold(instance: Instance): boolean {
        const phase = this.find(instance);
        if (phase === undefined) {
            return false;
        }
        this.refresh(phase);
        return phase.isCold;
    }

    /** Time for which an instance stays cold if nothing new is learnt, in milliseconds; 0 when it is warm. */
    getRemainingMs(instance: Instance): number {
        const phase = this.find(instance);
        return phase === undefined ? 0 : Math.max(0, getColdUntil(phase) - this.options.timers.now());
    }

    /** Marks all instances of a data centre as cold for the time that follows a start. */
    markCold(dataCentre: string): void {
        const now = this.options.timers.now();
        for (const [name, phases] of this.phases) {
            const markedUntil = now + (this.services.get(name)?.coldStartMs ?? 0);
            for (const phase of phases.values()) {
                if (phase.instance.dataCentre === dataCentre) {
                    phase.markedUntil = Math.max(phase.markedUntil, markedUntil);
                    this.refresh(phase);
                }
            }
        }
    }

    private find({ service, id }: Instance): Phase | undefined {
        return this.phases.size === 0 ? undefined : this.phases.get(service)?.get(id);
    }

    private recordInstance(
        phases: Phases,
        instance: Instance,
        service: ColdService,
        isFirstSnapshot: boolean,
    ): void {
        const before = phases.get(instance.id);
        const phase = before !== undefined && isSameIncarnation(before.instance, instance)
            ? before
            : this.createPhase(instance, service, isFirstSnapshot);
        if (phase === before) {
            this.updatePhase(phase, instance);
        }
        phases.delete(instance.id);
        phases.set(instance.id, phase);
        this.refresh(phase);
    }

    private createPhase(instance: Instance, { coldStartMs }: ColdService, isFirstSnapshot: boolean): Phase {
        const isStarting = !isFirstSnapshot || this.hasStartedRecently(instance, coldStartMs);
        return {
            instance,
            startUntil: isStarting ? this.options.timers.now() + coldStartMs : Number.NEGATIVE_INFINITY,
            recordUntil: this.computeRecordUntil(instance),
            markedUntil: Number.NEGATIVE_INFINITY,
            isCold: false,
        };
    }

    /** True if the start may be within the cold phase, with clocks that differ and jump. An unknown start isn't recent. */
    private hasStartedRecently({ bornMs }: Instance, coldStartMs: number): boolean {
        return bornMs > 0
            && this.options.timers.readWallClock() - bornMs < coldStartMs + MAX_CLOCK_DIFFERENCE_MS;
    }

    /** Applies a record of the known incarnation. Only one that was certainly written later may shorten the phase. */
    private updatePhase(phase: Phase, instance: Instance): void {
        const { instance: before } = phase;
        const isSameRecord = instance === before
            || (instance.sequence > 0 && instance.sequence === before.sequence);
        if (isSameRecord) {
            return;
        }
        const recordUntil = this.computeRecordUntil(instance);
        const isLater = before.sequence > 0 && instance.sequence > before.sequence;
        phase.recordUntil = isLater ? recordUntil : Math.max(phase.recordUntil, recordUntil);
        phase.instance = instance;
    }

    /** A record is read up to 3 s after it was written, so the time that it names counts whole from its reading. */
    private computeRecordUntil({ coldMs }: Instance): number {
        return coldMs > 0 ? this.options.timers.now() + coldMs : Number.NEGATIVE_INFINITY;
    }

    private refresh(phase: Phase): void {
        this.setCold(phase, this.options.timers.now() < getColdUntil(phase));
    }

    private setCold(phase: Phase, isCold: boolean): void {
        if (phase.isCold !== isCold) {
            phase.isCold = isCold;
            this.options.onChange(phase.instance, isCold);
        }
    }
}

const getColdUntil = ({ startUntil, recordUntil, markedUntil }: Phase): number =>
    Math.max(startUntil, recordUntil, markedUntil);

const trimOldest = (phases: Phases, maxSize: number): void => {
    for (const id of phases.keys()) {
        if (phases.size <= maxSize) {
            return;
        }
        phases.delete(id);
    }
};
