/**
 * Limits what all VMs together send to a cold instance, without calls between them. The VMs that come first by rendezvous
 * hashing among all that this VM knows each send their requests with a fixed spacing; the others send nothing. Dead VMs keep
 * their part, so that a partition doesn't give it to both sides.
 */
import { hashIncarnation, type Instance, type InstanceDirectory } from "../discovery/index.js";
import { hashText } from "../hashing/index.js";
import type { EventLogger } from "../logging/index.js";
import type { TimerService } from "../time/index.js";
import { ColdPhases, type ColdService } from "./cold-phases.js";
import { type ColdLimits, computeColdSpacingMs } from "./cold-share.js";
import { KnownVms } from "./known-vms.js";

/** Dependencies of the cold instances. */
export interface ColdInstancesOptions {
    readonly self: string;
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly directory: InstanceDirectory;
    /** Returns the names of all VMs, dead ones and those known from gossip included. */
    readonly listVms: () => readonly string[];
    /** True once the list of VMs has been read since the start. */
    readonly hasReadVmList: () => boolean;
    /** True once another VM has sent a message to this one since the start. */
    readonly hasContact: () => boolean;
    /** Returns by how much the rate that a cold instance tolerates may be exceeded. */
    readonly getTolerance: () => Omit<ColdLimits, "perS">;
}

/** State of a cold instance as operators see it. */
export interface ColdState {
    /** Time for which it stays cold if nothing new is learnt, in milliseconds. */
    readonly remainingMs: number;
    /** Requests a second that this VM may send; 0 if others share the instance. */
    readonly ownPerS: number;
}

/** This VM's part of one cold instance. */
interface OwnPart {
    /** Monotonic time of the last request, or of the start of the phase, in milliseconds. */
    sentAt: number;
    /** Hash of each VM for this incarnation; hashing is too slow to repeat it with each computation. */
    readonly hashes: Map<string, number>;
    /** VMs from which `rank` was computed. */
    rankedVms: readonly string[] | undefined;
    /** Number of VMs that come before this one. */
    rank: number;
}

const MS_PER_S = 1_000;

/** The cold instances that one VM knows. */
export class ColdInstances {
    private readonly phases: ColdPhases;
    private readonly vms: KnownVms;
    /** By the name of the instance; only of cold instances. */
    private readonly parts = new Map<string, OwnPart>();

    private constructor(private readonly options: ColdInstancesOptions) {
        this.vms = KnownVms.create(options);
        this.phases = ColdPhases.create({
            timers: options.timers,
            onChange: (instance, isCold) => this.handleChange(instance, isCold),
        });
        options.directory.subscribe(() => this.recordInstances());
    }

    /** Creates a set that knows no service with cold phases. */
    static create(options: ColdInstancesOptions): ColdInstances {
        return new ColdInstances(options);
    }

    /** Applies the services of the active configuration. */
    applyServices(services: readonly ColdService[]): void {
        this.phases.applyServices(services);
        this.recordInstances();
        this.refreshVms();
    }

    /** Lists the known VMs again; to be called when they change, so that VMs that vanish later were known. */
    refreshVms(): void {
        if (this.phases.hasServices) {
            this.vms.refresh();
        }
    }

    /** Marks all instances of a data centre as cold from now on, for the time that follows a start. */
    markCold(dataCentre: string): void {
        this.phases.markCold(dataCentre);
    }

    /** True while the instance is cold. */
    isCold(instance: Instance): boolean {
        return this.phases.isCold(instance);
    }

    /** True when the instance is warm, or when this VM's part of it allows a request now. */
    canSend(instance: Instance): boolean {
        if (!this.phases.isCold(instance)) {
            return true;
        }
        const part = this.parts.get(instance.id);
        return part !== undefined
            && this.options.timers.now() - part.sentAt >= this.computeSpacingMs(instance, part);
    }

    /** Records that a request is sent to the instance. */
    recordDispatch({ id }: Instance): void {
        const part = this.parts.size === 0 ? undefined : this.parts.get(id);
        if (part !== undefined) {
            part.sentAt = this.options.timers.now();
        }
    }

    /** Number of cold instances. */
    get coldCount(): number {
        return this.options.directory.list().filter(instance => this.phases.isCold(instance)).length;
    }

    /** Describes a cold instance; undefined for a warm one. */
    describe(instance: Instance): ColdState | undefined {
        const part = this.phases.isCold(instance) ? this.parts.get(instance.id) : undefined;
        return part === undefined ? undefined : {
            remainingMs: Math.round(this.phases.getRemainingMs(instance)),
            ownPerS: Number((MS_PER_S / this.computeSpacingMs(instance, part)).toFixed(2)),
        };
    }

    private recordInstances(): void {
        const { directory } = this.options;
        if (this.phases.hasServices && directory.isLoaded) {
            this.phases.recordInstances(directory.list());
        }
    }

    private handleChange(instance: Instance, isCold: boolean): void {
        const { timers, logger } = this.options;
        if (isCold) {
            const sentAt = timers.now();
            this.parts.set(instance.id, { sentAt, hashes: new Map(), rankedVms: undefined, rank: 0 });
            logger.write("InstanceCold", {
                instance: instance.id,
                remainingMs: Math.round(this.phases.getRemainingMs(instance)),
                recordMs: instance.coldMs,
            });
        }
        else {
            this.parts.delete(instance.id);
            logger.write("InstanceWarm", { instance: instance.id });
        }
    }

    /** Returns the shortest time between two requests of this VM, in milliseconds; infinite if it may send none. */
    private computeSpacingMs(instance: Instance, part: OwnPart): number {
        const perS = this.phases.findService(instance.service)?.coldPerS ?? 0;
        return this.vms.isSettled
            ? computeColdSpacingMs(
                { perS, ...this.options.getTolerance() },
                this.vms.listOthers().length + 1,
                this.getRank(instance, part),
            )
            : Number.POSITIVE_INFINITY;
    }

    private getRank(instance: Instance, part: OwnPart): number {
        const others = this.vms.listOthers();
        if (part.rankedVms !== others) {
            const key = hashIncarnation(instance);
            const getHash = (vm: string): number => {
                const hash = part.hashes.get(vm) ?? hashText(`${key}\n${vm}`);
                part.hashes.set(vm, hash);
                return hash;
            };
            const ownHash = getHash(this.options.self);
            part.rank = others.filter(vm => getHash(vm) > ownHash).length;
            part.rankedVms = others;
        }
        return part.rank;
    }
}
