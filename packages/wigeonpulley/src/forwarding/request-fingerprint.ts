/** Fingerprint by which a request is recognised when its caller sends it again. */
import { computeDigest } from "../hashing/index.js";
import type { RoutedRequest } from "./routed-request.js";

/** Length of a fingerprint without its prefix: 96 bits in base64url. */
const DIGEST_LENGTH = 16;

/** Computes the fingerprint of a request from its method, path, workspace and body. */
export const computeFingerprint = ({ method, path, workspace, body }: RoutedRequest): string => {
    const head = JSON.stringify([method, path, workspace?.name]);
    const digest = computeDigest(body === undefined ? head : Buffer.concat([Buffer.from(head), body]));
    return `request:${digest.slice(0, DIGEST_LENGTH)}`;
};
