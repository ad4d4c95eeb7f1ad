/** Determines which endpoints get no new requests because of planned maintenance. */
import type { Configuration, Endpoint, Maintenance } from "../configuration.js";

const isAffected = (maintenance: Maintenance, endpoint: Endpoint): boolean =>
    (maintenance.dataCentre === undefined || maintenance.dataCentre === endpoint.dataCentre)
    && (maintenance.rack === undefined || maintenance.rack === endpoint.rack)
    && (maintenance.endpoint === undefined || maintenance.endpoint === endpoint.name);

/**
 * True from `drainMs` before the start of a maintenance that affects the endpoint until its end.
 * `wallClock` is in milliseconds since 1970.
 */
export const isUnderMaintenance = (
    configuration: Configuration,
    endpoint: Endpoint,
    wallClock: number,
): boolean =>
    configuration.maintenance.some(maintenance =>
        isAffected(maintenance, endpoint)
        && wallClock >= Date.parse(maintenance.from) - maintenance.drainMs
        && wallClock < Date.parse(maintenance.until)
    );
