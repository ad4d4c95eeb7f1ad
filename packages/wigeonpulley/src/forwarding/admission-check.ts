/**
 * Checks the route and the key of a request against the active configuration. A configuration that may be out of date
 * can't show that a route or key is unknown, and one that is too old admits no key.
 */
import * as Option from "fp-ts/lib/Option.js";
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";
import type { ActiveConfiguration, AgeLimits, Route, RouteTable, Workspace } from "../routing/index.js";
import type { TimerService } from "../time/index.js";
import type { RequestMetadata } from "./header-codec.js";

/** Dependencies of the check. */
export interface AdmissionCheckOptions {
    readonly activeConfiguration: ActiveConfiguration;
    readonly getAgeLimits: () => AgeLimits;
    readonly timers: TimerService;
    /** Reads the configuration immediately; resolves when the read has ended, also when it failed. */
    readonly refreshConfiguration: () => Promise<void>;
}

/** Host and path of a request. */
export interface RequestTarget {
    /** Value of the Host header. */
    readonly host: string;
    /** Path without query. */
    readonly path: string;
}

/** An admitted request's route and workspace, with the table they were found in. */
export interface AdmittedRequest {
    readonly table: RouteTable;
    readonly route: Route;
    readonly workspace: Workspace | undefined;
}

/** Retry-After of requests that this VM itself can't serve, whatever their route. */
const RETRY_AFTER_MS = 500;

/**
 * Time for which a request waits for the first configuration of a VM that has just started: a share of the caller's
 * deadline, and at most one second.
 */
const MAX_START_WAIT_SHARE = 0.125;
const MAX_START_WAIT_MS = 1_000;
/** Time for which a request waits for a refresh: a long record may take many times as long over a full link. */
const MAX_REFRESH_WAIT_MS = 1_000;

/** Admission check of one VM. */
export class AdmissionCheck {
    private constructor(private readonly options: AdmissionCheckOptions) {}

    /** Creates a check. */
    static create(options: AdmissionCheckOptions): AdmissionCheck {
        return new AdmissionCheck(options);
    }

    /**
     * Finds the route and workspace. Waits a moment for the first configuration, and for a refresh of the configuration
     * before refusing a request because of its age.
     * Fails with ConfigurationUnavailable, ConfigurationStale, NoRoute or UnknownCaller.
     */
    async admit(
        target: RequestTarget,
        metadata: RequestMetadata,
    ): Promise<Result<AdmittedRequest, SchedulerError>> {
        if (this.options.activeConfiguration.routeTable === undefined) {
            await this.waitForConfiguration(metadata.deadlineMs);
        }
        const first = this.match(target, metadata);
        if (first.isOk() || first.error.name !== "ConfigurationStale") {
            return first;
        }
        await this.waitAtMost(MAX_REFRESH_WAIT_MS, this.options.refreshConfiguration());
        return this.match(target, metadata);
    }

    private async waitForConfiguration(deadlineMs = 0): Promise<void> {
        const waitMs = Math.min(MAX_START_WAIT_MS, deadlineMs * MAX_START_WAIT_SHARE);
        await this.waitAtMost(waitMs, this.options.activeConfiguration.waitUntilLoaded());
    }

    private async waitAtMost(waitMs: number, event: Promise<void>): Promise<void> {
        const limit = new AbortController();
        await Promise.race([event, this.options.timers.sleep(waitMs, limit.signal)]);
        limit.abort();
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
        // Created on demand: an error reads the stack, which is dear for every request.
        const refuseAsStale = (): Result<never, SchedulerError> =>
            Err(SchedulerError.create("ConfigurationStale", { ageMs: Math.round(ageMs) }, retry));
        const route = Option.toUndefined(table.findRoute(host, path));
        if (route === undefined) {
            return ageMs > maxAgeForUnknownMs
                ? refuseAsStale()
                : Err(SchedulerError.create("NoRoute", { path }));
        }
        const workspace = key === undefined ? undefined : Option.toUndefined(table.findWorkspace(key));
        if (table.isKeyRequired(route)) {
            if (ageMs > maxAgeForKeysMs) {
                return refuseAsStale();
            }
            if (workspace === undefined) {
                return ageMs > maxAgeForUnknownMs
                    ? refuseAsStale()
                    : Err(SchedulerError.create("UnknownCaller", {}));
            }
        }
        return Ok({ table, route, workspace });
    }
}
