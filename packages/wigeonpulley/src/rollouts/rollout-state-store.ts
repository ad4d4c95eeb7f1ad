/**
 * Writes the state of a roll-out into the store. Each write holds only if the topic still ends where it was read, so a
 * final state is written once whoever writes, and a write that is executed late does nothing.
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { SchedulerError } from "../errors/index.js";
import type { KeyedRecord, KeyedStore } from "../store/index.js";
import { isFinalState, type RolloutState, type RolloutStatus } from "./rollout-order.js";

/** Translates statuses. */
export abstract class RolloutStatusCodec {
    /** Key and bytes of a status. */
    abstract encodeStatus(status: RolloutStatus): { readonly key: string; readonly value: Buffer; };

    /** The status in a record; undefined for other records and for ones that can't be read. */
    abstract decodeStatus(record: KeyedRecord): RolloutStatus | undefined;
}

/** Writes that others may come in between before a caller has to try again later. */
const MOST_CONFLICTS = 6;

/** Writer of one VM. */
export class RolloutStateStore {
    private constructor(private readonly store: KeyedStore, private readonly codec: RolloutStatusCodec) {}

    /** Creates a writer. */
    static create(store: KeyedStore, codec: RolloutStatusCodec): RolloutStateStore {
        return new RolloutStateStore(store, codec);
    }

    /** The state of a service's roll-out to a version; undefined when none was written. */
    async readState(
        service: string,
        version: string,
    ): Promise<Result<RolloutState | undefined, SchedulerError>> {
        return (await this.store.readSnapshot("status")).map(({ records }) =>
            this.findState(records, service, version)
        );
    }

    /** Writes a state unless a final one is there; returns the state that holds then. */
    async write(status: RolloutStatus): Promise<Result<RolloutState, SchedulerError>> {
        const { key, value } = this.codec.encodeStatus(status);
        for (let attempt = 1;; attempt += 1) {
            const listed = await this.store.readSnapshot("status");
            if (listed.isErr()) {
                return Err(listed.error);
            }
            const known = this.findState(listed.value.records, status.service, status.version);
            if (known !== undefined && (isFinalState(known) || known === status.state)) {
                return Ok(known);
            }
            const stored = await this.store.put("status", key, value, listed.value.nextOffset);
            if (stored.isOk()) {
                return Ok(status.state);
            }
            if (stored.error.name !== "StoreConflict" || attempt >= MOST_CONFLICTS) {
                return Err(stored.error);
            }
        }
    }

    private findState(
        records: readonly KeyedRecord[],
        service: string,
        version: string,
    ): RolloutState | undefined {
        return records.flatMap(record => this.codec.decodeStatus(record) ?? [])
            .findLast(status => status.service === service && status.version === version)?.state;
    }
}
