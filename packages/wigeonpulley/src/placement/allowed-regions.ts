/** Regions whose endpoints may serve a request, and the data centres that lie in them. */
import type { Route, RoutingConfiguration, Workspace } from "../routing/index.js";

/**
 * Regions whose endpoints may serve a request: those that route and workspace both allow; undefined when neither names any.
 * An empty set allows none.
 */
export const computeAllowedRegions = (
    route: Pick<Route, "allowedRegions">,
    workspace: Pick<Workspace, "allowedRegions"> | undefined,
): ReadonlySet<string> | undefined => {
    const [routeRegions, workspaceRegions] = [route.allowedRegions, workspace?.allowedRegions ?? []].map(
        regions => regions.length > 0 ? new Set(regions) : undefined,
    );
    return combineAllowedRegions(routeRegions, workspaceRegions);
};

/** Regions that two rules allow together; undefined stands for all. */
export const combineAllowedRegions = (
    left: ReadonlySet<string> | undefined,
    right: ReadonlySet<string> | undefined,
): ReadonlySet<string> | undefined =>
    left === undefined || right === undefined
        ? left ?? right
        : new Set([...left].filter(region => right.has(region)));

/** Regions of the data centres that a VM knows from its settings. */
export class DataCentreRegions {
    private readonly regionByDataCentre: ReadonlyMap<string, string>;
    private readonly names: ReadonlySet<string>;

    private constructor(regions: Readonly<Record<string, string>>) {
        this.regionByDataCentre = new Map(Object.entries(regions));
        this.names = new Set(this.regionByDataCentre.values());
    }

    /** Creates the regions from the region of each data centre. */
    static create(regions: Readonly<Record<string, string>>): DataCentreRegions {
        return new DataCentreRegions(regions);
    }

    /** Region of a data centre; undefined for one that the settings don't list. */
    getRegion(dataCentre: string): string | undefined {
        return this.regionByDataCentre.get(dataCentre);
    }

    /** True when a request with these allowed regions may use a data centre. One without a known region serves only the rest. */
    isAllowed(dataCentre: string, allowedRegions: ReadonlySet<string> | undefined): boolean {
        if (allowedRegions === undefined) {
            return true;
        }
        const region = this.getRegion(dataCentre);
        return region !== undefined && allowedRegions.has(region);
    }

    /** Region names of a configuration in which no known data centre lies, each once. */
    listUnknown({ routes, workspaces = [] }: RoutingConfiguration): readonly string[] {
        const named = [...routes, ...workspaces].flatMap(({ allowedRegions }) => allowedRegions);
        return [...new Set(named)].filter(name => !this.names.has(name)).toSorted();
    }
}

/** Separates the parts of a queue's name in reports; no name of a service or region contains it. */
const NAME_SEPARATOR = "\n";

/**
 * Name of a queue in reports to other VMs: the service, followed by the regions to which its requests are bound. VMs with
 * builds that don't know of regions match no service by it and ignore the queue.
 */
export const formatQueueName = (service: string, allowedRegions: readonly string[] = []): string =>
    [service, ...allowedRegions].join(NAME_SEPARATOR);

/** Parses the name of a queue in a report; without regions, its requests may go anywhere. */
export const parseQueueName = (
    name: string,
): { readonly service: string; readonly allowedRegions: readonly string[]; } => {
    const [service = "", ...allowedRegions] = name.split(NAME_SEPARATOR);
    return { service, allowedRegions };
};
