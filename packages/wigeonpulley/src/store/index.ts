/**
 * Store: the interface to the platform's store, and a follower that reads a topic across outages.
 * Decides when to retry reads; knows neither the meaning of the records nor the store's protocol.
 */
export {
    DEFAULT_REFRESH_AGE,
    FreshnessKeeper,
    type FreshnessKeeperOptions,
    type RefreshAge,
} from "./freshness-keeper.js";
export {
    type CompleteBatch,
    type KeyedRecord,
    KeyedStore,
    type PartialBatch,
    type RecordBatch,
    type Topic,
    type TopicPosition,
} from "./keyed-store.js";
export { RecordArchive } from "./record-archive.js";
export { StoreVmListCopies } from "./store-vm-list-copies.js";
export { StoreVmList } from "./store-vm-list.js";
export { TopicFollower, type TopicFollowerOptions, type TopicListener } from "./topic-follower.js";
