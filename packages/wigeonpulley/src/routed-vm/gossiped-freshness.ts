/**
 * Passes confirmations of the active configuration between this VM and the others. A confirmation also shows that the store
 * served some VM at its time, and a VM that has read more of the operators' records that there is something to read.
 */
import type { InstanceDirectory } from "../discovery/index.js";
import { ConfigurationFreshness } from "../membership/index.js";
import type { ActiveConfiguration } from "../routing/index.js";
import type { TopicPosition } from "../store/index.js";
import type { ClockReading } from "../time/index.js";

/** This VM's copy of the operators' records. */
export interface OperatorRecordCopy {
    /** Returns the position up to which the records were read; undefined before that. */
    readonly getPosition: () => TopicPosition | undefined;
    /** Called with the position up to which another VM has read the records. */
    readonly onPeerPosition: (vm: string, position: TopicPosition) => void;
}

/** Parts that learn from the confirmations. */
export interface GossipedFreshnessOptions {
    readonly activeConfiguration: ActiveConfiguration;
    readonly directory: InstanceDirectory;
    readonly operatorRecords: OperatorRecordCopy;
}

/** Confirmations of one VM's active configuration. */
export class GossipedFreshness extends ConfigurationFreshness {
    private constructor(private readonly options: GossipedFreshnessOptions) {
        super();
    }

    /** Creates the confirmations of a configuration. */
    static create(options: GossipedFreshnessOptions): GossipedFreshness {
        return new GossipedFreshness(options);
    }

    override getAgeMs(): number {
        return this.options.activeConfiguration.getAgeMs();
    }

    override recordVersion(version: number): void {
        this.options.activeConfiguration.recordVersion(version);
    }

    override confirm(version: number, reading: ClockReading): void {
        this.options.activeConfiguration.confirmVersion(version, reading);
        this.options.directory.recordServedOthers(reading.monotonicMs);
    }

    override getPosition(): TopicPosition | undefined {
        return this.options.operatorRecords.getPosition();
    }

    override recordPosition(vm: string, position: TopicPosition): void {
        this.options.operatorRecords.onPeerPosition(vm, position);
    }
}
