/** Matches a request against the selectors. */
import { pipe } from "fp-ts/lib/function.js";
import * as Option from "fp-ts/lib/Option.js";
import * as ReadonlyArray from "fp-ts/lib/ReadonlyArray.js";
import type { Caller, Configuration, Selector, Tier } from "../configuration.js";
import { hasLabels, type Labels } from "../field-schemas.js";

/** The selector that a request matches, and its tier. */
export interface SelectorMatch {
    readonly selector: Selector;
    readonly tier: Tier;
    /** Position of the tier; 0 is the most important. */
    readonly tierIndex: number;
}

/** Finds the first selector for the model or service whose labels the caller and the request have. */
export const matchSelector = (
    configuration: Configuration,
    caller: Caller,
    labels: Labels,
    serves: string,
): Option.Option<SelectorMatch> =>
    pipe(
        configuration.selectors,
        ReadonlyArray.findFirst(selector =>
            selector.target.serves === serves
            && hasLabels(selector.caller, caller.labels)
            && hasLabels(selector.request, labels)
        ),
        Option.chain(selector =>
            pipe(
                configuration.tiers,
                ReadonlyArray.findIndex(tier => tier.name === selector.tier),
                Option.chain(tierIndex =>
                    pipe(
                        configuration.tiers,
                        ReadonlyArray.lookup(tierIndex),
                        Option.map(tier => ({ selector, tier, tierIndex })),
                    )
                ),
            )
        ),
    );
