/**
 * Routing: which route and workspace a request belongs to, and how old the configuration in force is.
 * Decides nothing about endpoints, order or load.
 */
export { ActiveConfiguration, type ConfigurationListener } from "./active-configuration.js";
export { RouteTable, selectTarget } from "./route-table.js";
export {
    type CallerLimits,
    type Quota,
    type Route,
    type RoutingConfiguration,
    routingConfigurationSchema,
    type Service,
    type Workspace,
} from "./routing-configuration.js";
