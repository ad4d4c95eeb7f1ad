/**
 * Checks the route and the key of a request against the configuration in force. A configuration that may be out of date
 * proves nothing unknown, and one that is too old admits no key.
 */
import * as Option from "fp-ts/lib/Option.js";
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";
import type { ActiveConfiguration, Route, RouteTable, Workspace } from "../routing/index.js";
import type { RequestMetadata } from "./header-codec.js";

/** What the check is built from. */
export interface AdmissionCheckOptions {
    readonly activeConfiguration: ActiveConfiguration;
    /** Ages of the configuration from which requests with a key are refused and nothing is called unknown. */
    readonly getAgeLimits: () => { readonly maxAgeForKeysMs: number; readonly maxAgeForUnknownMs: number; };
    /** Reads the configuration at once; resolves when the read is over. */
    readonly refreshConfiguration: () => Promise<void>;
}

/** Where a request wants to go. */
export interface RequestTarget {
    /** Value of the Host header. */
    readonly host: string;
    /** Path without query. */
    readonly path: string;
}

/** What was found out about a request. */
export interface AdmittedRequest {
    readonly table: RouteTable;
    readonly route: Route;
    readonly workspace: Workspace | undefined;
}

/** Delay told to callers whom this VM can't serve for reasons of its own, in milliseconds. */
const RETRY_AFTER_MS = 500;

/** Check of one VM. */
export class AdmissionCheck {
    private constructor(private readonly options: AdmissionCheckOptions) {}

    /** Creates a check. */
    static create(options: AdmissionCheckOptions): AdmissionCheck {
        return new AdmissionCheck(options);
    }

    /**
     * Finds the route and workspace; reads the configuration once more before a request is refused because of its age.
     * Fails with ConfigurationUnavailable, ConfigurationStale, NoRoute or UnknownCaller.
     */
    async admit(
        target: RequestTarget,
        facts: RequestMetadata,
    ): Promise<Result<AdmittedRequest, SchedulerError>> {
        const first = this.match(target, facts);
        if (first.isOk() || first.error.name !== "ConfigurationStale") {
            return first;
        }
        await this.options.refreshConfiguration();
        return this.match(target, facts);
    }

    private match(
        { host, path }: RequestTarget,
        { key }: RequestMetadata,
    ): Result<AdmittedRequest, SchedulerError> {
        const { activeConfiguration } = this.options;
        const { maxAgeForKeysMs, maxAgeForUnknownMs } = this.options.getAgeLimits();
        const table = activeConfiguration.routeTable;
        const retry = { retryAfterMs: RETRY_AFTER_MS };
        if (table === undefined) {
            return Err(SchedulerError.create("ConfigurationUnavailable", {}, retry));
        }
        const ageMs = activeConfiguration.getAgeMs();
        const stale = SchedulerError.create("ConfigurationStale", { ageMs: Math.round(ageMs) }, retry);
        const route = Option.toUndefined(table.findRoute(host, path));
        if (route === undefined) {
            return Err(ageMs > maxAgeForUnknownMs ? stale : SchedulerError.create("NoRoute", { path }));
        }
        const workspace = key === undefined ? undefined : Option.toUndefined(table.findWorkspace(key));
        if (table.isKeyRequired(route)) {
            if (ageMs > maxAgeForKeysMs) {
                return Err(stale);
            }
            if (workspace === undefined) {
                return Err(ageMs > maxAgeForUnknownMs ? stale : SchedulerError.create("UnknownCaller", {}));
            }
        }
        return Ok({ table, route, workspace });
    }
}
