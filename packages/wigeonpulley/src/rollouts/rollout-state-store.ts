/**
 * Stores the states of rollouts. Each write is conditional on the topic still ending where it was read, so a final
 * state is written only once whoever writes, and a write that is executed late has no effect.
 */
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";
import type { KeyedRecord, KeyedStore } from "../store/index.js";
import { isFinalState, type RolloutState, type RolloutStatus } from "./rollout-order.js";

/** Converts statuses to and from stored records. */
export abstract class RolloutStatusCodec {
    /** Returns the key and the bytes of a status. */
    abstract encodeStatus(status: RolloutStatus): { readonly key: string; readonly value: Buffer; };

    /** Returns the status in a record; undefined for other records and for unreadable ones. */
    abstract decodeStatus(record: KeyedRecord): RolloutStatus | undefined;
}

/** Number of conflicts with other writes after which a write fails and the caller has to retry later. */
const MAX_CONFLICTS = 6;

/** State store of one VM. */
export class RolloutStateStore {
    private constructor(private readonly store: KeyedStore, private readonly codec: RolloutStatusCodec) {}

    /** Creates a state store. */
    static create(store: KeyedStore, codec: RolloutStatusCodec): RolloutStateStore {
        return new RolloutStateStore(store, codec);
    }

    /**
     * Reads the state of a service's rollout to a version; undefined when none was written. Fails with
     * StoreUnavailable.
     */
    async readState(
        service: string,
        version: string,
    ): Promise<Result<RolloutState | undefined, SchedulerError>> {
        return (await this.store.readSnapshot("status")).map(({ records }) =>
            this.findState(records, service, version)
        );
    }

    /**
     * Writes a state unless it or a final one is stored already; returns the state that is stored afterwards. `isCurrent`
     * tells, after the end of the topic was read, whether the order still holds: a VM that was suspended may not know of a
     * later one, whose state has taken the place of this one's. Fails with StoreConflict when it doesn't hold or other VMs
     * keep writing in between, or with StoreUnavailable; the state may still be written after StoreUnavailable.
     */
    async write(
        status: RolloutStatus,
        isCurrent: () => Promise<boolean>,
    ): Promise<Result<RolloutState, SchedulerError>> {
        const { key, value } = this.codec.encodeStatus(status);
        for (let attempt = 1;; attempt += 1) {
            const snapshot = await this.store.readSnapshot("status");
            if (snapshot.isErr()) {
                return Err(snapshot.error);
            }
            const current = this.findState(snapshot.value.records, status.service, status.version);
            if (current !== undefined && (isFinalState(current) || current === status.state)) {
                return Ok(current);
            }
            const { next } = snapshot.value;
            if (!await isCurrent()) {
                return Err(
                    SchedulerError.create("StoreConflict", { topic: "status", expectedEnd: next.offset }),
                );
            }
            const written = await this.store.put("status", key, value, next);
            if (written.isOk()) {
                return Ok(status.state);
            }
            if (written.error.name !== "StoreConflict" || attempt >= MAX_CONFLICTS) {
                return Err(written.error);
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
