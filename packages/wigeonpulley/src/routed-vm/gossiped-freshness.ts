/** Passes confirmations of the active configuration between this VM and the others. */
import { ConfigurationFreshness } from "../membership/index.js";
import type { ActiveConfiguration } from "../routing/index.js";
import type { ClockReading } from "../time/index.js";

/** Confirmations of one VM's active configuration. */
export class GossipedFreshness extends ConfigurationFreshness {
    private constructor(private readonly activeConfiguration: ActiveConfiguration) {
        super();
    }

    /** Creates the confirmations of a configuration. */
    static create(activeConfiguration: ActiveConfiguration): GossipedFreshness {
        return new GossipedFreshness(activeConfiguration);
    }

    override getAgeMs(): number {
        return this.activeConfiguration.getAgeMs();
    }

    override recordVersion(version: number): void {
        this.activeConfiguration.recordVersion(version);
    }

    override confirm(version: number, reading: ClockReading): void {
        this.activeConfiguration.confirmVersion(version, reading);
    }
}
