/** A gateway's side of scheduling: chooses groups and keeps tickets until they are granted or finally refused. */
import { create } from "@bufbuild/protobuf";
import { Err, Ok, type Result } from "ts-results-es";
import type { Configuration, Selector, SelectorMatch } from "../config/index.js";
import { SchedulerError } from "../errors/index.js";
import {
    type Observation,
    RefusalReason,
    type Release,
    ReleaseSchema,
    RunningRequestSchema,
    type Ticket,
    TicketSchema,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { EventLogger } from "../logging/index.js";
import type { MembershipService } from "../membership/index.js";
import type { PeerTransport } from "../peers/index.js";
import type { VmListEntry } from "../platform/index.js";
import type { RandomSource } from "../random/index.js";
import type { CancelTimer, TimerService } from "../time/index.js";
import type { GroupChooser } from "./group-chooser.js";
import type { SlotRefusal, SlotResult } from "./group-scheduler.js";
import { findSelectorGroups, type SelectorGroups } from "./group-subset.js";
import { createGroups, type EndpointGroup } from "./groups.js";
import { createRefusalError } from "./refusal-error.js";
import { RefusalHistory } from "./refusal-history.js";
import { LocalLink, RemoteLink, type SchedulerLink } from "./scheduler-link.js";
import type { SchedulerService } from "./scheduler-service.js";

/** Options of the client. */
export interface TicketClientOptions {
    readonly self: VmListEntry;
    readonly timers: TimerService;
    readonly logger: EventLogger;
    readonly membership: MembershipService;
    readonly transport: PeerTransport;
    readonly schedulers: SchedulerService;
    readonly chooser: GroupChooser;
    readonly random: RandomSource;
    readonly endpointsPerGroup: number;
    /** Number of groups that are used for a selector until all of them refuse. */
    readonly groupsPerSelector: number;
    readonly heartbeatMs: number;
    readonly peerTimeoutMs: number;
}

/** A request that needs a slot. */
export interface SlotRequest {
    readonly id: string;
    readonly match: SelectorMatch;
    /** Monotonic time of the deadline, in milliseconds. */
    readonly deadlineAt: number;
    /** Time from the arrival to the deadline, in milliseconds. */
    readonly allowedMs: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly prefixBlocks: readonly number[];
    /** Endpoints that already failed to take the request. */
    readonly excludedEndpoints: readonly string[];
    /** Aborted when the caller disconnects or the gateway abandons the request. */
    readonly signal: AbortSignal;
}

/** A granted slot. */
export interface Slot {
    readonly id: string;
    readonly group: string;
    readonly endpoint: string;
    readonly tier: number;
    /** Time that the request is expected to take, in milliseconds. */
    readonly expectedMs: number;
}

/** Delay before a ticket whose scheduler was lost is submitted again, in milliseconds. */
const RESUBMIT_DELAY_MS = 50;

/** Interval at which idle links are closed, in milliseconds. */
const IDLE_CHECK_INTERVAL_MS = 10_000;

/** Time after which an unused link is closed, in milliseconds. */
const LINK_IDLE_TIMEOUT_MS = 30_000;

/** Largest share by which the retry delay is extended at random. */
const MAX_RETRY_JITTER = 0.5;

/** Interval at which a waiting ticket looks for a group with a free slot, in milliseconds. */
const MOVE_CHECK_INTERVAL_MS = 500;

/** Client of all schedulers on one gateway. */
export class TicketClient {
    /** Links by the address of the VM, since a replacement VM with the same name has another address. */
    private readonly links = new Map<string, SchedulerLink>();
    /** Monotonic time at which each link was last needed, by address. */
    private readonly usedAt = new Map<string, number>();
    private groups: readonly EndpointGroup[] = [];
    /** Groups by selector; emptied with every configuration. */
    private readonly groupsBySelector = new Map<string, SelectorGroups>();
    private readonly cancelIdleCheck: CancelTimer;
    /** Slots in use with the addresses of the VMs that know of them. */
    private readonly running = new Map<string, { readonly slot: Slot; readonly knownBy: Set<string>; }>();

    private constructor(private readonly options: TicketClientOptions) {
        this.links.set(options.self.peerUrl, LocalLink.create(options.self.name, options.schedulers));
        this.cancelIdleCheck = options.timers.scheduleRepeating(
            IDLE_CHECK_INTERVAL_MS,
            () => this.closeIdleLinks(),
        );
        options.membership.subscribe(() => {
            this.closeDeadLinks();
            this.announceRunning();
        });
    }

    /** Creates a client without groups. */
    static create(options: TicketClientOptions): TicketClient {
        return new TicketClient(options);
    }

    /** Applies a configuration. */
    applyConfiguration(configuration: Configuration): void {
        this.groups = createGroups(configuration, this.options.endpointsPerGroup);
        this.groupsBySelector.clear();
        this.announceRunning();
    }

    /**
     * Waits for a slot. A refusal is final only while every group that could serve the request has refused it and
     * still sheds lower tiers for that; while a scheduler is being replaced the ticket is submitted again.
     * Fails with Overloaded, DeadlineUnattainable, NoEndpoint or RequestCancelled.
     */
    async acquire(request: SlotRequest): Promise<Result<Slot, SchedulerError>> {
        const refusalHistory = RefusalHistory.create(this.options.timers);
        let idleGroup: EndpointGroup | undefined;
        while (!request.signal.aborted) {
            const refusals = refusalHistory.listValid();
            const { preferred, all } = this.getGroups(request.match.selector);
            const candidates = [preferred, all]
                .map(groups => groups.filter(({ name }) => !refusals.has(name)))
                .find(groups => groups.length > 0) ?? [];
            const group = candidates.find(candidate => candidate === idleGroup)
                ?? this.options.chooser.choose(candidates, request.prefixBlocks);
            idleGroup = undefined;
            if (group === undefined) {
                return Err(this.createFinalRefusal(request, [...refusals.values()]));
            }
            const otherGroups = candidates.filter(candidate => candidate !== group);
            const result = await this.acquireFrom(
                group,
                otherGroups,
                request,
                refusalHistory.hasOverloadRefusal,
            );
            if (result?.isOk() === true) {
                return this.registerGrant(group, request, result.value);
            }
            const refusal = result?.isErr() === true ? result.error : undefined;
            if (refusal === undefined || isTransient(refusal.reason)) {
                if (this.isPastDeadline(request)) {
                    return Err(this.createFinalRefusal(request, []));
                }
                await this.options.timers.sleep(RESUBMIT_DELAY_MS, request.signal);
            }
            else if (refusal.reason === RefusalReason.WITHDRAWN) {
                idleGroup = otherGroups.find(other => this.options.chooser.isIdle(other));
            }
            else {
                refusalHistory.add(group.name, refusal);
            }
        }
        return Err(SchedulerError.create("RequestCancelled", {}));
    }

    /** Releases a slot and reports what was measured. */
    release(slot: Slot, report: Pick<Release, "outcome" | "firstTokenMs" | "tokens" | "durationMs">): void {
        const knownBy = this.running.get(slot.id)?.knownBy ?? new Set<string>();
        this.running.delete(slot.id);
        const release = create(ReleaseSchema, { id: slot.id, group: slot.group, ...report });
        knownBy.forEach(address => this.links.get(address)?.release(release));
    }

    /** Registers the slot of a request that another gateway dispatched and this one continues. */
    registerSlot(slot: Slot): void {
        this.running.set(slot.id, { slot, knownBy: new Set() });
        this.announceRunning();
    }

    /** Sends inter-token latency samples to the scheduler of their group. */
    observe(observation: Observation): void {
        const owner = this.findOwner(observation.group);
        if (owner !== undefined) {
            this.getLink(owner).observe(observation);
        }
    }

    /** Closes all links. */
    close(): void {
        this.cancelIdleCheck();
        this.links.forEach(link => link.close());
    }

    private getGroups(selector: Selector): SelectorGroups {
        const { self, groupsPerSelector } = this.options;
        const known = this.groupsBySelector.get(selector.name)
            ?? findSelectorGroups(this.groups, selector, self, groupsPerSelector);
        this.groupsBySelector.set(selector.name, known);
        return known;
    }

    /** Sends a ticket to one group; withdraws it when one of the others becomes idle. */
    private async acquireFrom(
        group: EndpointGroup,
        otherGroups: readonly EndpointGroup[],
        request: SlotRequest,
        refusedForLoad: boolean,
    ): Promise<SlotResult | undefined> {
        const owner = this.findOwner(group.name);
        if (owner === undefined) {
            return undefined;
        }
        const link = this.getLink(owner);
        const ticket = this.createTicket(group, request, refusedForLoad);
        const withdraw = (): void => link.withdraw(ticket.id);
        request.signal.addEventListener("abort", withdraw, { once: true });
        const cancelMove = this.options.timers.scheduleRepeating(MOVE_CHECK_INTERVAL_MS, () => {
            if (otherGroups.some(other => this.options.chooser.isIdle(other))) {
                withdraw();
            }
        });
        try {
            return await link.acquire(ticket);
        }
        finally {
            cancelMove();
            request.signal.removeEventListener("abort", withdraw);
        }
    }

    private isPastDeadline({ match, deadlineAt }: SlotRequest): boolean {
        return !match.tier.durable && this.options.timers.now() > deadlineAt;
    }

    private registerGrant(
        group: EndpointGroup,
        request: SlotRequest,
        grant: { readonly endpoint: string; readonly expectedMs: number; },
    ): Result<Slot, SchedulerError> {
        const slot: Slot = {
            id: request.id,
            group: group.name,
            endpoint: grant.endpoint,
            tier: request.match.tierIndex,
            expectedMs: grant.expectedMs,
        };
        const owner = this.findOwner(group.name)?.peerUrl;
        this.running.set(slot.id, { slot, knownBy: new Set(owner === undefined ? [] : [owner]) });
        this.options.chooser.recordGrant(group, request.prefixBlocks);
        return Ok(slot);
    }

    private createTicket(group: EndpointGroup, request: SlotRequest, refusedForLoad: boolean): Ticket {
        const remainingMs = request.deadlineAt - this.options.timers.now();
        return create(TicketSchema, {
            id: request.id,
            group: group.name,
            selector: request.match.selector.name,
            tier: request.match.tierIndex,
            durable: request.match.tier.durable,
            remainingMs: Math.max(0, Math.floor(remainingMs)),
            allowedMs: Math.floor(request.allowedMs),
            refusedForLoad,
            promptTokens: request.promptTokens,
            answerTokens: request.answerTokens,
            prefixBlocks: [...request.prefixBlocks],
            excludedEndpoints: [...request.excludedEndpoints],
        });
    }

    private createFinalRefusal(request: SlotRequest, refusals: readonly SlotRefusal[]): SchedulerError {
        const reasons = [RefusalReason.OVERLOADED, RefusalReason.DEADLINE_UNATTAINABLE];
        const refusal =
            reasons.flatMap(reason => refusals.filter(candidate => candidate.reason === reason))[0]
                ?? refusals[0]
                ?? { reason: RefusalReason.NO_ENDPOINT, retryAfterMs: MOVE_CHECK_INTERVAL_MS, estimateMs: 0 };
        const retryAfterMs = Math.min(
            ...refusals.map(candidate => candidate.retryAfterMs),
            refusal.retryAfterMs,
        );
        // Jitter keeps callers refused together from retrying together.
        const jitter = 1 + MAX_RETRY_JITTER * this.options.random.pickFraction();
        return createRefusalError({ ...refusal, retryAfterMs: retryAfterMs * jitter }, {
            tier: request.match.tier.name,
            target: request.match.selector.target.serves,
            remainingMs: request.deadlineAt - this.options.timers.now(),
        });
    }

    private findOwner(groupName: string): VmListEntry | undefined {
        const group = this.groups.find(candidate => candidate.name === groupName);
        return group === undefined ? undefined : this.options.membership.findOwner(groupName, group);
    }

    private getLink(peer: VmListEntry): SchedulerLink {
        this.usedAt.set(peer.peerUrl, this.options.timers.now());
        const known = this.links.get(peer.peerUrl);
        if (known !== undefined) {
            return known;
        }
        const { transport, timers, heartbeatMs, peerTimeoutMs } = this.options;
        const link = RemoteLink.create({
            peer,
            transport,
            timers,
            heartbeatMs,
            peerTimeoutMs,
            onLoads: loads => this.options.chooser.recordLoads(loads),
            onLost: (reason, lastContactAt) => this.handleLostLink(peer, link, reason, lastContactAt),
        });
        this.links.set(peer.peerUrl, link);
        return link;
    }

    private handleLostLink(
        peer: VmListEntry,
        link: SchedulerLink,
        reason: string,
        lastContactAt: number,
    ): void {
        if (this.links.get(peer.peerUrl) !== link) {
            return;
        }
        this.links.delete(peer.peerUrl);
        this.running.forEach(({ knownBy }) => knownBy.delete(peer.peerUrl));
        this.options.logger.write("LinkLost", { vm: peer.name, reason });
        this.options.membership.suspect(peer, lastContactAt);
        this.announceRunning();
    }

    /** Closes the links to dead VMs, so that their tickets are submitted again at once. */
    private closeDeadLinks(): void {
        const live = new Set(
            this.options.membership.listMembers().filter(member => member.isLive).map(({ entry }) =>
                entry.peerUrl
            ),
        );
        for (const [address, link] of this.links) {
            if (!live.has(address)) {
                link.close();
            }
        }
    }

    /** Closes links that have not been needed for a while. */
    private closeIdleLinks(): void {
        const needed = new Set([...this.running.values()].flatMap(({ knownBy }) => [...knownBy]));
        const now = this.options.timers.now();
        for (const [address, link] of this.links) {
            const idleMs = now - (this.usedAt.get(address) ?? Number.POSITIVE_INFINITY);
            if (idleMs > LINK_IDLE_TIMEOUT_MS && link.isIdle && !needed.has(address)) {
                this.links.delete(address);
                this.usedAt.delete(address);
                link.close();
            }
        }
    }

    /** Announces running requests to the current owners that don't know of them. */
    private announceRunning(): void {
        for (const { slot, knownBy } of this.running.values()) {
            const owner = this.findOwner(slot.group);
            if (owner !== undefined && !knownBy.has(owner.peerUrl)) {
                knownBy.add(owner.peerUrl);
                this.getLink(owner).announce(create(RunningRequestSchema, {
                    id: slot.id,
                    group: slot.group,
                    endpoint: slot.endpoint,
                    tier: slot.tier,
                    expectedMs: Math.ceil(slot.expectedMs),
                }));
            }
        }
    }
}

const isTransient = (reason: RefusalReason): boolean =>
    reason === RefusalReason.NOT_OWNER
    || reason === RefusalReason.UNKNOWN_SELECTOR
    || reason === RefusalReason.STOPPING;
