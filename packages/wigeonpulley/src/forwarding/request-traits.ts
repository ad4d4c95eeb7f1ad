/** Traits by which requests that crash instances are recognised when they come again. */
import { computeDigest } from "../hashing/index.js";
import type { RoutedRequest } from "./routed-request.js";

/** Begins a fingerprint, and no identifier of a prompt block. */
const FINGERPRINT_PREFIX = "request:";
/** Length of a fingerprint without its prefix: 96 bits in base64url. */
const DIGEST_LENGTH = 16;

/** Computes the fingerprint of a request from its method, path, workspace and body. */
export const computeFingerprint = ({ method, path, workspace, body }: RoutedRequest): string => {
    const digest = computeDigest(JSON.stringify([method, path, workspace?.name]), body ?? "");
    return `${FINGERPRINT_PREFIX}${digest.slice(0, DIGEST_LENGTH)}`;
};

/**
 * Lists the traits of a request from the general to the specific: the blocks of its prompt and its fingerprint. The last
 * block belongs to the request itself or its session, so a ban on it would stop no other request.
 */
export const listTraits = (request: RoutedRequest): readonly string[] => [
    ...request.metadata.promptBlocks.slice(0, -1).map(({ id }) => id),
    computeFingerprint(request),
];

/** True for the trait of a whole request. */
export const isFingerprint = (trait: string): boolean => trait.startsWith(FINGERPRINT_PREFIX);
