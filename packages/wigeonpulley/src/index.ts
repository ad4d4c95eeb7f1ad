/** Public interface of the library. */
export * from "./claims/index.js";
export * from "./concurrency/index.js";
export * from "./config/index.js";
export * from "./endpoints/index.js";
export * from "./errors/index.js";
export * from "./gateway/index.js";
export * from "./gen/wigeonpulley/peer/v1/peer_pb.js";
export * from "./hashing/index.js";
export * from "./logging/index.js";
export * from "./membership/index.js";
export * from "./metrics/index.js";
export * from "./peers/index.js";
export * from "./platform/index.js";
export * from "./random/index.js";
export * from "./scheduling/index.js";
export * from "./time/index.js";
export * from "./vm/index.js";
