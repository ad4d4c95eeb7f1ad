/**
 * The routing configuration in force on this VM, and how long ago it was confirmed. Versions only go up.
 * The age counts from the sending of the read that confirmed it, since the answer may have waited on the way.
 */
import type { EventLogger } from "../logging/index.js";
import type { ClockReading } from "../time/index.js";
import { type TimerService } from "../time/index.js";
import { RouteTable } from "./route-table.js";
import type { RoutingConfiguration } from "./routing-configuration.js";

/**
 * Difference between the advances of the two clocks, in milliseconds, from which one of them stood still or was set. Well
 * above what lies between two readings in a row, well below any bound.
 */
const CLOCK_JUMP_MS = 50;

/** Called with each new version. */
export type ConfigurationListener = (table: RouteTable) => void;

/** Holds the configuration in force. */
export class ActiveConfiguration {
    private table: RouteTable | undefined;
    private confirmedAt: ClockReading | undefined;
    private clockOffsetMs: number;
    /** Monotonic time at which a jump of a clock was noticed, in milliseconds; no age from before it can be trusted. */
    private jumpedAt = Number.NEGATIVE_INFINITY;
    private readonly listeners: ConfigurationListener[] = [];

    private constructor(private readonly timers: TimerService, private readonly logger: EventLogger) {
        this.clockOffsetMs = timers.readWallClock() - timers.now();
    }

    /** Creates a keeper that knows no configuration. */
    static create(timers: TimerService, logger: EventLogger): ActiveConfiguration {
        return new ActiveConfiguration(timers, logger);
    }

    /** Calls back with every new version. */
    subscribe(listener: ConfigurationListener): void {
        this.listeners.push(listener);
    }

    /** Takes a configuration over if it is newer than the one in force. */
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
    }

    /** Notes that a read sent at `sentAt` found nothing newer than what has been applied. */
    confirm(sentAt: ClockReading): void {
        this.checkClocks();
        const isTrusted = sentAt.monotonicMs > this.jumpedAt;
        if (isTrusted && (this.confirmedAt === undefined || sentAt.isAfter(this.confirmedAt))) {
            this.confirmedAt = sentAt;
        }
    }

    /** The tables of the configuration in force. */
    get routeTable(): RouteTable | undefined {
        return this.table;
    }

    /** Time since the configuration was last known to be the newest, in milliseconds. */
    getAgeMs(): number {
        this.checkClocks();
        return this.confirmedAt?.computeAgeMs(this.timers) ?? Number.POSITIVE_INFINITY;
    }

    /**
     * A suspension and a time of day that is set back can hide each other from both clocks. So when the clocks part,
     * whatever was confirmed before has to be confirmed anew.
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
