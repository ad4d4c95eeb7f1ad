import type { WorkspaceUse } from "./workspace-use.js";

/** Load that the other VMs put on instances, and their queues, as far as they have reported them. */
export abstract class PeerLoads {
    /** Number of requests of other VMs in flight at an instance. */
    abstract countInFlight(instance: string, slots: number): number;

    /** Prompt tokens of other VMs that await prefill at an instance. */
    abstract countPendingPromptTokens(instance: string): number;

    /** Longest event gap that other VMs observed on an instance's streams, in milliseconds; undefined for none. */
    abstract getEventGapMs(instance: string): number | undefined;

    /**
     * Number of requests of other VMs that wait for the service with the same or a better priority rank and may go to any
     * region.
     */
    abstract countWaiting(service: string, rank: number): number;

    /** The same for requests that are bound to regions, among them the given one. */
    abstract countWaitingInRegion(service: string, rank: number, region: string): number;
    /** Number of requests of other VMs that wait for the service, by rank. */
    abstract listWaiting(service: string): ReadonlyMap<number, number>;

    /** Mean age of what is known of the other VMs, in milliseconds; 0 when nothing is. */
    abstract getReportAgeMs(): number;

    /** Sums of the other VMs' uses of a service at a rank, by the hash of the workspace's name. */
    abstract listWorkspaceUses(service: string, rank: number): ReadonlyMap<number, WorkspaceUse>;
}

const NO_WAITING: ReadonlyMap<number, number> = new Map();
const NO_USES: ReadonlyMap<number, WorkspaceUse> = new Map();

/** Loads for a VM that knows of no other VM. */
export class NoPeerLoads extends PeerLoads {
    private constructor() {
        super();
    }

    /** Creates empty loads. */
    static create(): NoPeerLoads {
        return new NoPeerLoads();
    }

    override countInFlight(): number {
        return 0;
    }

    override countPendingPromptTokens(): number {
        return 0;
    }

    override getEventGapMs(): undefined {
        return undefined;
    }

    override countWaiting(): number {
        return 0;
    }

    override countWaitingInRegion(): number {
        return 0;
    }

    override listWaiting(): ReadonlyMap<number, number> {
        return NO_WAITING;
    }

    override getReportAgeMs(): number {
        return 0;
    }

    override listWorkspaceUses(): ReadonlyMap<number, WorkspaceUse> {
        return NO_USES;
    }
}
