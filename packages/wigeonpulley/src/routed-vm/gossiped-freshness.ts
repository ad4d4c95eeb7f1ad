/**
 * Passes confirmations of the active configuration between this VM and the others. A confirmation also shows that the store
 * served some VM at its time.
 */
import type { InstanceDirectory } from "../discovery/index.js";
import { ConfigurationFreshness } from "../membership/index.js";
import type { ActiveConfiguration } from "../routing/index.js";
import type { ClockReading } from "../time/index.js";

/** Confirmations of one VM's active configuration. */
export class GossipedFreshness extends ConfigurationFreshness {
    private constructor(
        private readonly activeConfiguration: ActiveConfiguration,
        private readonly directory: InstanceDirectory,
    ) {
        super();
    }

    /** Creates the confirmations of a configuration, and of the store that lists the instances of a directory. */
    static create(activeConfiguration: ActiveConfiguration, directory: InstanceDirectory): GossipedFreshness {
        return new GossipedFreshness(activeConfiguration, directory);
    }

    override getAgeMs(): number {
        return this.activeConfiguration.getAgeMs();
    }

    override recordVersion(version: number): void {
        this.activeConfiguration.recordVersion(version);
    }

    override confirm(version: number, reading: ClockReading): void {
        this.activeConfiguration.confirmVersion(version, reading);
        this.directory.recordServedOthers(reading.monotonicMs);
    }
}
