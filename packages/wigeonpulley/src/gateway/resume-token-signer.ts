/**
 * Tokens that let a caller resume its stream through any VM.
 * A token is signed once for each stream; the position stands before it in the event identifier.
 */
import * as Option from "fp-ts/lib/Option.js";
import { createHmac, timingSafeEqual } from "node:crypto";
import { z } from "zod";

/** A key that signs tokens. */
export interface SigningKey {
    readonly id: string;
    readonly secret: string;
}

const tokenPayloadSchema = z.object({
    /** Identifier of the request. */
    id: z.string(),
    endpoint: z.string(),
    caller: z.string(),
    tier: z.number().int(),
    /** Wall-clock time of expiry, in milliseconds since 1970. */
    expiresAt: z.number(),
});

/** What a token says. */
export type ResumeTokenPayload = z.infer<typeof tokenPayloadSchema>;

/** The position of a stream and the token that came with it. */
export interface ResumePosition {
    /** Sequence number of the last event that the caller has. */
    readonly sequence: number;
    readonly payload: ResumeTokenPayload;
}

const eventIdentifierPattern =
    /^(?<sequence>\d{1,9})\.(?<keyId>[a-z0-9]{1,8})\.(?<body>[\w-]+)\.(?<signature>[\w-]+)$/;

/** Signs and verifies tokens. */
export class ResumeTokenSigner {
    private constructor(private readonly keys: readonly [SigningKey, ...SigningKey[]]) {}

    /** Creates a signer; the first key signs, all keys verify. */
    static create(keys: readonly [SigningKey, ...SigningKey[]]): ResumeTokenSigner {
        return new ResumeTokenSigner(keys);
    }

    /** Signs a token. */
    sign(payload: ResumeTokenPayload): string {
        const [key] = this.keys;
        const body = Buffer.from(JSON.stringify(payload)).toString("base64url");
        return `${key.id}.${body}.${computeSignature(key, body)}`;
    }

    /** Reads an event identifier of the form `<sequence>.<token>`; none if it is forged, expired or another caller's. */
    verify(eventIdentifier: string, caller: string, wallClock: number): Option.Option<ResumePosition> {
        const parts = eventIdentifierPattern.exec(eventIdentifier)?.groups;
        const key = this.keys.find(candidate => candidate.id === parts?.["keyId"]);
        if (parts === undefined || key === undefined) {
            return Option.none;
        }
        const { sequence = "", body = "", signature = "" } = parts;
        const expected = Buffer.from(computeSignature(key, body));
        const presented = Buffer.from(signature);
        if (expected.length !== presented.length || !timingSafeEqual(expected, presented)) {
            return Option.none;
        }
        const payload = tokenPayloadSchema.parse(JSON.parse(Buffer.from(body, "base64url").toString()));
        return payload.caller === caller && payload.expiresAt > wallClock
            ? Option.some({ sequence: Number(sequence), payload })
            : Option.none;
    }
}

const computeSignature = (key: SigningKey, body: string): string =>
    createHmac("sha256", key.secret).update(`${key.id}.${body}`).digest("base64url");
