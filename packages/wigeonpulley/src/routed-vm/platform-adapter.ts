/** What a deployment's adapter gives to the product: translations only. */
import type { Result } from "ts-results-es";
import type { Instance } from "../discovery/index.js";
import type { SchedulerError } from "../errors/index.js";
import type { HeaderCodec } from "../forwarding/index.js";
import type { RolloutOrder, RolloutStatusCodec } from "../rollouts/index.js";
import type { RoutingConfiguration } from "../routing/index.js";
import type { KeyedRecord, KeyedStore } from "../store/index.js";

/** What an operator wrote. */
export type OperatorRecord =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration; }
    | { readonly kind: "rollout"; readonly order: RolloutOrder; }
    | { readonly kind: "other"; };

/** Adapter to one platform. */
export abstract class PlatformAdapter {
    /** The platform's store. */
    abstract readonly store: KeyedStore;

    /** States of roll-outs. */
    abstract readonly statusCodec: RolloutStatusCodec;

    /** Headers of requests and answers. */
    abstract readonly headerCodec: HeaderCodec;

    /** Reads a record of the operators. Fails with InvalidPlatformEntry. */
    abstract parseOperatorRecord(record: KeyedRecord): Result<OperatorRecord, SchedulerError>;

    /** Reads the entry of an instance; undefined when it was dropped. Fails with InvalidPlatformEntry. */
    abstract parseInstance(record: KeyedRecord): Result<Instance | undefined, SchedulerError>;
}
