/** In-memory platform: an append-only log and the lists of VMs and endpoints, with faults that tests switch on. */
import { Err, Ok, type Result } from "ts-results-es";
import {
    type LogPage,
    type LogRecord,
    PlatformLog,
    SchedulerError,
    type TimerService,
    VmList,
    type VmListEntry,
    type VmListSnapshot,
} from "wigeonpulley";

/** What happens to one append. */
export type LogFault =
    | "none"
    /** The append is refused; nothing is written. */
    | "refused"
    /** The request is lost; nothing is written. */
    | "lost-request"
    /** The values are written, but the response is lost. */
    | "lost-answer"
    /** The caller gets no response, and the values are written later. */
    | "lands-late";

/** Limits and delays of the platform. */
export interface PlatformOptions {
    readonly timers: TimerService;
    /** Appends allowed in one second; further ones are refused. */
    readonly appendsPerSecond: number;
    /** Newest records of a stream that are retained. */
    readonly retainedRecords: number;
    /** Duration of an append or a read, in milliseconds. */
    readonly latencyMs: number;
    /** Delay until a change shows in the list of VMs, in milliseconds. */
    readonly vmListLagMs: number;
}

const DEFAULT_OPTIONS = {
    appendsPerSecond: 300,
    retainedRecords: 100_000,
    latencyMs: 2,
    vmListLagMs: 1_000,
};

/** Delay of an append with the fault `lands-late`, in milliseconds. */
const LATE_APPEND_DELAY_MS = 3_000;

const MAX_RECORDS_PER_PAGE = 500;
const MILLISECONDS_PER_SECOND = 1_000;

interface Stream {
    readonly records: LogRecord[];
    endOffset: number;
}

/** Platform shared by all VMs of a test. */
export class SimulatedPlatform {
    /** True while the log refuses all appends and reads. */
    isLogUnavailable = false;
    /** Latency added to each append and read, in milliseconds. */
    extraLatencyMs = 0;
    /** Chooses the fault of each append to a stream. */
    chooseAppendFault: (stream: string) => LogFault = () => "none";
    /** Appends written so far. */
    appendCount = 0;
    private readonly options: PlatformOptions;
    private readonly streams = new Map<string, Stream>();
    /** Registered VMs; `visibleVms` follows after the lag. */
    private readonly vms = new Map<string, VmListEntry>();
    private visibleVms: readonly VmListEntry[] = [];
    private readonly endpointStates = new Map<string, "live" | "leaving">();
    private windowStart = 0;
    private windowAppends = 0;

    private constructor(options: PlatformOptions) {
        this.options = options;
    }

    /** Creates an empty platform. */
    static create(timers: TimerService, options: Partial<PlatformOptions> = {}): SimulatedPlatform {
        return new SimulatedPlatform({ ...DEFAULT_OPTIONS, ...options, timers });
    }

    /**
     * Appends values to a stream and returns the offset of the first one.
     * LogUnavailable means that nothing was written; after LogAnswerUnknown the values may have been written or may be later.
     */
    async append(name: string, values: readonly unknown[]): Promise<Result<number, SchedulerError>> {
        const { timers, latencyMs } = this.options;
        const fault = this.chooseAppendFault(name);
        await timers.sleep(latencyMs + this.extraLatencyMs);
        if (this.isLogUnavailable || fault === "refused" || !this.tryConsumeAppendQuota()) {
            return Err(SchedulerError.create("LogUnavailable", { operation: "append", reason: "refused" }));
        }
        if (fault === "lands-late") {
            timers.schedule(LATE_APPEND_DELAY_MS, () => void this.write(name, values));
        }
        const offset = fault === "none" || fault === "lost-answer" ? this.write(name, values) : 0;
        return fault === "none"
            ? Ok(offset)
            : Err(SchedulerError.create("LogAnswerUnknown", { operation: "append", reason: "no answer" }));
    }

    /** Reads a page of a stream from an offset on. Fails with LogUnavailable. */
    async read(name: string, fromOffset: number): Promise<Result<LogPage, SchedulerError>> {
        await this.options.timers.sleep(this.options.latencyMs + this.extraLatencyMs);
        if (this.isLogUnavailable) {
            return Err(SchedulerError.create("LogUnavailable", { operation: "read", reason: "out" }));
        }
        const { records, endOffset } = this.getOrCreateStream(name);
        const firstOffset = records[0]?.offset ?? endOffset;
        const start = Math.max(0, fromOffset - firstOffset);
        return Ok({ records: records.slice(start, start + MAX_RECORDS_PER_PAGE), firstOffset, endOffset });
    }

    /** Drops the records before an offset, as retention does. */
    trim(name: string, beforeOffset: number): void {
        const { records } = this.getOrCreateStream(name);
        const count = records.filter(record => record.offset < beforeOffset).length;
        records.splice(0, count);
    }

    /** Lists the records that a stream still holds. */
    listRecords(name: string): readonly LogRecord[] {
        return this.getOrCreateStream(name).records;
    }

    /** Registers a VM, which shows in the list after the lag. */
    registerVm(entry: VmListEntry): void {
        this.vms.set(entry.name, entry);
        this.scheduleVmListUpdate();
    }

    /** Removes a VM, which shows in the list until the lag has passed. */
    removeVm(name: string): void {
        this.vms.delete(name);
        this.scheduleVmListUpdate();
    }

    /** Sets the state of an endpoint; it takes effect at once. */
    setEndpointState(name: string, state: "live" | "leaving"): void {
        this.endpointStates.set(name, state);
    }

    /** Returns the lists of VMs and endpoints as VMs see them now. */
    getVmListSnapshot(): VmListSnapshot {
        return {
            vms: [...this.visibleVms],
            endpoints: [...this.endpointStates].map(([name, state]) => ({ name, state })),
        };
    }

    private scheduleVmListUpdate(): void {
        const vms = [...this.vms.values()];
        this.options.timers.schedule(this.options.vmListLagMs, () => {
            this.visibleVms = vms;
        });
    }

    private write(name: string, values: readonly unknown[]): number {
        const stream = this.getOrCreateStream(name);
        const offset = stream.endOffset;
        for (const value of values) {
            stream.records.push({ offset: stream.endOffset, value: structuredClone(value) });
            stream.endOffset += 1;
        }
        stream.records.splice(0, Math.max(0, stream.records.length - this.options.retainedRecords));
        this.appendCount += 1;
        return offset;
    }

    private tryConsumeAppendQuota(): boolean {
        const now = this.options.timers.now();
        if (now - this.windowStart >= MILLISECONDS_PER_SECOND) {
            this.windowStart = now;
            this.windowAppends = 0;
        }
        this.windowAppends += 1;
        return this.windowAppends <= this.options.appendsPerSecond;
    }

    private getOrCreateStream(name: string): Stream {
        const stream = this.streams.get(name) ?? { records: [], endOffset: 0 };
        this.streams.set(name, stream);
        return stream;
    }
}

/** Log client of one VM. */
export class SimulatedLog extends PlatformLog {
    /** True while this VM can't reach the log. */
    isPartitioned = false;

    private constructor(private readonly platform: SimulatedPlatform, private readonly timers: TimerService) {
        super();
    }

    /** Creates a client; responses arrive through the VM's own timers, so a paused VM gets none. */
    static create(platform: SimulatedPlatform, timers: TimerService): SimulatedLog {
        return new SimulatedLog(platform, timers);
    }

    override async append(
        stream: string,
        values: readonly unknown[],
    ): Promise<Result<number, SchedulerError>> {
        const result =
            await (this.isPartitioned ? this.refuse("append") : this.platform.append(stream, values));
        await this.timers.sleep(0);
        return result;
    }

    override async read(stream: string, fromOffset: number): Promise<Result<LogPage, SchedulerError>> {
        const result =
            await (this.isPartitioned ? this.refuse("read") : this.platform.read(stream, fromOffset));
        await this.timers.sleep(0);
        return result;
    }

    private refuse(operation: string): Promise<Result<never, SchedulerError>> {
        return Promise.resolve(Err(SchedulerError.create("LogUnavailable", { operation, reason: "cut" })));
    }
}

/** Client for the platform's list of VMs. */
export class SimulatedVmList extends VmList {
    private constructor(private readonly platform: SimulatedPlatform) {
        super();
    }

    /** Creates a client of a platform. */
    static create(platform: SimulatedPlatform): SimulatedVmList {
        return new SimulatedVmList(platform);
    }

    override read(): Promise<Result<VmListSnapshot, SchedulerError>> {
        return Promise.resolve(Ok(this.platform.getVmListSnapshot()));
    }

    override register(entry: VmListEntry): Promise<Result<void, SchedulerError>> {
        this.platform.registerVm(entry);
        return Promise.resolve(Ok.EMPTY);
    }
}
