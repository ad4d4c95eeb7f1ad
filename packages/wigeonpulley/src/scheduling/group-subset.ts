/**
 * Selects a stable subset of groups for each VM and selector by rendezvous hashing, groups of the VM's region first. At
 * 400 VMs and 300 groups a link from every VM to every scheduler would cost more than all else; a VM tries the groups
 * outside its subset only before it refuses a request.
 */
import { pipe } from "fp-ts/lib/function.js";
import { Ord as numberOrd } from "fp-ts/lib/number.js";
import { contramap, getMonoid, type Ord } from "fp-ts/lib/Ord.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import type { Selector } from "../config/index.js";
import { hashText } from "../hashing/index.js";
import { type EndpointGroup, isEndpointAllowed } from "./groups.js";

/** Groups that may serve a selector. */
export interface SelectorGroups {
    /** Stable subset of this VM; groups of its region come first. */
    readonly preferred: readonly EndpointGroup[];
    readonly all: readonly EndpointGroup[];
}

/** Name and region of the VM that uses the subset. */
export interface VmLocation {
    readonly name: string;
    readonly region: string;
}

const createOrder = (vm: VmLocation): Ord<EndpointGroup> =>
    getMonoid<EndpointGroup>().concat(
        contramap((group: EndpointGroup) => group.region === vm.region ? 0 : 1)(numberOrd),
        contramap((group: EndpointGroup) => hashText(`${vm.name}\n${group.name}`))(numberOrd),
    );

/** Finds the groups of a selector and the VM's subset of `size` of them. */
export const findSelectorGroups = (
    groups: readonly EndpointGroup[],
    selector: Selector,
    vm: VmLocation,
    size: number,
): SelectorGroups => {
    const all = groups.filter(group =>
        group.endpoints.some(endpoint => isEndpointAllowed(selector, endpoint))
    );
    return { preferred: pipe(all, ReadonlyArray.sort(createOrder(vm)), ReadonlyArray.takeLeft(size)), all };
};
