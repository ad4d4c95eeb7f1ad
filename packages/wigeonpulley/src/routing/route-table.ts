/** Finds the route, workspace and service of a request in one version of the configuration. */
import * as Option from "fp-ts/lib/Option.js";
import type { Route, RoutingConfiguration, Service, Workspace } from "./routing-configuration.js";

/** Lookup tables of one configuration. */
export class RouteTable {
    private readonly routesByHost = new Map<string, Route[]>();
    private readonly workspaceByKey = new Map<string, Workspace>();
    private readonly serviceByName: ReadonlyMap<string, Service>;

    private constructor(readonly configuration: RoutingConfiguration) {
        for (const route of configuration.routes) {
            const routes = this.routesByHost.get(route.host) ?? [];
            routes.push(route);
            this.routesByHost.set(route.host, routes);
        }
        this.routesByHost.forEach(routes =>
            routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
        );
        for (const workspace of configuration.workspaces ?? []) {
            workspace.keys.forEach(key => this.workspaceByKey.set(key, workspace));
        }
        this.serviceByName = new Map(configuration.services.map(service => [service.name, service]));
    }

    /** Creates the tables of a configuration. */
    static create(configuration: RoutingConfiguration): RouteTable {
        return new RouteTable(configuration);
    }

    /** Finds the host's route with the longest matching path prefix. The host may be in any case and carry a port. */
    findRoute(host: string, path: string): Option.Option<Route> {
        const name = host.replace(/:\d+$/, "").toLowerCase();
        const routes = this.routesByHost.get(name) ?? [];
        return Option.fromNullable(routes.find(route => path.startsWith(route.pathPrefix)));
    }

    /** Finds the workspace that a key belongs to. */
    findWorkspace(key: string): Option.Option<Workspace> {
        return Option.fromNullable(this.workspaceByKey.get(key));
    }

    /** Finds a service by name. */
    findService(name: string): Option.Option<Service> {
        return Option.fromNullable(this.serviceByName.get(name));
    }

    /** True when requests on the route have to present a key. */
    isKeyRequired(route: Route): boolean {
        return this.configuration.workspaces !== undefined && !route.isPublic;
    }
}

/** Returns the name of a target's service, selected by weight; `fraction` is a random number from 0 up to 1. */
export const selectTarget = (route: Route, fraction: number): string => {
    const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remainingWeight = fraction * totalWeight;
    for (const target of route.targets) {
        remainingWeight -= target.weight;
        if (remainingWeight < 0) {
            return target.service;
        }
    }
    return (route.targets.find(target => target.weight > 0) ?? route.targets[0])?.service ?? "";
};
