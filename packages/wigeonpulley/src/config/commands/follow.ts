/** Follows the active configuration: in the log, and through peers while the log is unavailable. */
import { SchedulerError } from "../../errors/index.js";
import type { EventLogger } from "../../logging/index.js";
import type { PlatformLog } from "../../platform/index.js";
import type { CancelTimer, TimerService } from "../../time/index.js";
import {
    applyVersion,
    type CheckpointRecord,
    CONFIGURATION_STREAM,
    type ConfigurationState,
    type ConfigurationVersion,
    createConfigurationState,
    NO_VERSION,
} from "../config-fold.js";
import { readCurrentVersion } from "../queries/read-current.js";

/** Dependencies and intervals of a follower. */
export interface ConfigurationFollowerOptions {
    readonly log: PlatformLog;
    readonly timers: TimerService;
    readonly logger: EventLogger;
    /** Interval of reading the log, in milliseconds. */
    readonly pollMs: number;
    /** Fetches a version newer than the given one from a peer; undefined if there is none. */
    readonly fetchFromPeer: (knownVersion: number) => Promise<ConfigurationVersion | undefined>;
    /** True when this VM is the one that writes checkpoints. */
    readonly isCheckpointWriter: () => boolean;
}

/** Records after the latest copy of the active version at which a checkpoint is due. */
const CHECKPOINT_AFTER_RECORDS = 50;

/** Age of the latest copy of the active version at which a checkpoint is due, in milliseconds. */
const CHECKPOINT_AFTER_MS = 600_000;

type Listener = (version: ConfigurationVersion) => void;

/** Holds the active version on this VM, and never goes back to an earlier one. */
export class ConfigurationFollower {
    private state: ConfigurationState | undefined;
    private readonly listeners: Listener[] = [];
    private isReading = false;
    private cancelPoll: CancelTimer = () => undefined;
    private latestCopyAt: number;
    private version: ConfigurationVersion | undefined;

    private constructor(private readonly options: ConfigurationFollowerOptions) {
        this.latestCopyAt = options.timers.now();
    }

    /** Creates a follower that knows no version yet. */
    static create(options: ConfigurationFollowerOptions): ConfigurationFollower {
        return new ConfigurationFollower(options);
    }

    /** The active version, if any is known. */
    get current(): ConfigurationVersion | undefined {
        return this.version;
    }

    /** Calls the listener with every new version, and at once with the current one, if any. */
    subscribe(listener: Listener): void {
        this.listeners.push(listener);
        if (this.version !== undefined) {
            listener(this.version);
        }
    }

    /** Starts reading the log at the poll interval. */
    start(): void {
        this.cancelPoll = this.options.timers.scheduleRepeating(
            this.options.pollMs,
            () => void this.refresh(),
        );
        void this.refresh();
    }

    /** Stops reading the log. */
    stop(): void {
        this.cancelPoll();
    }

    /** Reads the log once, or asks a peer when the log is unavailable or doesn't tell the active version. */
    async refresh(): Promise<void> {
        if (this.isReading) {
            return;
        }
        this.isReading = true;
        try {
            const read = await readCurrentVersion(this.options.log, this.state);
            if (read.isOk()) {
                this.state = read.value;
                this.updateVersion(this.state.current);
            }
            if (read.isErr() || this.state?.current === undefined) {
                await this.updateFromPeer();
            }
            await this.appendCheckpointIfDue();
        }
        finally {
            this.isReading = false;
        }
    }

    private async updateFromPeer(): Promise<void> {
        const knownVersion = this.version?.version ?? NO_VERSION;
        const fetched = await this.options.fetchFromPeer(knownVersion);
        if (fetched !== undefined) {
            this.state = applyVersion(this.state ?? createConfigurationState(0), fetched);
            this.updateVersion(fetched);
        }
    }

    private updateVersion(candidate: ConfigurationVersion | undefined): void {
        if (candidate === undefined) {
            return;
        }
        if (
            candidate.version === this.version?.version && candidate.recordOffset > this.version.recordOffset
        ) {
            this.latestCopyAt = this.options.timers.now();
            this.version = candidate;
        }
        if (candidate.version <= (this.version?.version ?? NO_VERSION)) {
            return;
        }
        this.version = candidate;
        this.latestCopyAt = this.options.timers.now();
        this.options.logger.write("ConfigurationInForce", {
            version: candidate.version,
            author: candidate.author,
            changeId: candidate.changeId,
        });
        this.listeners.forEach(listener => listener(candidate));
    }

    /** Appends a checkpoint of the active version before retention can drop its latest copy. */
    private async appendCheckpointIfDue(): Promise<void> {
        const { version, state } = this;
        if (
            version === undefined || state?.current?.version !== version.version
            || !this.options.isCheckpointWriter()
        ) {
            return;
        }
        const ageMs = this.options.timers.now() - this.latestCopyAt;
        const recordsSince = state.nextOffset - version.recordOffset;
        if (ageMs < CHECKPOINT_AFTER_MS && recordsSince < CHECKPOINT_AFTER_RECORDS) {
            return;
        }
        const { changeId, author, publishedAt, configuration } = version;
        const record: CheckpointRecord = {
            kind: "repeat",
            version: version.version,
            readThrough: state.nextOffset - 1,
            changeId,
            author,
            publishedAt,
            configuration,
        };
        const appended = await this.options.log.append(CONFIGURATION_STREAM, [record]);
        if (appended.isErr()) {
            this.options.logger.writeError(SchedulerError.fromUnknown(appended.error));
        }
    }
}
