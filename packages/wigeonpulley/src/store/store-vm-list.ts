/** List of VMs in a topic of the store, to which each VM writes its own entry. */
import { Err, Ok, type Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";
import { VmList, type VmListEntry, vmListEntrySchema, type VmListSnapshot } from "../platform/index.js";
import type { KeyedStore } from "./keyed-store.js";
import { parseRecord } from "./parse-record.js";

/** VM list in the store. */
export class StoreVmList extends VmList {
    private constructor(private readonly store: KeyedStore) {
        super();
    }

    /** Creates a list over the store. */
    static create(store: KeyedStore): StoreVmList {
        return new StoreVmList(store);
    }

    override async read(): Promise<Result<VmListSnapshot, SchedulerError>> {
        const batch = await this.store.readSnapshot("vms");
        return batch.map(({ records }) => ({
            vms: records.flatMap(({ value }) => parseRecord(vmListEntrySchema, value) ?? []),
            endpoints: [],
        }));
    }

    override async register(entry: VmListEntry): Promise<Result<void, SchedulerError>> {
        const value = entry.state === "leaving" ? undefined : Buffer.from(JSON.stringify(entry));
        const outcome = await this.store.put("vms", entry.name, value);
        return outcome.isOk() ? Ok.EMPTY : Err(outcome.error);
    }
}
