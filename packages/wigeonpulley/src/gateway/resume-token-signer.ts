/**
 * Tokens that let a caller resume its stream through any VM, signed with HMAC-SHA256.
 * A token is signed once for each stream. An event identifier is the event's sequence number, a dot and the token.
 */
import * as Option from "fp-ts/lib/Option.js";
import { createHmac, timingSafeEqual } from "node:crypto";
import * as z from "zod";

/** A key that signs and verifies tokens. */
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

/** Contents of a token. */
export type ResumeTokenPayload = z.infer<typeof tokenPayloadSchema>;

/** Contents of a verified event identifier. */
export interface ResumePosition {
    /** Sequence number of the last event that the caller received. */
    readonly sequence: number;
    readonly payload: ResumeTokenPayload;
}

const eventIdentifierPattern =
    /^(?<sequence>\d{1,9})\.(?<keyId>[a-z0-9]{1,8})\.(?<body>[\w-]+)\.(?<signature>[\w-]+)$/;

/** Signs and verifies resume tokens. */
export class ResumeTokenSigner {
    private constructor(private readonly keys: readonly [SigningKey, ...SigningKey[]]) {}

    /** Creates a signer. The first key signs, all keys verify, so that keys can be rotated. */
    static create(keys: readonly [SigningKey, ...SigningKey[]]): ResumeTokenSigner {
        return new ResumeTokenSigner(keys);
    }

    /** Creates a signed token. */
    sign(payload: ResumeTokenPayload): string {
        const [key] = this.keys;
        const body = Buffer.from(JSON.stringify(payload)).toString("base64url");
        return `${key.id}.${body}.${computeSignature(key, body)}`;
    }

    /**
     * Parses an event identifier of the form `<sequence>.<token>`. Returns none if it is malformed, forged, expired or
     * issued to another caller. `wallClock` is in milliseconds since 1970.
     */
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
