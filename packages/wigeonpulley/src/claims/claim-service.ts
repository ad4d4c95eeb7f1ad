/**
 * Claims idempotency keys: of all tries with the same key at most one gets the right to dispatch.
 * The order of the log decides; the owner of a partition only gathers appends, and safety never rests on it.
 */
import { create } from "@bufbuild/protobuf";
import { Err, Ok, type Result } from "ts-results-es";
import { SchedulerError } from "../errors/index.js";
import {
    ClaimRequestSchema,
    type ClaimResponse,
    ClaimResponseSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import { hashText } from "../hashing/index.js";
import type { EventLogger } from "../logging/index.js";
import type { MembershipService } from "../membership/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { PlatformLog, VmListEntry } from "../platform/index.js";
import type { RandomSource } from "../random/index.js";
import type { TimerService } from "../time/index.js";
import { ClaimAppender } from "./claim-appender.js";
import { type ClaimRecord, type HeldClaim, type PartitionRecord, type StoredAnswer } from "./claim-fold.js";
import { PartitionFollower } from "./partition-follower.js";

/** What the service is built from. */
export interface ClaimServiceOptions {
    readonly self: VmListEntry;
    readonly log: PlatformLog;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly membership: MembershipService;
    readonly transport: PeerTransport;
    readonly partitions: number;
    /** Time during which claims gather into one append, in milliseconds. */
    readonly batchMs: number;
}

/** The right to dispatch one request with a key. */
export interface ClaimHandle {
    readonly key: string;
    readonly nonce: string;
    readonly partition: number;
}

/** What a try with a key may do. */
export type ClaimDecision =
    | { readonly kind: "dispatch"; readonly claim: ClaimHandle; }
    /** The request ran before; this is its answer. */
    | { readonly kind: "repeat"; readonly answer: StoredAnswer; };

/** Time between two tries at the log, in milliseconds. */
const RETRY_INTERVAL_MS = 250;

/** Time between two looks for the outcome of another try, in milliseconds. */
const ATTACH_INTERVAL_MS = 500;

/** Time that a landed append may take to become readable, in milliseconds. */
const SETTLE_LIMIT_MS = 2_000;

/** Longest body kept for repeats, in characters. */
const STORED_BODY_LIMIT = 4_096;

/** Time after which a caller may ask again for an answer in progress, in milliseconds. */
const IN_PROGRESS_RETRY_MS = 2_000;

/** Claims on one VM. */
export class ClaimService {
    private readonly followers = new Map<number, PartitionFollower>();
    private readonly appenders = new Map<number, ClaimAppender>();

    private constructor(private readonly options: ClaimServiceOptions) {}

    /** Creates a service that has read nothing. */
    static create(options: ClaimServiceOptions): ClaimService {
        return new ClaimService(options);
    }

    /**
     * Claims a key for a request, waiting for the log until `giveUpAt` (monotonic, in milliseconds).
     * Fails with KeyReused, KeyInProgress, OutcomeUnknown, AnswerNotKept or LogUnavailable; this try dispatched nothing.
     */
    async claim(
        key: string,
        digest: string,
        giveUpAt: number,
    ): Promise<Result<ClaimDecision, SchedulerError>> {
        const handle = {
            key,
            nonce: this.options.random.createIdentifier(),
            partition: this.pickPartition(key),
        };
        const follower = this.findFollower(handle.partition);
        try {
            return await this.claimWith(follower, handle, digest, giveUpAt);
        }
        finally {
            follower.untrackVerdict(handle.nonce);
        }
    }

    /** Gives a claim back that was not and will not be dispatched. Goes on trying until the log has taken it. */
    async release(claim: ClaimHandle): Promise<void> {
        await this.appendPersistently(claim.partition, {
            kind: "release",
            key: claim.key,
            nonce: claim.nonce,
        });
        this.options.logger.write("ClaimReleased", { partition: claim.partition });
    }

    /** Records the outcome of a dispatched claim. Goes on trying until the log has taken it. */
    async complete(claim: ClaimHandle, status: number, contentType: string, body: string): Promise<void> {
        const isComplete = body.length <= STORED_BODY_LIMIT;
        const answer = { status, contentType, body: isComplete ? body : "", isComplete };
        const record = { kind: "completion" as const, key: claim.key, nonce: claim.nonce, answer };
        await this.appendPersistently(claim.partition, record);
    }

    /** Appends a record for a peer. */
    async appendForPeer(partition: number, recordJson: string): Promise<ClaimResponse> {
        const appended = await this.findAppender(partition).append(JSON.parse(recordJson) as PartitionRecord);
        return create(
            ClaimResponseSchema,
            appended.isOk()
                ? { offset: appended.value + 1 }
                : { refused: appended.error.name === "LogUnavailable" },
        );
    }

    private async claimWith(
        follower: PartitionFollower,
        handle: ClaimHandle,
        digest: string,
        giveUpAt: number,
    ): Promise<Result<ClaimDecision, SchedulerError>> {
        const epoch = await this.retryUntil(giveUpAt, () => follower.trackVerdict(handle.nonce));
        if (epoch.isErr()) {
            return Err(epoch.error); // Nothing was appended.
        }
        const holder = follower.findHolder(handle.key);
        if (holder !== undefined) {
            return this.attach(follower, handle.key, digest, giveUpAt);
        }
        const { vm, incarnation } = this.createClaimant();
        const record: ClaimRecord = {
            kind: "claim",
            key: handle.key,
            digest,
            nonce: handle.nonce,
            claimant: { vm, incarnation },
        };
        const appended = await this.retryUntil(giveUpAt, () => this.append(handle.partition, record));
        if (appended.isErr() && appended.error.name === "LogUnavailable") {
            return Err(appended.error); // Surely not appended by any of the tries.
        }
        return this.settle(
            follower,
            handle,
            epoch.value,
            () => this.attach(follower, handle.key, digest, giveUpAt),
        );
    }

    /** Reads until the verdict on an appended claim is known; gives the claim up when it can't be known in time. */
    private async settle(
        follower: PartitionFollower,
        handle: ClaimHandle,
        epoch: number,
        attach: () => Promise<Result<ClaimDecision, SchedulerError>>,
    ): Promise<Result<ClaimDecision, SchedulerError>> {
        const { timers, logger } = this.options;
        const settleBy = timers.now() + SETTLE_LIMIT_MS;
        let lastError = SchedulerError.create("LogUnavailable", {
            operation: "read of a claim",
            reason: "the claim did not become readable",
        });
        while (timers.now() < settleBy) {
            const read = await follower.refresh();
            const verdict = read.isErr() ? read : follower.findVerdict(handle.nonce, epoch);
            if (verdict.isErr()) {
                lastError = verdict.error;
            }
            else if (verdict.value !== undefined) {
                logger.write("ClaimSettled", { verdict: verdict.value.kind, partition: handle.partition });
                switch (verdict.value.kind) {
                    case "effective":
                        return Ok({ kind: "dispatch", claim: handle });
                    case "held":
                        return attach();
                    case "released":
                        return Err(lastError);
                }
            }
            await timers.sleep(RETRY_INTERVAL_MS);
        }
        void this.release(handle);
        return Err(lastError);
    }

    /** Waits for the outcome of the try that holds the key. Never dispatches. */
    private async attach(
        follower: PartitionFollower,
        key: string,
        digest: string,
        giveUpAt: number,
    ): Promise<Result<ClaimDecision, SchedulerError>> {
        const { timers } = this.options;
        for (;;) {
            const holder = follower.findHolder(key);
            if (holder === undefined) {
                // Released in the meantime: the caller's next try makes a claim of its own.
                return Err(SchedulerError.create("KeyInProgress", {}, { retryAfterMs: RETRY_INTERVAL_MS }));
            }
            const decision = this.judgeHolder(holder, digest);
            const isInProgress = decision.isErr() && decision.error.name === "KeyInProgress";
            if (!isInProgress || timers.now() + ATTACH_INTERVAL_MS > giveUpAt) {
                return decision;
            }
            await timers.sleep(ATTACH_INTERVAL_MS);
            await follower.refresh();
        }
    }

    private judgeHolder(holder: HeldClaim, digest: string): Result<ClaimDecision, SchedulerError> {
        if (holder.digest !== digest) {
            return Err(SchedulerError.create("KeyReused", {}));
        }
        if (holder.answer !== undefined) {
            return holder.answer.isComplete
                ? Ok({ kind: "repeat", answer: holder.answer })
                : Err(SchedulerError.create("AnswerNotKept", {}));
        }
        const { vm, incarnation } = holder.claimant;
        const own = this.createClaimant();
        const isInProgress = (vm === own.vm && incarnation === own.incarnation)
            || this.options.membership.isIncarnationLive(vm, BigInt(incarnation));
        return Err(
            isInProgress
                ? SchedulerError.create("KeyInProgress", {}, { retryAfterMs: IN_PROGRESS_RETRY_MS })
                : SchedulerError.create("OutcomeUnknown", {}),
        );
    }

    private createClaimant(): ClaimRecord["claimant"] {
        const { self, membership } = this.options;
        return { vm: self.name, incarnation: membership.selfIncarnation.toString() };
    }

    /** Appends through the owner of the partition, or directly when the owner does not answer. */
    private async append(
        partition: number,
        record: PartitionRecord,
    ): Promise<Result<number, SchedulerError>> {
        const { self, membership, transport } = this.options;
        const owner = membership.findOwner(`claims/${partition}`, { dataCentre: "", region: "" });
        if (owner.name === self.name) {
            return this.findAppender(partition).append(record);
        }
        const request = create(ClaimRequestSchema, { partition, recordJson: JSON.stringify(record) });
        const startedAt = this.options.timers.now();
        const answer = await transport.appendClaim(owner, request);
        if (answer.isErr()) {
            // The owner may have appended it: a second copy with the same nonce has no effect.
            membership.suspect(owner, startedAt);
            const appended = await this.findAppender(partition).append(record);
            return appended.mapErr(({ message }) =>
                SchedulerError.create("LogAnswerUnknown", { operation: "append of a claim", reason: message })
            );
        }
        if (answer.value.offset > 0) {
            return Ok(answer.value.offset - 1);
        }
        return Err(SchedulerError.create(answer.value.refused ? "LogUnavailable" : "LogAnswerUnknown", {
            operation: "append of a claim",
            reason: "the owner of the partition could not append it",
        }));
    }

    private async appendPersistently(partition: number, record: PartitionRecord): Promise<void> {
        while ((await this.append(partition, record)).isErr()) {
            await this.options.timers.sleep(RETRY_INTERVAL_MS);
        }
    }

    /** Repeats an operation while it fails with LogUnavailable, which proves that it had no effect. */
    private async retryUntil<Value>(
        giveUpAt: number,
        run: () => Promise<Result<Value, SchedulerError>>,
    ): Promise<Result<Value, SchedulerError>> {
        for (;;) {
            const result = await run();
            const isFinal = result.isOk() || result.error.name !== "LogUnavailable";
            if (isFinal || this.options.timers.now() + RETRY_INTERVAL_MS > giveUpAt) {
                return result;
            }
            await this.options.timers.sleep(RETRY_INTERVAL_MS);
        }
    }

    private pickPartition(key: string): number {
        return hashText(key) % this.options.partitions;
    }

    private findFollower(partition: number): PartitionFollower {
        const follower = this.followers.get(partition)
            ?? PartitionFollower.create(this.options.log, createStreamName(partition));
        this.followers.set(partition, follower);
        return follower;
    }

    private findAppender(partition: number): ClaimAppender {
        const { log, timers, batchMs } = this.options;
        const appender = this.appenders.get(partition)
            ?? ClaimAppender.create(log, timers, createStreamName(partition), batchMs);
        this.appenders.set(partition, appender);
        return appender;
    }
}

const createStreamName = (partition: number): string => `claims-${partition}`;
