/** Interface of a platform adapter, which only translates between the platform's formats and the scheduler's. */
import type { Result } from "ts-results-es";
import type { Instance } from "../discovery/index.js";
import type { SchedulerError } from "../errors/index.js";
import type { HeaderCodec } from "../forwarding/index.js";
import type { RolloutOrder, RolloutStatusCodec } from "../rollouts/index.js";
import type { RoutingConfiguration } from "../routing/index.js";
import type { KeyedRecord, KeyedStore } from "../store/index.js";

/** A parsed record of the operators. */
export type OperatorRecord =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration; }
    | { readonly kind: "rollout"; readonly order: RolloutOrder; }
    /** Requests the evacuation of a data centre; or withdraws it, when the record was removed. */
    | { readonly kind: "evacuation"; readonly dataCentre: string; readonly isRequested: boolean; }
    | { readonly kind: "other"; };

/** Adapter for one platform. */
export abstract class PlatformAdapter {
    /** Store of the platform. */
    abstract readonly store: KeyedStore;

    /** Codec of the rollout states. */
    abstract readonly statusCodec: RolloutStatusCodec;

    /** Codec of the headers of requests and responses. */
    abstract readonly headerCodec: HeaderCodec;

    /** Parses a record of the operators. Fails with InvalidPlatformEntry. */
    abstract parseOperatorRecord(record: KeyedRecord): Result<OperatorRecord, SchedulerError>;

    /** Parses the record of an instance; undefined when the instance was removed. Fails with InvalidPlatformEntry. */
    abstract parseInstance(record: KeyedRecord): Result<Instance | undefined, SchedulerError>;
}
