/** The list of VMs as they write it themselves into a topic of the store. */
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";
import { VmList, type VmListEntry, vmListEntrySchema, type VmListSnapshot } from "../platform/index.js";
import type { KeyedStore } from "./keyed-store.js";

/** List of VMs in the store. */
export class StoreVmList extends VmList {
    private constructor(private readonly store: KeyedStore) {
        super();
    }

    /** Creates a view of the list. */
    static create(store: KeyedStore): StoreVmList {
        return new StoreVmList(store);
    }

    override async read(): Promise<Result<VmListSnapshot, SchedulerError>> {
        const batch = await this.store.readSnapshot("vms");
        return batch.map(({ records }) => ({
            vms: records.flatMap(({ value }) => value === undefined ? [] : parseEntry(value)),
            endpoints: [],
        }));
    }

    override async register(entry: VmListEntry): Promise<Result<void, SchedulerError>> {
        const value = entry.state === "leaving" ? undefined : Buffer.from(JSON.stringify(entry));
        const outcome = await this.store.put("vms", entry.name, value);
        return outcome.isOk() ? Ok.EMPTY : Err(outcome.error);
    }
}

/** An entry that can't be read names no VM; the others hold. */
const parseEntry = (value: Buffer): readonly VmListEntry[] => {
    try {
        const entry = vmListEntrySchema.safeParse(JSON.parse(value.toString()));
        return entry.success ? [entry.data] : [];
    }
    catch (cause) {
        if (cause instanceof SyntaxError) {
            return [];
        }
        throw SchedulerError.fromUnknown(cause);
    }
};
