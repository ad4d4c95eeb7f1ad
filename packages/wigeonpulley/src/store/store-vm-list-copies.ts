/**
 * Copies of the list of VMs in topics of their own, each in one record. The store may lose single topics for a time, that with
 * the list included.
 */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import type { SchedulerError } from "../errors/index.js";
import { VmListCopies, type VmListEntry, vmListEntrySchema } from "../platform/index.js";
import type { CompleteBatch, KeyedStore, Topic } from "./keyed-store.js";
import { parseRecord } from "./parse-record.js";

const COPY_TOPICS: readonly Topic[] = ["vms-copy-1", "vms-copy-2"];
/** Key of the record in each of them. */
const COPY_KEY = "list";

const copySchema = z.object({ vms: z.array(vmListEntrySchema) });

/** Copies in the store. */
export class StoreVmListCopies extends VmListCopies {
    private constructor(private readonly store: KeyedStore) {
        super();
    }

    /** Creates the copies over the store. */
    static create(store: KeyedStore): StoreVmListCopies {
        return new StoreVmListCopies(store);
    }

    override async read(): Promise<readonly VmListEntry[] | undefined> {
        const batches = await Promise.all(COPY_TOPICS.map(topic => this.store.readSnapshot(topic)));
        const copies = batches.flatMap(batch => batch.isOk() ? findCopy(batch.value) ?? [] : []);
        // A VM that is in one of them only may have been added since the other was written.
        const byName = new Map(copies.flatMap(({ vms }) => vms).map(entry => [entry.name, entry]));
        return copies.length === 0 ? undefined : [...byName.values()];
    }

    override async write(vms: readonly VmListEntry[]): Promise<Result<void, SchedulerError>> {
        const value = encodeCopy(vms);
        const outcomes = await Promise.all(COPY_TOPICS.map(topic => this.writeCopy(topic, value)));
        return outcomes.find(outcome => outcome.isErr()) ?? Ok.EMPTY;
    }

    /** Writes a copy unless it is the same already, or another VM writes it meanwhile. */
    private async writeCopy(topic: Topic, value: Buffer): Promise<Result<void, SchedulerError>> {
        const batch = await this.store.readSnapshot(topic);
        if (batch.isErr()) {
            return Err(batch.error);
        }
        const { records, next } = batch.value;
        if (records.some(record => record.key === COPY_KEY && record.value?.equals(value) === true)) {
            return Ok.EMPTY;
        }
        const outcome = await this.store.put(topic, COPY_KEY, value, next);
        return outcome.isErr() ? Err(outcome.error) : Ok.EMPTY;
    }
}

const encodeCopy = (vms: readonly VmListEntry[]): Buffer => {
    const sorted = vms.toSorted((left, right) => left.name < right.name ? -1 : 1);
    return Buffer.from(JSON.stringify({ vms: sorted } satisfies z.infer<typeof copySchema>));
};

const findCopy = ({ records }: CompleteBatch): z.infer<typeof copySchema> | undefined =>
    records.flatMap(({ key, value }) => key === COPY_KEY ? parseRecord(copySchema, value) ?? [] : [])[0];
