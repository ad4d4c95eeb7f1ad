/**
 * Finds the regions that a request may use now. A request keeps the route and workspace it was admitted with, but the regions
 * come from their namesakes in the active configuration, so that a new version also binds requests that wait or are retried.
 */
import { combineAllowedRegions, computeAllowedRegions } from "../placement/index.js";
import type { ActiveConfiguration, RouteTable } from "../routing/index.js";
import type { RoutedRequest } from "./routed-request.js";

interface KnownRegions {
    readonly table: RouteTable | undefined;
    readonly allowedRegions: ReadonlySet<string> | undefined;
}

/** Allowed regions of the requests of one VM. */
export class RequestRegions {
    /** Regions of the requests in progress, with the tables that they were computed from. */
    private readonly known = new WeakMap<RoutedRequest, KnownRegions>();

    private constructor(private readonly activeConfiguration: Pick<ActiveConfiguration, "routeTable">) {}

    /** Creates the lookup. */
    static create(activeConfiguration: Pick<ActiveConfiguration, "routeTable">): RequestRegions {
        return new RequestRegions(activeConfiguration);
    }

    /** Returns the regions that the request may use; undefined for all. */
    getAllowed(request: RoutedRequest): ReadonlySet<string> | undefined {
        const table = this.activeConfiguration.routeTable;
        const known = this.known.get(request);
        if (known !== undefined && known.table === table) {
            return known.allowedRegions;
        }
        // Another VM that passed the request on may have another version of the configuration.
        const allowedRegions = combineAllowedRegions(
            computeNewestRegions(request, table),
            request.peerAllowedRegions,
        );
        this.known.set(request, { table, allowedRegions });
        return allowedRegions;
    }
}

const computeNewestRegions = (
    { route, workspace, configurationVersion }: RoutedRequest,
    table: RouteTable | undefined,
): ReadonlySet<string> | undefined => {
    if (table === undefined || table.configuration.version <= configurationVersion) {
        return computeAllowedRegions(route, workspace);
    }
    const { routes, workspaces = [] } = table.configuration;
    return computeAllowedRegions(
        routes.find(({ name }) => name === route.name) ?? route,
        workspaces.find(({ name }) => name === workspace?.name) ?? workspace,
    );
};
