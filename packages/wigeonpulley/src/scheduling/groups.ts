/**
 * Endpoint groups: the endpoints that one scheduler handles.
 * A group holds endpoints of one data centre that serve the same model or service, at most `endpointsPerGroup`.
 */
import { pipe } from "fp-ts/lib/function.js";
import * as NonEmptyArray from "fp-ts/lib/NonEmptyArray.js";
import { contramap } from "fp-ts/lib/Ord.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import * as ReadonlyRecord from "fp-ts/lib/ReadonlyRecord.js";
import { Ord as stringOrd } from "fp-ts/lib/string.js";
import { type Configuration, type Endpoint, hasLabels, type Selector } from "../config/index.js";

/** Endpoints that share one scheduler. */
export interface EndpointGroup {
    /** Unique name, the same on every VM for the same configuration. */
    readonly name: string;
    readonly region: string;
    readonly dataCentre: string;
    readonly serves: string;
    readonly endpoints: readonly Endpoint[];
}

const byName = contramap((endpoint: Endpoint) => endpoint.name)(stringOrd);

const createLocationGroups = (
    location: string,
    endpoints: readonly Endpoint[],
    size: number,
): readonly EndpointGroup[] =>
    pipe(
        endpoints,
        ReadonlyArray.sort(byName),
        ReadonlyArray.chunksOf(size),
        ReadonlyArray.mapWithIndex((index, members) => ({
            name: `${location}/${index}`,
            region: members[0].region,
            dataCentre: members[0].dataCentre,
            serves: members[0].serves,
            endpoints: members,
        })),
    );

/** Creates the groups of a configuration. The result depends only on the arguments. */
export const createGroups = (
    configuration: Configuration,
    endpointsPerGroup: number,
): readonly EndpointGroup[] =>
    pipe(
        configuration.endpoints,
        NonEmptyArray.groupBy(endpoint => `${endpoint.dataCentre}/${endpoint.serves}`),
        ReadonlyRecord.toReadonlyArray,
        ReadonlyArray.chain(([location, endpoints]) =>
            createLocationGroups(location, endpoints, endpointsPerGroup)
        ),
    );

/** True when a selector allows an endpoint. */
export const isEndpointAllowed = (selector: Selector, endpoint: Endpoint): boolean =>
    endpoint.serves === selector.target.serves
    && (selector.target.versions.length === 0 || selector.target.versions.includes(endpoint.version))
    && hasLabels(selector.target.labels, endpoint.labels);
