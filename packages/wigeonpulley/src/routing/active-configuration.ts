/**
 * Holds the active routing configuration of this VM and the time since it was last confirmed. Versions only increase.
 * The age counts from when the confirming read was sent, since its response may have been delayed on the way.
 */
import type { EventLogger } from "../logging/index.js";
import type { ClockReading } from "../time/index.js";
import { type TimerService } from "../time/index.js";
import { RouteTable } from "./route-table.js";
import type { RoutingConfiguration } from "./routing-configuration.js";

/**
 * Difference between the advances of the monotonic and the wall clock above which one of them was suspended or set. Well
 * above the time between two successive readings, and well below any published bound.
 */
const CLOCK_JUMP_MS = 50;

/** Called with the tables of each new version. */
export type ConfigurationListener = (table: RouteTable) => void;

/** The active configuration of one VM. */
export class ActiveConfiguration {
    private table: RouteTable | undefined;
    private confirmedAt: ClockReading | undefined;
    /** Newest version that any VM is known to have. */
    private newestVersion = Number.NEGATIVE_INFINITY;
    private clockOffsetMs: number;
    /** Monotonic time at which a clock jump was detected, in milliseconds; no earlier reading can be trusted. */
    private jumpedAt = Number.NEGATIVE_INFINITY;
    private readonly listeners: ConfigurationListener[] = [];
    private setLoaded: () => void = () => undefined;
    private readonly loaded = new Promise<void>(resolve => {
        this.setLoaded = resolve;
    });

    private constructor(private readonly timers: TimerService, private readonly logger: EventLogger) {
        this.clockOffsetMs = timers.readWallClock() - timers.now();
    }

    /** Creates the state of a VM that has no configuration yet. */
    static create(timers: TimerService, logger: EventLogger): ActiveConfiguration {
        return new ActiveConfiguration(timers, logger);
    }

    /** Calls back with each new version. */
    subscribe(listener: ConfigurationListener): void {
        this.listeners.push(listener);
    }

    /** Activates a configuration if it is newer than the active one. */
    apply(configuration: RoutingConfiguration): void {
        const before = this.table?.configuration.version;
        if (before !== undefined && configuration.version <= before) {
            return;
        }
        const table = RouteTable.create(configuration);
        this.table = table;
        this.logger.write("RoutingInForce", {
            version: configuration.version,
            before: before ?? 0,
            routes: configuration.routes.length,
            workspaces: configuration.workspaces?.length ?? 0,
        });
        this.listeners.forEach(listener => listener(table));
        this.setLoaded();
    }

    /** Resolves when there is a configuration. */
    waitUntilLoaded(): Promise<void> {
        return this.loaded;
    }

    /** Records that some VM has a version. */
    recordVersion(version: number): void {
        this.newestVersion = Math.max(this.newestVersion, version);
    }

    /** True while another VM has a newer version. */
    get isBehind(): boolean {
        return this.newestVersion >= 0
            && (this.table?.configuration.version ?? Number.NEGATIVE_INFINITY) < this.newestVersion;
    }

    /**
     * Records that a read sent at `sentAt` found nothing newer than what has been applied. Has no effect while another VM
     * has a newer version: then the store was restored from a copy without it.
     */
    confirm(sentAt: ClockReading): void {
        this.checkClocks();
        if ((this.table?.configuration.version ?? this.newestVersion) < this.newestVersion) {
            return;
        }
        const isTrusted = sentAt.monotonicMs > this.jumpedAt;
        if (isTrusted && (this.confirmedAt === undefined || sentAt.isAfter(this.confirmedAt))) {
            this.confirmedAt = sentAt;
        }
    }

    /** Records that a version was the newest at the time of a reading; has no effect on another active version. */
    confirmVersion(version: number, reading: ClockReading): void {
        if (version === this.table?.configuration.version) {
            this.confirm(reading);
        }
    }

    /** Tables of the active configuration; undefined before the first one. */
    get routeTable(): RouteTable | undefined {
        return this.table;
    }

    /** Time since the configuration was last known to be the newest, in milliseconds; infinite if it never was. */
    getAgeMs(): number {
        this.checkClocks();
        return this.confirmedAt?.computeAgeMs(this.timers) ?? Number.POSITIVE_INFINITY;
    }

    /**
     * A suspension stops the monotonic clock, and a wall clock that is set back may hide the same time. So when the
     * clocks diverge, all earlier confirmations are discarded.
     */
    private checkClocks(): void {
        const offsetMs = this.timers.readWallClock() - this.timers.now();
        const jumpMs = offsetMs - this.clockOffsetMs;
        this.clockOffsetMs = offsetMs;
        if (Math.abs(jumpMs) > CLOCK_JUMP_MS) {
            this.jumpedAt = this.timers.now();
            this.confirmedAt = undefined;
            this.logger.write("ClockJumped", { jumpMs: Math.round(jumpMs) });
        }
    }
}
