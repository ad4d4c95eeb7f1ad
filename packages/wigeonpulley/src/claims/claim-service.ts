/**
 * Claims idempotency keys: of all attempts with the same key at most one gets the right to dispatch.
 * The order of the log decides. The owner of a partition only batches appends; safety never depends on it.
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

/** Options of the service. */
export interface ClaimServiceOptions {
    readonly self: VmListEntry;
    readonly log: PlatformLog;
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly logger: EventLogger;
    readonly membership: MembershipService;
    readonly transport: PeerTransport;
    readonly partitions: number;
    /** Time during which claims are collected into one append. */
    readonly batchMs: number;
}

/** Right to dispatch one request with a key. */
export interface ClaimHandle {
    readonly key: string;
    readonly nonce: string;
    readonly partition: number;
}

/** What an attempt with a key may do. */
export type ClaimDecision =
    | { readonly kind: "dispatch"; readonly claim: ClaimHandle; }
    /** The request ran before; `answer` is its stored answer. */
    | { readonly kind: "repeat"; readonly answer: StoredAnswer; };

/** Delay before a failed read or append of the log is retried. */
const RETRY_DELAY_MS = 250;

/** Interval at which the outcome of another attempt is polled. */
const HOLDER_POLL_INTERVAL_MS = 500;

/** Time that an appended record may take to become readable. */
const VERDICT_TIMEOUT_MS = 2_000;

/** Maximum length of a body that is stored for replays. */
const MAX_STORED_BODY_CHARACTERS = 4_096;

/** Time after which a caller may retry a request whose key is in progress. */
const IN_PROGRESS_RETRY_AFTER_MS = 2_000;

/** Claim service of one VM. */
export class ClaimService {
    private readonly followers = new Map<number, PartitionFollower>();
    private readonly appenders = new Map<number, ClaimAppender>();

    private constructor(private readonly options: ClaimServiceOptions) {}

    /** Creates a service that has read no partition yet. */
    static create(options: ClaimServiceOptions): ClaimService {
        return new ClaimService(options);
    }

    /**
     * Claims a key for a request, waiting until `deadlineAt` (monotonic, in milliseconds) for the log and for another
     * attempt that holds the key. Fails with KeyReused, KeyInProgress, OutcomeUnknown, AnswerNotKept, LogUnavailable or
     * LogTrimmed; then this attempt has dispatched nothing.
     */
    async claim(
        key: string,
        digest: string,
        deadlineAt: number,
    ): Promise<Result<ClaimDecision, SchedulerError>> {
        const handle = {
            key,
            nonce: this.options.random.createIdentifier(),
            partition: this.choosePartition(key),
        };
        const follower = this.getOrCreateFollower(handle.partition);
        try {
            return await this.claimKey(follower, handle, digest, deadlineAt);
        }
        finally {
            follower.untrackVerdict(handle.nonce);
        }
    }

    /** Releases a claim that was not and will not be dispatched. Retries until the log has accepted the record. */
    async release(claim: ClaimHandle): Promise<void> {
        await this.appendWithRetry(claim.partition, {
            kind: "release",
            key: claim.key,
            nonce: claim.nonce,
        });
        this.options.logger.write("ClaimReleased", { partition: claim.partition });
    }

    /** Records the outcome of a dispatched claim. Retries until the log has accepted the record. */
    async complete(claim: ClaimHandle, status: number, contentType: string, body: string): Promise<void> {
        const isComplete = body.length <= MAX_STORED_BODY_CHARACTERS;
        const answer = { status, contentType, body: isComplete ? body : "", isComplete };
        const record = { kind: "completion" as const, key: claim.key, nonce: claim.nonce, answer };
        await this.appendWithRetry(claim.partition, record);
    }

    /**
     * Appends a record on behalf of a peer. The response has the record's offset plus one; otherwise 0, with `refused`
     * set if the record was certainly not appended.
     */
    async appendForPeer(partition: number, recordJson: string): Promise<ClaimResponse> {
        const appended = await this.getOrCreateAppender(partition).append(
            JSON.parse(recordJson) as PartitionRecord,
        );
        return create(
            ClaimResponseSchema,
            appended.isOk()
                ? { offset: appended.value + 1 }
                : { refused: appended.error.name === "LogUnavailable" },
        );
    }

    private async claimKey(
        follower: PartitionFollower,
        handle: ClaimHandle,
        digest: string,
        deadlineAt: number,
    ): Promise<Result<ClaimDecision, SchedulerError>> {
        const epoch = await this.retryUntil(deadlineAt, () => follower.trackVerdict(handle.nonce));
        if (epoch.isErr()) {
            return Err(epoch.error); // Nothing was appended.
        }
        const holder = follower.findHolder(handle.key);
        if (holder !== undefined) {
            return this.waitForHolder(follower, handle.key, digest, deadlineAt);
        }
        const { vm, incarnation } = this.createClaimant();
        const record: ClaimRecord = {
            kind: "claim",
            key: handle.key,
            digest,
            nonce: handle.nonce,
            claimant: { vm, incarnation },
        };
        const appended = await this.retryUntil(deadlineAt, () => this.append(handle.partition, record));
        if (appended.isErr() && appended.error.name === "LogUnavailable") {
            return Err(appended.error); // LogUnavailable proves that no append took effect.
        }
        return this.waitForVerdict(
            follower,
            handle,
            epoch.value,
            Math.min(deadlineAt, this.options.timers.now() + VERDICT_TIMEOUT_MS),
            () => this.waitForHolder(follower, handle.key, digest, deadlineAt),
        );
    }

    /** Reads until the verdict on a claim that may have been appended is known; releases it if that takes too long. */
    private async waitForVerdict(
        follower: PartitionFollower,
        handle: ClaimHandle,
        epoch: number,
        timeoutAt: number,
        waitForHolder: () => Promise<Result<ClaimDecision, SchedulerError>>,
    ): Promise<Result<ClaimDecision, SchedulerError>> {
        const { timers, logger } = this.options;
        let lastError = SchedulerError.create("LogUnavailable", {
            operation: "read of a claim",
            reason: "the claim did not become readable",
        });
        while (timers.now() < timeoutAt) {
            const read = await Promise.race([
                follower.refresh(),
                timers.sleep(timeoutAt - timers.now()).then(() => Err(lastError)),
            ]);
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
                        return waitForHolder();
                    case "released":
                        return Err(lastError);
                }
            }
            await timers.sleep(Math.min(RETRY_DELAY_MS, timeoutAt - timers.now()));
        }
        void this.release(handle);
        return Err(lastError);
    }

    /** Waits for the outcome of the attempt that holds the key. Never dispatches. */
    private async waitForHolder(
        follower: PartitionFollower,
        key: string,
        digest: string,
        deadlineAt: number,
    ): Promise<Result<ClaimDecision, SchedulerError>> {
        const { timers } = this.options;
        for (;;) {
            const holder = follower.findHolder(key);
            if (holder === undefined) {
                // Released in the meantime: the caller's next attempt makes its own claim.
                return Err(SchedulerError.create("KeyInProgress", {}, { retryAfterMs: RETRY_DELAY_MS }));
            }
            const decision = this.evaluateHolder(holder, digest);
            const isInProgress = decision.isErr() && decision.error.name === "KeyInProgress";
            if (!isInProgress || timers.now() + HOLDER_POLL_INTERVAL_MS > deadlineAt) {
                return decision;
            }
            await timers.sleep(HOLDER_POLL_INTERVAL_MS);
            await follower.refresh();
        }
    }

    private evaluateHolder(holder: HeldClaim, digest: string): Result<ClaimDecision, SchedulerError> {
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
                ? SchedulerError.create("KeyInProgress", {}, { retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS })
                : SchedulerError.create("OutcomeUnknown", {}),
        );
    }

    private createClaimant(): ClaimRecord["claimant"] {
        const { self, membership } = this.options;
        return { vm: self.name, incarnation: membership.selfIncarnation.toString() };
    }

    /**
     * Appends through the owner of the partition, or directly if the owner doesn't respond. Returns the record's offset.
     * Fails with LogUnavailable only if the record was certainly not appended, otherwise with LogAnswerUnknown.
     */
    private async append(
        partition: number,
        record: PartitionRecord,
    ): Promise<Result<number, SchedulerError>> {
        const { self, membership, transport } = this.options;
        const owner = membership.findOwner(`claims/${partition}`, { dataCentre: "", region: "" });
        if (owner.name === self.name) {
            return this.getOrCreateAppender(partition).append(record);
        }
        const request = create(ClaimRequestSchema, { partition, recordJson: JSON.stringify(record) });
        const startedAt = this.options.timers.now();
        const response = await transport.appendClaim(owner, request);
        if (response.isErr()) {
            // The owner may have appended the record: a second copy with the same nonce has no effect.
            membership.suspect(owner, startedAt);
            const appended = await this.getOrCreateAppender(partition).append(record);
            return appended.mapErr(({ message }) =>
                SchedulerError.create("LogAnswerUnknown", { operation: "append of a claim", reason: message })
            );
        }
        if (response.value.offset > 0) {
            return Ok(response.value.offset - 1);
        }
        return Err(SchedulerError.create(response.value.refused ? "LogUnavailable" : "LogAnswerUnknown", {
            operation: "append of a claim",
            reason: "the owner of the partition could not append it",
        }));
    }

    private async appendWithRetry(partition: number, record: PartitionRecord): Promise<void> {
        while ((await this.append(partition, record)).isErr()) {
            await this.options.timers.sleep(RETRY_DELAY_MS);
        }
    }

    /** Retries an operation while it fails with LogUnavailable, which proves that it had no effect. */
    private async retryUntil<Value>(
        deadlineAt: number,
        run: () => Promise<Result<Value, SchedulerError>>,
    ): Promise<Result<Value, SchedulerError>> {
        for (;;) {
            const result = await run();
            const isFinal = result.isOk() || result.error.name !== "LogUnavailable";
            if (isFinal || this.options.timers.now() + RETRY_DELAY_MS > deadlineAt) {
                return result;
            }
            await this.options.timers.sleep(RETRY_DELAY_MS);
        }
    }

    private choosePartition(key: string): number {
        return hashText(key) % this.options.partitions;
    }

    private getOrCreateFollower(partition: number): PartitionFollower {
        const follower = this.followers.get(partition)
            ?? PartitionFollower.create(this.options.log, createStreamName(partition));
        this.followers.set(partition, follower);
        return follower;
    }

    private getOrCreateAppender(partition: number): ClaimAppender {
        const { log, timers, batchMs } = this.options;
        const appender = this.appenders.get(partition)
            ?? ClaimAppender.create(log, timers, createStreamName(partition), batchMs);
        this.appenders.set(partition, appender);
        return appender;
    }
}

const createStreamName = (partition: number): string => `claims-${partition}`;
