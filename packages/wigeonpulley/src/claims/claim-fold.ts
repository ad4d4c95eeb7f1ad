/**
 * Claims on idempotency keys, as a fold over one partition's stream.
 * Every reader of the same prefix reaches the same verdicts, whoever appended and however late an append lands.
 */
import { z } from "zod";
import type { LogRecord } from "../platform/index.js";

/** Who claims: a gateway of one incarnation of a VM. */
const claimantSchema = z.object({
    vm: z.string(),
    /** Start time of the VM in milliseconds since 1970, as decimal text. */
    incarnation: z.string(),
});

/** Says that a gateway is about to dispatch the request with a key. */
export const claimRecordSchema = z.object({
    kind: z.literal("claim"),
    /** Digest of caller and key. */
    key: z.string(),
    /** Digest of the request. */
    digest: z.string(),
    /** Identifier of this try. */
    nonce: z.string(),
    claimant: claimantSchema,
});

/** Says that the try with a nonce was never dispatched and never will be. */
export const releaseRecordSchema = z.object({
    kind: z.literal("release"),
    key: z.string(),
    nonce: z.string(),
});

/** An answer kept for repeats. */
export const storedAnswerSchema = z.object({
    status: z.number().int(),
    contentType: z.string(),
    body: z.string(),
    /** False when the body was too long to be kept. */
    isComplete: z.boolean(),
});

/** Tells the outcome of the try with a nonce. */
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

/** A claim as it is appended. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** An answer kept for repeats. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** Any record of a claim partition. */
export type PartitionRecord = z.infer<typeof partitionRecordSchema>;

/** The effective claim on a key. */
export interface HeldClaim {
    readonly offset: number;
    readonly nonce: string;
    readonly digest: string;
    readonly claimant: ClaimRecord["claimant"];
    readonly answer: StoredAnswer | undefined;
}

/** What became of one try. */
export type ClaimVerdict =
    /** The try holds the key and may be dispatched. */
    | { readonly kind: "effective"; }
    /** Another try holds the key. */
    | { readonly kind: "held"; readonly holder: HeldClaim; }
    /** The try was released before its claim landed. */
    | { readonly kind: "released"; };

/** Fold over one partition. Mutable: only its follower touches it. */
export class ClaimFold {
    private readonly held = new Map<string, HeldClaim>();
    private readonly released = new Map<string, number>();
    /** Offsets of the tries already judged: a second copy of a claim has no effect. */
    private readonly judged = new Map<string, number>();
    private readonly verdicts = new Map<string, ClaimVerdict>();

    private constructor(private next: number) {}

    /** Creates a fold that begins at an offset. */
    static create(startOffset: number): ClaimFold {
        return new ClaimFold(startOffset);
    }

    /** Offset of the next record to read. */
    get nextOffset(): number {
        return this.next;
    }

    /** The effective claim on a key. */
    findHolder(key: string): HeldClaim | undefined {
        return this.held.get(key);
    }

    /** The verdict on a try; undefined while its claim has not been read. */
    findVerdict(nonce: string): ClaimVerdict | undefined {
        return this.verdicts.get(nonce);
    }

    /** Forgets a verdict that nobody waits for any more. */
    removeVerdict(nonce: string): void {
        this.verdicts.delete(nonce);
    }

    /** Applies one record; records before the next offset are skipped. `awaited` tells whose verdicts are kept. */
    apply(record: LogRecord, awaited: (nonce: string) => boolean): void {
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
                this.applyClaim(parsed.data, record.offset, awaited);
                break;
            case "release":
                this.applyRelease(parsed.data.key, parsed.data.nonce, record.offset);
                break;
            case "completion":
                this.applyCompletion(parsed.data.key, parsed.data.nonce, parsed.data.answer);
                break;
        }
    }

    /** Forgets what retention has dropped. */
    removeBefore(firstOffset: number): void {
        for (const [key, claim] of this.held) {
            if (claim.offset >= firstOffset) {
                break; // Insertion order is offset order.
            }
            this.held.delete(key);
        }
        removeOffsetsBefore(this.released, firstOffset);
        removeOffsetsBefore(this.judged, firstOffset);
    }

    private applyClaim(record: ClaimRecord, offset: number, awaited: (nonce: string) => boolean): void {
        if (this.judged.has(record.nonce)) {
            return;
        }
        this.judged.set(record.nonce, offset);
        const verdict = this.judge(record);
        if (verdict.kind === "effective") {
            const { nonce, digest, claimant } = record;
            this.held.set(record.key, { offset, nonce, digest, claimant, answer: undefined });
        }
        if (awaited(record.nonce)) {
            this.verdicts.set(record.nonce, verdict);
        }
    }

    private judge(record: ClaimRecord): ClaimVerdict {
        if (this.released.has(record.nonce)) {
            return { kind: "released" };
        }
        const holder = this.held.get(record.key);
        return holder === undefined ? { kind: "effective" } : { kind: "held", holder };
    }

    private applyRelease(key: string, nonce: string, offset: number): void {
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
