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
export { findFreePort, stopProcess } from "./demo/processes.js";
export { createEngineServer } from "./engine/engine-server.js";
export { type EndpointFault, SimulatedEndpointClient } from "./engine/simulated-endpoint-client.js";
export {
    createTokenText,
    type EngineOptions,
    type EngineRun,
    type EngineWork,
    SimulatedEngine,
} from "./engine/simulated-engine.js";
export { SimulatedPeerNetwork } from "./peers/simulated-peer-network.js";
export { createPlatformServer } from "./platform/platform-server.js";
export {
    type LogFault,
    type PlatformOptions,
    SimulatedLog,
    SimulatedPlatform,
    SimulatedVmList,
} from "./platform/simulated-platform.js";
export { SimulatedWeightStore } from "./platform/simulated-weight-store.js";
export { createServiceServer } from "./service/service-server.js";
export { SimulatedService } from "./service/simulated-service.js";
export { PausableTimerService } from "./time/pausable-timer-service.js";
