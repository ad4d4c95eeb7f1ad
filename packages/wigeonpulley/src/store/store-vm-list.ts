/**
 * List of VMs in a topic of the store, to which each VM writes its own entry. The store may lose single topics for a time, so
 * other topics hold copies of the whole list, each in one record.
 */
import { Err, Ok, type Result } from "ts-results-es";
import * as z from "zod";
import { SchedulerError } from "../errors/index.js";
import { VmList, type VmListEntry, vmListEntrySchema, type VmListSnapshot } from "../platform/index.js";
import type { CompleteBatch, KeyedStore, Topic } from "./keyed-store.js";

/** Topics with copies of the list. */
const COPY_TOPICS: readonly Topic[] = ["vms-copy-1", "vms-copy-2"];
/** Key of the record in each of them. */
const COPY_KEY = "list";

const copySchema = z.object({ vms: z.array(vmListEntrySchema) });

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

    override async readCopy(): Promise<readonly VmListEntry[] | undefined> {
        const batches = await Promise.all(COPY_TOPICS.map(topic => this.store.readSnapshot(topic)));
        const copies = batches.flatMap(batch => batch.isOk() ? findCopy(batch.value) ?? [] : []);
        // A VM that is in one of them only may have been added since the other was written.
        const byName = new Map(copies.flatMap(({ vms }) => vms).map(entry => [entry.name, entry]));
        return copies.length === 0 ? undefined : [...byName.values()];
    }

    override async writeCopies(vms: readonly VmListEntry[]): Promise<Result<void, SchedulerError>> {
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
        if (
            batch.value.records.some(record =>
                record.key === COPY_KEY && record.value?.equals(value) === true
            )
        ) {
            return Ok.EMPTY;
        }
        const outcome = await this.store.put(topic, COPY_KEY, value, batch.value.next);
        return outcome.isErr() ? Err(outcome.error) : Ok.EMPTY;
    }
}

const encodeCopy = (vms: readonly VmListEntry[]): Buffer => {
    const sorted = vms.toSorted((left, right) => left.name < right.name ? -1 : 1);
    return Buffer.from(JSON.stringify({ vms: sorted } satisfies z.infer<typeof copySchema>));
};

const findCopy = ({ records }: CompleteBatch): z.infer<typeof copySchema> | undefined =>
    records.flatMap(({ key, value }) => key === COPY_KEY ? parseRecord(copySchema, value) ?? [] : [])[0];

/** Parses a record; undefined for one that can't be parsed, which leaves the others unaffected. */
const parseRecord = <Output>(schema: z.ZodType<Output>, value: Buffer | undefined): Output | undefined => {
    if (value === undefined) {
        return undefined;
    }
    try {
        const parsed = schema.safeParse(JSON.parse(value.toString()));
        return parsed.success ? parsed.data : undefined;
    }
    catch (cause) {
        if (cause instanceof SyntaxError) {
            return undefined;
        }
        throw SchedulerError.fromUnknown(cause);
    }
};
