/**
 * Store: the platform's store as the product uses it, and how a topic is followed through outages.
 * Decides when to read again; knows nothing of what the records mean, nor of the store's protocol.
 */
export { type KeyedRecord, KeyedStore, type RecordBatch, type Topic } from "./keyed-store.js";
export { StoreVmList } from "./store-vm-list.js";
export { TopicFollower, type TopicFollowerOptions, type TopicListener } from "./topic-follower.js";
