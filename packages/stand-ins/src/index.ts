/** Simulated platform, engines, services and network for tests, benchmarks and the demo. Not published. */
export {
    openChat,
    parseTokenText,
    type ReceivedEvent,
    type ReceivedStream,
    resumeChat,
    sendOrder,
} from "./demo/caller.js";
export { DemoCluster, demoKeys, type VmName } from "./demo/cluster.js";
export {
    createTokenText,
    EngineModel,
    type EngineOptions,
    type EngineRun,
    type EngineWork,
} from "./engine/engine-model.js";
export { createEngineServer } from "./engine/engine-server.js";
export { type EndpointFault, ModelEndpointClient } from "./engine/model-endpoint-client.js";
export { ModelPeerNetwork } from "./peers/model-peer-network.js";
export {
    type LogFault,
    ModelLog,
    ModelVmList,
    PlatformModel,
    type PlatformOptions,
} from "./platform/platform-model.js";
export { createPlatformServer } from "./platform/platform-server.js";
export { WeightStoreModel } from "./platform/weight-store-model.js";
export { ServiceModel } from "./service/service-model.js";
export { createServiceServer } from "./service/service-server.js";
export { PausableTimerService } from "./time/pausable-timer-service.js";
