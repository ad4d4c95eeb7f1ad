/** What other VMs have sent to instances and hold back, as far as they told. */

/** Load that the other VMs put on endpoints. */
export abstract class PeerLoads {
    /** Requests of other VMs at an instance. */
    abstract countInFlight(instance: string, slots: number): number;

    /** Prompt tokens of other VMs that an instance has still to read. */
    abstract countPendingPromptTokens(instance: string): number;

    /** Time between two events of an instance's streams that other VMs saw, in milliseconds. */
    abstract getEventGapMs(instance: string): number | undefined;

    /** Requests of other VMs that wait for the service with the same or a better rank. */
    abstract countWaiting(service: string, rank: number): number;
}

/** A VM that knows of no other. */
export class NoPeerLoads extends PeerLoads {
    private constructor() {
        super();
    }

    /** Creates the view. */
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
}
