// Configurations like those of a small deployment.
const LIMITS = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
const RATE_PER_S = 141_514;

/** Returns an idempotent route that needs a key. */
export const createRoute = ({ name, prefix, service }) => ({
    name,
    host: "a.example",
    path_prefix: prefix,
    route_type: "idempotent",
    timeout_ms: 3_000,
    target_latency_ms: 171,
    priority: 0,
    service,
    max_attempts: 2,
    public_access: false,
    session_affinity: false,
});

/** Returns a tenant with its keys. */
export const createTenant = (name, keys) => ({
    name,
    api_keys: keys,
    priority: 1,
    unit: "tokens",
    plain_tokens: 200,
    rate_per_s: RATE_PER_S,
    burst: RATE_PER_S,
});

/** Returns a configuration with plain services. */
export const createConfiguration = ({ version, routes, services, tenants }) => ({
    version,
    routes,
    services: services.map(name => ({ name, health_path: "/healthz", max_connections: 100 })),
    limits: LIMITS,
    tenants,
});
