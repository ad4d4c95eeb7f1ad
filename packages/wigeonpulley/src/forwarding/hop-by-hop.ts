/** Headers that concern one connection only (RFC 9110, section 7.6.1) and those that a new message gets anew. */

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

/** Framing and negotiation that the client library decides for its own connection. */
const SET_ANEW = new Set(["content-length", "expect"]);

const readNominated = (rawHeaders: readonly string[]): ReadonlySet<string> => {
    const names = new Set<string>();
    for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() === "connection") {
            (rawHeaders[index + 1] ?? "").split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
};

/** The headers of a request that go on to the endpoint, as name and value by turns. */
export const listForwardedRequestHeaders = (
    rawHeaders: readonly string[],
    isReserved: (lowerCaseName: string) => boolean,
): string[] => {
    const nominated = readNominated(rawHeaders);
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] ?? "";
        const lowerCase = name.toLowerCase();
        const isDropped = HOP_BY_HOP.has(lowerCase) || SET_ANEW.has(lowerCase) || nominated.has(lowerCase)
            || isReserved(lowerCase);
        if (!isDropped) {
            kept.push(name, rawHeaders[index + 1] ?? "");
        }
    }
    return kept;
};

/** The headers of an answer that go back to the caller, as name and value by turns; without its length. */
export const listForwardedResponseHeaders = (
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): string[] => {
    const nominated = new Set(
        [headers["connection"] ?? []].flat().flatMap(value => value.split(",")).map(name =>
            name.trim().toLowerCase()
        ),
    );
    return Object.entries(headers).flatMap(([name, value]) =>
        value === undefined || HOP_BY_HOP.has(name) || SET_ANEW.has(name) || nominated.has(name)
            ? []
            : [value].flat().flatMap(single => [name, single])
    );
};
