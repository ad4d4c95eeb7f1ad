/**
 * Computes the claims on idempotency keys by folding one partition's stream.
 * Every reader of the same prefix reaches the same verdicts, whoever appended the records and however late.
 */
import * as z from "zod";
import type { LogRecord } from "../platform/index.js";

/** Holder of a claim: the gateway of one incarnation of a VM. */
const claimantSchema = z.object({
    vm: z.string(),
    /** Start time of the VM in milliseconds since 1970, as decimal text. */
    incarnation: z.string(),
});

/** Announces that a gateway is about to dispatch the request with a key. */
export const claimRecordSchema = z.object({
    kind: z.literal("claim"),
    /** Digest of caller and key. */
    key: z.string(),
    /** Digest of the request. */
    digest: z.string(),
    /** Identifier of this attempt. */
    nonce: z.string(),
    claimant: claimantSchema,
});

/** States that the attempt with a nonce was never dispatched and never will be. */
export const releaseRecordSchema = z.object({
    kind: z.literal("release"),
    key: z.string(),
    nonce: z.string(),
});

/** Answer stored for replays. */
export const storedAnswerSchema = z.object({
    status: z.number().int(),
    contentType: z.string(),
    body: z.string(),
    /** False when the body was too long to be stored. */
    isComplete: z.boolean(),
});

/** Records the outcome of the attempt with a nonce. */
export const completionRecordSchema = z.object({
    kind: z.literal("completion"),
    key: z.string(),
    nonce: z.string(),
    answer: storedAnswerSchema,
});

const partitionRecordSchema = z.discriminatedUnion("kind", [
    claimRecordSchema,
    releaseRecordSchema,
    completionRecordSchema,
]);

/** Claim as it is appended. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** Answer stored for replays. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** Any record of a claim partition. */
export type PartitionRecord = z.infer<typeof partitionRecordSchema>;

/** Effective claim on a key. */
export interface HeldClaim {
    readonly offset: number;
    readonly nonce: string;
    readonly digest: string;
    readonly claimant: ClaimRecord["claimant"];
    readonly answer: StoredAnswer | undefined;
}

/** Result of one attempt's claim. */
export type ClaimVerdict =
    /** The attempt holds the key and may be dispatched. */
    | { readonly kind: "effective"; }
    /** Another attempt holds the key. */
    | { readonly kind: "held"; readonly holder: HeldClaim; }
    /** The attempt was released before its claim was appended. */
    | { readonly kind: "released"; };

/** Fold over one partition. Mutable: only its follower may use it. */
export class ClaimFold {
    private readonly held = new Map<string, HeldClaim>();
    private readonly released = new Map<string, number>();
    /** Offsets of the attempts that have a verdict: a second copy of a claim has no effect. */
    private readonly decided = new Map<string, number>();
    private readonly verdicts = new Map<string, ClaimVerdict>();

    private constructor(private next: number) {}

    /** Creates a fold that starts at an offset. */
    static create(startOffset: number): ClaimFold {
        return new ClaimFold(startOffset);
    }

    /** Offset of the next record to read. */
    get nextOffset(): number {
        return this.next;
    }

    /** Returns the effective claim on a key; undefined if there is none. */
    findHolder(key: string): HeldClaim | undefined {
        return this.held.get(key);
    }

    /** Returns the verdict on an attempt; undefined until its claim has been read. */
    findVerdict(nonce: string): ClaimVerdict | undefined {
        return this.verdicts.get(nonce);
    }

    /** Removes a verdict that is no longer awaited. */
    removeVerdict(nonce: string): void {
        this.verdicts.delete(nonce);
    }

    /**
     * Applies one record; records before the next offset are skipped, and invalid ones only advance it. `isTracked`
     * selects the attempts whose verdicts are stored.
     */
    apply(record: LogRecord, isTracked: (nonce: string) => boolean): void {
        if (record.offset < this.next) {
            return;
        }
        this.next = record.offset + 1;
        const parsed = partitionRecordSchema.safeParse(record.value);
        if (!parsed.success) {
            return;
        }
        switch (parsed.data.kind) {
            case "claim":
                this.applyClaim(parsed.data, record.offset, isTracked);
                break;
            case "release":
                this.applyRelease(parsed.data.key, parsed.data.nonce, record.offset);
                break;
            case "completion":
                this.applyCompletion(parsed.data.key, parsed.data.nonce, parsed.data.answer);
                break;
        }
    }

    /** Removes the state of records that retention has dropped. */
    removeBefore(firstOffset: number): void {
        for (const [key, claim] of this.held) {
            if (claim.offset >= firstOffset) {
                break; // Insertion order is offset order.
            }
            this.held.delete(key);
        }
        removeOffsetsBefore(this.released, firstOffset);
        removeOffsetsBefore(this.decided, firstOffset);
    }

    private applyClaim(record: ClaimRecord, offset: number, isTracked: (nonce: string) => boolean): void {
        if (this.decided.has(record.nonce)) {
            return;
        }
        this.decided.set(record.nonce, offset);
        const verdict = this.evaluate(record);
        if (verdict.kind === "effective") {
            const { nonce, digest, claimant } = record;
            this.held.set(record.key, { offset, nonce, digest, claimant, answer: undefined });
        }
        if (isTracked(record.nonce)) {
            this.verdicts.set(record.nonce, verdict);
        }
    }

    private evaluate(record: ClaimRecord): ClaimVerdict {
        if (this.released.has(record.nonce)) {
            return { kind: "released" };
        }
        const holder = this.held.get(record.key);
        return holder === undefined ? { kind: "effective" } : { kind: "held", holder };
    }

    private applyRelease(key: string, nonce: string, offset: number): void {
        // Clean-up relies on insertion order being offset order, also when a release is appended a second time.
        this.released.delete(nonce);
        this.released.set(nonce, offset);
        if (this.held.get(key)?.nonce === nonce) {
            this.held.delete(key);
        }
    }

    private applyCompletion(key: string, nonce: string, answer: StoredAnswer): void {
        const holder = this.held.get(key);
        if (holder?.nonce === nonce && holder.answer === undefined) {
            this.held.set(key, { ...holder, answer });
        }
    }
}

/** Removes entries with earlier offsets; insertion order is offset order. */
const removeOffsetsBefore = (offsets: Map<string, number>, firstOffset: number): void => {
    for (const [key, offset] of offsets) {
        if (offset >= firstOffset) {
            return;
        }
        offsets.delete(key);
    }
};
