/**
 * Routing: finds the route and workspace of a request, and tracks the age of the active configuration.
 * Decides nothing about endpoints, order or load.
 */
export { ActiveConfiguration, type ConfigurationListener } from "./active-configuration.js";
export { type AgeBounds, type AgeLimits, computeAgeLimits } from "./age-limits.js";
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
