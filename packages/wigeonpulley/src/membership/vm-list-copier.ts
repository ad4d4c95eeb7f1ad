/**
 * Keeps the copies of the list of VMs up to date. VMs that start while the list can't be read learn from a copy how many share
 * limits with them. One VM writes, the first of the live ones by name; its writes are conditional, so views that differ do no
 * harm.
 */
import type { EventLogger } from "../logging/index.js";
import type { VmList, VmListCopies, VmListEntry } from "../platform/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";

/** Dependencies of a copier. */
export interface VmListCopierOptions {
    readonly self: VmListEntry;
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly vmList: VmList;
    readonly copies: VmListCopies;
    /** Returns the VMs that are live. */
    readonly listLive: () => readonly VmListEntry[];
}

/** Time after the start until which VMs that start together have registered, in milliseconds. */
const FIRST_COPY_DELAY_MS = 3_000;
/** Interval at which the list is compared with what was copied last, in milliseconds. */
const COPY_INTERVAL_MS = 8_000;

/** Copier of one VM. */
export class VmListCopier {
    private cancelNext: CancelTimer = () => undefined;
    /** Names in the list that was copied last. */
    private copiedNames: string | undefined;
    private isStopped = false;

    private constructor(private readonly options: VmListCopierOptions) {}

    /** Creates a copier that is not started. */
    static create(options: VmListCopierOptions): VmListCopier {
        return new VmListCopier(options);
    }

    /** Starts to copy the list regularly. */
    start(): void {
        this.scheduleNext(FIRST_COPY_DELAY_MS);
    }

    /** Stops copying. */
    stop(): void {
        this.isStopped = true;
        this.cancelNext();
    }

    private scheduleNext(delayMs: number): void {
        if (!this.isStopped) {
            this.cancelNext = this.options.timers.schedule(
                delayMs,
                () => void this.copyIfWriter().finally(() => this.scheduleNext(COPY_INTERVAL_MS)),
            );
        }
    }

    private async copyIfWriter(): Promise<void> {
        const { vmList, copies, logger } = this.options;
        if (!this.isWriter()) {
            // Another VM may write meanwhile.
            this.copiedNames = undefined;
            return;
        }
        const listed = await vmList.read();
        if (listed.isErr()) {
            logger.writeError(listed.error);
            return;
        }
        const { vms } = listed.value;
        const names = vms.map(({ name }) => name).toSorted().join(" ");
        if (names === this.copiedNames) {
            return;
        }
        const outcome = await copies.write(vms);
        if (outcome.isOk()) {
            this.copiedNames = names;
        }
        else if (outcome.error.name !== "StoreConflict") {
            logger.writeError(outcome.error);
        }
    }

    private isWriter(): boolean {
        const { self, listLive } = this.options;
        return listLive().every(({ name }) => name >= self.name);
    }
}
