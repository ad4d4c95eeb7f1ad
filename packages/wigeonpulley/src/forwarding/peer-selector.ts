/**
 * Selects the VM that a request is passed on to when this VM reaches too few instances of its service: of two random VMs, one
 * that is known to have the request's configuration, and then the one with fewer requests of this VM in progress. A VM that
 * can't serve a service is left out for a moment.
 */
import type { Instance } from "../discovery/index.js";
import { type DataCentreRegions, Placement, type ReleaseOutcome } from "../placement/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";

/** A VM that takes requests of other VMs. */
export interface RequestPeer {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    /** IP address and port for the requests. */
    readonly host: string;
    readonly port: number;
    /** Newest version of the configuration that it is known to have; -1 for none. */
    readonly configuration: number;
    /** True when it refuses requests that were admitted by a newer configuration than its own. */
    readonly comparesConfigurations: boolean;
}

/** Request that is to be passed on. */
export interface PassedOnRequest {
    readonly service: string;
    /** Ids of VMs that the request was passed on to already. */
    readonly excludedIds: ReadonlySet<string>;
    /** Regions that the request may use; undefined for all. */
    readonly allowedRegions: ReadonlySet<string> | undefined;
    /** Version of the configuration that admitted it. */
    readonly configurationVersion: number;
}

/** Dependencies of the selector. */
export interface PeerSelectorOptions {
    readonly timers: TimerService;
    readonly random: RandomSource;
    /** Region of this VM, whose VMs are preferred. */
    readonly region: string;
    /** Regions of the data centres, by which a VM may take a request that is bound to regions. */
    readonly regions: DataCentreRegions;
    /** Returns the other VMs that are live and take requests. */
    readonly listPeers: () => readonly RequestPeer[];
}

/** Time for which a VM that could not serve a service gets no requests for it, in milliseconds. */
const UNABLE_MS = 2_000;
const CHOICES = 2;

/** Selector of one VM. */
export class PeerSelector {
    private readonly inFlight = new Map<string, number>();
    /** Monotonic time until which a VM is left out, in milliseconds, by VM and service. */
    private readonly unableUntil = new Map<string, number>();

    private constructor(private readonly options: PeerSelectorOptions) {}

    /** Creates a selector that knows of no failure. */
    static create(options: PeerSelectorOptions): PeerSelector {
        return new PeerSelector(options);
    }

    /** Selects a VM that may take the request; undefined when there is none. */
    select(
        { service, excludedIds, allowedRegions, configurationVersion }: PassedOnRequest,
    ): Placement | undefined {
        const { timers, listPeers, region } = this.options;
        const now = timers.now();
        const able = listPeers().filter(peer =>
            this.isAllowed(peer, allowedRegions)
            // One that doesn't compare versions would serve the request by an older configuration.
            && (peer.comparesConfigurations || peer.configuration >= configurationVersion)
            && !excludedIds.has(createPeerId(peer.name))
            && (this.unableUntil.get(createKey(peer.name, service)) ?? Number.NEGATIVE_INFINITY) <= now
        );
        const near = able.filter(peer => peer.region === region);
        const peer = this.pickBest(near.length > 0 ? near : able, configurationVersion);
        return peer === undefined ? undefined : this.occupy(peer, service);
    }

    /** A VM's own announcement of its region has to agree with this VM's settings. */
    private isAllowed(
        { dataCentre, region }: Pick<RequestPeer, "dataCentre" | "region">,
        allowedRegions: ReadonlySet<string> | undefined,
    ): boolean {
        return allowedRegions === undefined
            || (allowedRegions.has(region) && this.options.regions.isAllowed(dataCentre, allowedRegions));
    }

    private pickBest(peers: readonly RequestPeer[], configurationVersion: number): RequestPeer | undefined {
        const remaining = [...peers];
        const picked = Array.from(
            { length: Math.min(CHOICES, remaining.length) },
            () => remaining.splice(this.options.random.pickInteger(remaining.length), 1),
        ).flat();
        const isBehind = ({ configuration }: RequestPeer): number =>
            configuration < configurationVersion ? 1 : 0;
        return picked.toSorted((left, right) =>
            isBehind(left) - isBehind(right) || this.countInFlight(left) - this.countInFlight(right)
        )[0];
    }

    private countInFlight({ name }: RequestPeer): number {
        return this.inFlight.get(name) ?? 0;
    }

    private occupy(peer: RequestPeer, service: string): Placement {
        this.inFlight.set(peer.name, this.countInFlight(peer) + 1);
        return PeerPlacement.create(peer, outcome => {
            const left = this.countInFlight(peer) - 1;
            if (left > 0) {
                this.inFlight.set(peer.name, left);
            }
            else {
                this.inFlight.delete(peer.name);
            }
            this.recordOutcome(createKey(peer.name, service), outcome);
        });
    }

    private recordOutcome(key: string, outcome: ReleaseOutcome): void {
        if (outcome === "unreachable") {
            this.unableUntil.set(key, this.options.timers.now() + UNABLE_MS);
        }
        else if (outcome === "success") {
            this.unableUntil.delete(key);
        }
    }
}

/** A request in progress at another VM. */
class PeerPlacement extends Placement {
    override readonly instance: Instance;
    private isReleased = false;

    private constructor(peer: RequestPeer, private readonly onRelease: (outcome: ReleaseOutcome) => void) {
        super();
        this.instance = {
            id: createPeerId(peer.name),
            service: "",
            host: peer.host,
            port: peer.port,
            dataCentre: peer.dataCentre,
            version: "",
            slots: 1,
            state: "ready",
            coldMs: 0,
            bornMs: 0,
            sequence: 0,
        };
    }

    static create(peer: RequestPeer, onRelease: (outcome: ReleaseOutcome) => void): PeerPlacement {
        return new PeerPlacement(peer, onRelease);
    }

    override get isPeer(): boolean {
        return true;
    }

    override get predictedMs(): number {
        return -1;
    }

    override recordLimits(): void {
        // The VM that sends the request to the instance keeps the limits.
    }

    override recordFirstEvent(): void {
        // The VM that sends the request to the instance observes its latency.
    }

    override recordEvents(): void {
        // The same holds for the gaps between events.
    }

    override recordResponse(): void {
        // The same holds for whole responses.
    }

    override recordCallerWait(): void {
        // The VM that sends the request to the instance notices that its caller, this VM, doesn't read.
    }

    override release(outcome: ReleaseOutcome): void {
        if (!this.isReleased) {
            this.isReleased = true;
            this.onRelease(outcome);
        }
    }
}

const createPeerId = (vm: string): string => `vm:${vm}`;

const createKey = (vm: string, service: string): string => `${vm}\n${service}`;
