/** Hashes for rendezvous hashing, prompt blocks, partitions and idempotency keys. Not for secrets. */
import { createHash } from "node:crypto";

/** Hashes a text to an unsigned integer of 32 bits. */
export const hashText = (text: string): number => createHash("sha1").update(text).digest().readUInt32BE(0);

/** Returns the SHA-256 digest of a text, or of several one after the other, in base64url. */
export const computeDigest = (...texts: readonly (string | Buffer)[]): string =>
    texts.reduce((hash, text) => hash.update(text), createHash("sha256")).digest("base64url");

/**
 * Chooses the candidate with the highest hash for a key (rendezvous hashing), so that a change of candidates moves few
 * keys. Returns undefined when there are no candidates.
 */
export const chooseByRendezvous = <Candidate>(
    key: string,
    candidates: readonly Candidate[],
    getName: (candidate: Candidate) => string,
): Candidate | undefined => {
    let chosen: Candidate | undefined;
    let highestHash = -1;
    for (const candidate of candidates) {
        const hash = hashText(`${key}\n${getName(candidate)}`);
        if (hash > highestHash) {
            chosen = candidate;
            highestHash = hash;
        }
    }
    return chosen;
};
