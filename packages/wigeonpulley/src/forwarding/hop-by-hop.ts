/**
 * Removes from forwarded messages the headers that concern one connection only (RFC 9110, section 7.6.1) and those that
 * the HTTP library sets itself.
 */

const HOP_BY_HOP = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Framing and negotiation headers that the HTTP library sets for its own connection. */
const SET_BY_LIBRARY = new Set(["content-length", "expect"]);

const parseConnectionOptions = (rawHeaders: readonly string[]): ReadonlySet<string> => {
    const names = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === "connection") {
            (rawHeaders[index + 1] ?? "").split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
};

/** Returns the headers of a request for the endpoint, as alternating names and values. */
export const listForwardedRequestHeaders = (
    rawHeaders: readonly string[],
    isReserved: (lowerCaseName: string) => boolean,
): string[] => {
    const connectionOptions = parseConnectionOptions(rawHeaders);
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        const lowerCase = name.toLowerCase();
        const isDropped = HOP_BY_HOP.has(lowerCase) || SET_BY_LIBRARY.has(lowerCase)
            || connectionOptions.has(lowerCase)
            || isReserved(lowerCase);
        if (!isDropped) {
            kept.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return kept;
};

/** Returns the headers of a response for the caller, as alternating names and values, without its length. */
export const listForwardedResponseHeaders = (
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): string[] => {
    const connectionOptions = new Set(
        [headers["connection"] ?? []].flat().flatMap(value => value.split(",")).map(name =>
            name.trim().toLowerCase()
        ),
    );
    return Object.entries(headers).flatMap(([name, value]) =>
        value === undefined || HOP_BY_HOP.has(name) || SET_BY_LIBRARY.has(name) || connectionOptions.has(name)
            ? []
            : [value].flat().flatMap(single => [name, single])
    );
};
