/** Headers of requests that one VM passes on to another, and of the refusals of the other VM. */
import { isPeerKey, PEER_KEY_HEADER, VM_HEADER } from "../peers/index.js";
import type { ParsedHeaders } from "./header-codec.js";

/** Time that the caller has waited so far, in milliseconds. */
const ELAPSED_HEADER = "x-vm-elapsed-ms";
/** Regions that the VM which passes the request on allows for it; absent when it allows all. */
const ALLOWED_REGIONS_HEADER = "x-vm-allowed-regions";
/** Version of the configuration that admitted the request. */
const CONFIGURATION_HEADER = "x-vm-configuration";
/** "1" when the request may run more than once; a VM of a version that doesn't send it passes on what may run once only. */
const REPEATABLE_HEADER = "x-vm-repeatable";
/** Name of the error of a VM that could not serve a request that another VM passed on. */
export const VM_ERROR_HEADER = "x-vm-error";

const PEER_HEADERS = new Set([
    VM_HEADER,
    PEER_KEY_HEADER,
    ELAPSED_HEADER,
    ALLOWED_REGIONS_HEADER,
    CONFIGURATION_HEADER,
    REPEATABLE_HEADER,
]);

/** Origin of a request that another VM has passed on. */
export interface PeerRequestOrigin {
    /** Name of the VM that passes the request on. */
    readonly vm: string;
    /** Time that the caller has waited so far, in milliseconds. */
    readonly elapsedMs: number;
    /** Regions that it allows by its own configuration; undefined for all. */
    readonly allowedRegions: ReadonlySet<string> | undefined;
    /** Version of the configuration by which it admitted the request; undefined when it doesn't say. */
    readonly configurationVersion: number | undefined;
    /** True when the request may run more than once by that version. */
    readonly isRepeatable: boolean;
}

/** Creates the headers of a request to another VM, as alternating names and values. */
export const createPeerHeaders = (
    { vm, elapsedMs, allowedRegions, configurationVersion, isRepeatable }: PeerRequestOrigin,
    key: string,
): readonly string[] => [
    VM_HEADER,
    vm,
    PEER_KEY_HEADER,
    key,
    ELAPSED_HEADER,
    String(Math.max(0, Math.round(elapsedMs))),
    ...(allowedRegions === undefined ? [] : [ALLOWED_REGIONS_HEADER, formatRegions(allowedRegions)]),
    ...(configurationVersion === undefined ? [] : [CONFIGURATION_HEADER, String(configurationVersion)]),
    ...(isRepeatable ? [REPEATABLE_HEADER, "1"] : []),
];

/** Parses the headers of a request of another VM; undefined when they don't have the shared key. */
export const parsePeerHeaders = (headers: ParsedHeaders, key: string): PeerRequestOrigin | undefined => {
    const read = (name: string): string => String(headers[name] ?? "");
    const elapsedMs = Number(read(ELAPSED_HEADER));
    return isPeerKey(read(PEER_KEY_HEADER), key)
        ? {
            vm: read(VM_HEADER),
            elapsedMs: Number.isFinite(elapsedMs) ? elapsedMs : 0,
            allowedRegions: headers[ALLOWED_REGIONS_HEADER] === undefined
                ? undefined
                : parseRegions(read(ALLOWED_REGIONS_HEADER)),
            configurationVersion: parseVersion(read(CONFIGURATION_HEADER)),
            isRepeatable: read(REPEATABLE_HEADER) === "1",
        }
        : undefined;
};

/** Removes the headers that only VMs read from alternating names and values. */
export const removePeerHeaders = (rawHeaders: readonly string[]): readonly string[] =>
    rawHeaders.filter((unused, index) =>
        !PEER_HEADERS.has((rawHeaders[index - index % 2] ?? "").toLowerCase())
    );

const parseVersion = (text: string): number | undefined => /^\d+$/.test(text) ? Number(text) : undefined;

/** Encodes names of any characters; another VM that can't decode one matches no region by it. */
const formatRegions = (regions: ReadonlySet<string>): string =>
    [...regions].map(name => encodeURIComponent(name)).join(",");

const parseRegions = (text: string): ReadonlySet<string> =>
    new Set(text.split(",").filter(name => name !== "").map(name => decodeName(name)));

const decodeName = (name: string): string => {
    try {
        return decodeURIComponent(name);
    }
    catch {
        return name;
    }
};
