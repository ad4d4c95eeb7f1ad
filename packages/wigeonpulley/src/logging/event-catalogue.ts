/**
 * The catalogue of logged events. Numbers are never reused.
 * docs/EVENTS.md is generated from it.
 */

/** Level of an event. */
export type EventLevel = "error" | "warn" | "info" | "debug";

/** One entry of the event catalogue. */
export interface EventEntry<Details> {
    /** Number of the event; never reused. */
    readonly number: number;
    readonly level: EventLevel;
    /** Formats the message from the details of one occurrence. */
    readonly message: (details: Details) => string;
}

const defineEvent = <Details>(
    number: number,
    level: EventLevel,
    message: (details: Details) => string,
): EventEntry<Details> => ({ number, level, message });

type NoDetails = Record<never, never>;

/**
 * All events by name. Hundreds: 1 process, 2 configuration, 3 members, 4 requests, 5 claims, endpoints and instances,
 * 7 rollouts, 9 failures and the log itself.
 */
export const eventCatalogue = {
    VmStarted: defineEvent<{ vm: string; callers: string; peers: string; }>(
        101,
        "info",
        ({ vm, callers, peers }) => `VM ${vm} listens on ${callers} for callers and on ${peers} for peers`,
    ),
    VmStopping: defineEvent<{ open: number; lateMs?: number; }>(
        102,
        "info",
        ({ open, lateMs = 0 }) =>
            `graceful shutdown began with ${open} open requests, up to ${lateMs} ms after its request`,
    ),
    VmStopped: defineEvent<NoDetails>(103, "info", () => "graceful shutdown is complete"),
    StopLimitReached: defineEvent<{ open: number; }>(
        104,
        "error",
        ({ open }) => `the time limit of the shutdown passed; ${open} open requests are aborted`,
    ),
    StopForced: defineEvent<{ open: number; }>(
        105,
        "warn",
        ({ open }) => `a second signal ended the graceful shutdown; ${open} open requests are aborted`,
    ),
    SettingsReloaded: defineEvent<{ vm: string; }>(
        106,
        "info",
        ({ vm }) => `VM ${vm} reloaded its settings; bounds apply now, addresses after a restart`,
    ),
    ConfigurationInForce: defineEvent<{ version: number; author: string; changeId: string; }>(
        201,
        "info",
        ({ version, author, changeId }) =>
            `configuration ${version} by ${author} (change ${changeId}) is in force`,
    ),
    MemberLive: defineEvent<{ vm: string; }>(301, "info", ({ vm }) => `VM ${vm} is live`),
    MemberDead: defineEvent<{ vm: string; }>(302, "warn", ({ vm }) => `VM ${vm} is no longer live`),
    LinkLost: defineEvent<{ vm: string; reason: string; }>(
        303,
        "warn",
        ({ vm, reason }) => `the link to the scheduler on VM ${vm} was lost: ${reason}`,
    ),
    GatewayLost: defineEvent<{ vm: string; }>(
        304,
        "warn",
        ({ vm }) => `the gateway on VM ${vm} was lost; its tickets are removed and its slots expire`,
    ),
    VmListCopyRead: defineEvent<{ vms: number; }>(
        305,
        "warn",
        ({ vms }) => `the list of VMs can't be read; a copy names ${vms}`,
    ),
    RequestDispatched: defineEvent<{ id: string; endpoint: string; tier: string; }>(
        401,
        "debug",
        ({ id, endpoint, tier }) => `request ${id} of tier ${tier} was dispatched to ${endpoint}`,
    ),
    RequestRefused: defineEvent<{ id: string; error: string; }>(
        402,
        "info",
        ({ id, error }) => `request ${id} was refused: ${error}`,
    ),
    DispatchReturned: defineEvent<{ id: string; endpoint: string; reason: string; }>(
        403,
        "warn",
        ({ id, endpoint, reason }) =>
            `request ${id} did not reach ${endpoint} (${reason}) and is placed again`,
    ),
    StreamResumed: defineEvent<{ id: string; endpoint: string; sequence: number; }>(
        404,
        "warn",
        ({ id, endpoint, sequence }) => `request ${id} is resumed at event ${sequence} of ${endpoint}`,
    ),
    AnswerMismatch: defineEvent<{ id: string; endpoint: string; received: string; }>(
        405,
        "error",
        ({ id, endpoint, received }) => `${endpoint} sent for request ${id} the response to ${received}`,
    ),
    ClaimSettled: defineEvent<{ verdict: string; partition: number; }>(
        501,
        "debug",
        ({ verdict, partition }) => `a claim in partition ${partition} is ${verdict}`,
    ),
    ClaimReleased: defineEvent<{ partition: number; }>(
        502,
        "info",
        ({ partition }) => `a claim in partition ${partition} was released before dispatch`,
    ),
    EndpointStateChanged: defineEvent<{ endpoint: string; state: string; }>(
        503,
        "info",
        ({ endpoint, state }) => `endpoint ${endpoint} is ${state}`,
    ),
    RoutingInForce: defineEvent<{ version: number; before: number; routes: number; workspaces: number; }>(
        202,
        "info",
        ({ version, before, routes, workspaces }) =>
            `routing configuration ${version} with ${routes} routes and ${workspaces} workspaces replaces ${before}`,
    ),
    StoreLost: defineEvent<{ topic: string; reason: string; }>(
        203,
        "warn",
        ({ topic, reason }) => `reading ${topic} from the store fails: ${reason}`,
    ),
    StoreBack: defineEvent<{ topic: string; lostMs: number; }>(
        204,
        "info",
        ({ topic, lostMs }) => `reading ${topic} from the store works again after ${lostMs} ms`,
    ),
    ClockJumped: defineEvent<{ jumpMs: number; }>(
        205,
        "warn",
        ({ jumpMs }) =>
            `the wall clock advanced ${jumpMs} ms more than the monotonic clock; the configuration is confirmed again`,
    ),
    StoreRestored: defineEvent<
        { topic: string; era: number; eraBefore: number; offset: number; end: number; }
    >(
        206,
        "warn",
        ({ topic, era, eraBefore, offset, end }) =>
            `the store was restored (era ${era} after ${eraBefore}): ${topic} was read up to offset ${offset} and now ends at ${end}`,
    ),
    OperatorRecordRead: defineEvent<{ key: string; offset: number; }>(
        207,
        "info",
        ({ key, offset }) => `the operators' record ${key} was read at offset ${offset}`,
    ),
    OperatorRecordsFetched: defineEvent<
        { from: string; offset: number; records: number; tookMs: number; }
    >(
        208,
        "info",
        ({ from, offset, records, tookMs }) =>
            `${records} operators' records up to offset ${offset} came from ${from} in ${tookMs} ms`,
    ),
    RegionsUnknown: defineEvent<{ version: number; regions: string; }>(
        209,
        "warn",
        ({ version, regions }) =>
            `configuration ${version} allows regions in which no known data centre lies: ${regions}`,
    ),
    EvacuationStarted: defineEvent<{ dataCentre: string; }>(
        210,
        "warn",
        ({ dataCentre }) => `data centre ${dataCentre} is evacuated; its instances get no further requests`,
    ),
    EvacuationEnded: defineEvent<{ dataCentre: string; }>(
        211,
        "warn",
        ({ dataCentre }) => `the evacuation of data centre ${dataCentre} has ended`,
    ),
    EvacuationUnchanged: defineEvent<{ dataCentre: string; reason: string; }>(
        212,
        "warn",
        ({ dataCentre, reason }) =>
            `a record about the evacuation of data centre ${dataCentre} changes nothing: ${reason}`,
    ),
    TopicPartRead: defineEvent<{ topic: string; offset: number; end: number; }>(
        213,
        "info",
        ({ topic, offset, end }) => `read a part of ${topic} up to offset ${offset}; it ended at ${end}`,
    ),
    RequestEnded: defineEvent<
        {
            id: string;
            route: string;
            service: string;
            workspace: string;
            version: number;
            status: number;
            outcome: string;
            instance: string;
            peer: string;
            sends: number;
            rank: number;
            promptTokens: number;
            unreadMs: number;
            ahead: number;
            loopDelayMs: number;
            waitedMs: number;
            firstMs: number;
            predictedMs: number;
            targetMs: number;
            longestGapMs: number;
            gapTargetMs: number;
            events: number;
            tookMs: number;
            reason: string;
        }
    >(
        406,
        "info",
        ({ id, status, outcome, instance }) =>
            `request ${id} ended with status ${status} (${outcome}) at instance ${instance}`,
    ),
    RequestNotAdmitted: defineEvent<
        {
            id: string;
            route: string;
            error: string;
            version: number;
            ageMs: number;
            /** VM that passed the request on, and the version by which it admitted it; empty and 0 without. */
            peer: string;
            peerVersion: number;
        }
    >(
        407,
        "info",
        ({ id, error, version, ageMs }) =>
            `request ${id} was not admitted by configuration ${version}, confirmed ${ageMs} ms ago: ${error}`,
    ),
    QuotaRefused: defineEvent<
        {
            id: string;
            workspace: string;
            units: number;
            level: number;
            ratePerS: number;
            quotaPerS: number;
            knownUnits: number;
            boundUnits: number;
        }
    >(
        409,
        "info",
        ({ id, workspace, units, level, ratePerS, quotaPerS, knownUnits, boundUnits }) =>
            `request ${id} of workspace ${workspace} needs ${units} units; the token bucket here holds ${level} and refills `
            + `at ${ratePerS} of ${quotaPerS} units a second; ${knownUnits} of ${boundUnits} units are known to be used`,
    ),
    RequestNotPlaced: defineEvent<
        {
            id: string;
            service: string;
            rank: number;
            waitedMs: number;
            ahead: number;
            instances: number;
            inFlight: number;
            places: number;
            limited: number;
            workspace: string;
            sharePercent: number;
            forecastMs: number;
            freedPerS: number;
            peersWaiting: number;
            leftToPeers: number;
        }
    >(
        410,
        "info",
        (
            {
                id,
                service,
                waitedMs,
                ahead,
                instances,
                inFlight,
                places,
                limited,
                workspace,
                sharePercent,
                forecastMs,
                freedPerS,
                peersWaiting,
                leftToPeers,
            },
        ) => `request ${id} got no slot in ${waitedMs} ms: ${ahead} requests ahead, ${instances} instances of ${service} `
            + `have ${inFlight} requests in flight on ${places} slots, ${limited} of them take none now by their rate limit; `
            + `workspace ${workspace} has used ${sharePercent}% of its share; `
            + `expected at its arrival to wait ${forecastMs} ms while ${freedPerS} slots a second are freed (-1: not refused then); `
            + `at ${leftToPeers} checks a slot was free and left to other VMs, where ${peersWaiting} requests of its rank or better `
            + "wait as far as known",
    ),
    RequestRepeated: defineEvent<
        { id: string; instance: string; reason: string; attempts: number; lastEventId: string; }
    >(
        408,
        "info",
        ({ id, instance, reason, lastEventId }) =>
            `request ${id} failed at instance ${instance} (${reason}) and is retried after event ${lastEventId}`,
    ),
    RequestPassedOn: defineEvent<
        { id: string; service: string; to: string; sends: number; version: number; }
    >(
        411,
        "info",
        ({ id, service, to, version }) =>
            `request ${id}, admitted by configuration ${version}, is passed on to ${to}, because this VM reaches too few `
            + `instances of ${service}`,
    ),
    ClientsLimited: defineEvent<
        {
            memory: number;
            slowUploads: number;
            unread: number;
            connections: number;
            pipelined: number;
            heldBackTurns: number;
            heldBytes: number;
            budgetBytes: number;
        }
    >(
        412,
        "warn",
        ({ memory, slowUploads, unread, connections, pipelined, heldBackTurns, heldBytes, budgetBytes }) =>
            `limits on clients ended ${memory} requests for lack of memory and ${slowUploads} slow bodies, and closed `
            + `${unread} connections with unread responses, ${connections} excess ones and ${pipelined} with too many `
            + `unanswered requests; costly input waited in ${heldBackTurns} turns; ${heldBytes} of ${budgetBytes} bytes are held`,
    ),
    InstanceBrittle: defineEvent<{ instance: string; rejectionsPerS: number; before: number; }>(
        512,
        "info",
        ({ instance, rejectionsPerS, before }) =>
            `instance ${instance} may turn away ${rejectionsPerS} requests a second, ${before} before (-1: any number)`,
    ),
    InstanceSeen: defineEvent<
        { instance: string; service: string; address: string; state: string; version: string; }
    >(
        504,
        "info",
        ({ instance, service, address, state, version }) =>
            `instance ${instance} of ${service} at ${address} is ${state} with version ${version}`,
    ),
    InstanceGone: defineEvent<{ instance: string; }>(
        505,
        "info",
        ({ instance }) => `instance ${instance} was removed`,
    ),
    InstanceDistrusted: defineEvent<
        { instance: string; reason: string; failureShare: number; pauseMs: number; }
    >(
        506,
        "warn",
        ({ instance, reason, failureShare, pauseMs }) =>
            `instance ${instance} is ejected for ${pauseMs} ms at a failure rate of ${failureShare}: ${reason}`,
    ),
    InstanceTrusted: defineEvent<{ instance: string; }>(
        507,
        "info",
        ({ instance }) => `instance ${instance} is trusted again`,
    ),
    InstanceConnectionLost: defineEvent<
        {
            id: string;
            instance: string;
            reason: string;
            events: number;
            promptBlocks: string;
            request: string;
        }
    >(
        508,
        "info",
        ({ id, instance, reason, events, promptBlocks, request }) =>
            `instance ${instance} closed the connection of request ${id} after ${events} events (${reason}); `
            + `prompt blocks: ${promptBlocks}; ${request} names its path, caller and body`,
    ),
    PromptBlockQuarantined: defineEvent<{ block: string; instances: number; ageMs: number; }>(
        509,
        "warn",
        ({ block, instances, ageMs }) =>
            `prompt block or request ${block} is quarantined: ${instances} instances closed connections under it, the last one ${ageMs} ms `
            + `ago (0 instances: learned from another VM or the store)`,
    ),
    PromptBlockReleased: defineEvent<{ block: string; reason: string; }>(
        510,
        "warn",
        ({ block, reason }) => `prompt block or request ${block} is no longer quarantined: ${reason}`,
    ),
    InstanceLimitChanged: defineEvent<
        { instance: string; incarnation: number; limitPerS: number; beforePerS: number; }
    >(
        511,
        "info",
        ({ instance, incarnation, limitPerS, beforePerS }) =>
            `instance ${instance} (incarnation ${incarnation}) takes ${limitPerS} requests a second from all VMs, before `
            + `${beforePerS} (-1: no limit); without a name, another VM reported it`,
    ),
    PromptBlockTried: defineEvent<{ block: string; }>(
        513,
        "warn",
        ({ block }) =>
            `one request with the quarantined prompt block or request ${block} may be sent: all VMs that knew why it is `
            + `quarantined have restarted`,
    ),
    InstanceCold: defineEvent<{ instance: string; remainingMs: number; recordMs: number; }>(
        520,
        "info",
        ({ instance, remainingMs, recordMs }) =>
            `instance ${instance} is cold for ${remainingMs} ms, of which its record names ${recordMs} ms`,
    ),
    InstanceWarm: defineEvent<{ instance: string; }>(
        521,
        "info",
        ({ instance }) => `instance ${instance} is no longer cold`,
    ),
    PromptHomesWeighed: defineEvent<
        {
            id: string;
            instance: string;
            blocks: number;
            depth: number;
            homes: number;
            candidates: number;
            homeDepth: number;
            share: number;
            likelihood: number;
            promptTokens: number;
            uncachedTokens: number;
        }
    >(
        522,
        "debug",
        (
            {
                id,
                instance,
                blocks,
                depth,
                homes,
                candidates,
                homeDepth,
                share,
                likelihood,
                promptTokens,
                uncachedTokens,
            },
        ) => `request ${id} goes to ${instance}, a home of ${homeDepth} of its ${blocks} prompt blocks; ${homes} of `
            + `${candidates} possible instances are homes of ${depth} blocks, with share ${share} of the service's requests `
            + `and likelihood ${likelihood}; ${uncachedTokens} of ${promptTokens} prompt tokens are expected to be read`,
    ),
    ConcurrencyLearned: defineEvent<{ instance: string; from: number; to: number; slots: number; }>(
        530,
        "info",
        ({ instance, from, to, slots }) =>
            `instance ${instance} gets up to ${to} requests at the same time instead of ${from}; it has ${slots} slots`,
    ),
    RolloutOrdered: defineEvent<{ service: string; version: string; durationMs: number; }>(
        701,
        "info",
        ({ service, version, durationMs }) =>
            `a rollout of service ${service} to version ${version} within ${durationMs} ms was ordered`,
    ),
    RolloutBad: defineEvent<
        { service: string; version: string; heardFrom: string; good: number; bad: number; }
    >(
        702,
        "warn",
        ({ service, version, heardFrom, good, bad }) =>
            `version ${version} of ${service} gets no more requests: ${bad} bad and ${good} good responses at this VM`
            + (heardFrom === "" ? "" : `, reported bad by VM ${heardFrom}`),
    ),
    RolloutState: defineEvent<{ service: string; version: string; wanted: string; state: string; }>(
        703,
        "info",
        ({ service, version, wanted, state }) =>
            `the rollout of ${service} to version ${version} is ${state} (this VM tried to write ${wanted})`,
    ),
    RolloutNotWritten: defineEvent<{ service: string; version: string; reason: string; }>(
        704,
        "warn",
        ({ service, version, reason }) =>
            `the state of the rollout of ${service} to version ${version} could not be read or written: ${reason}`,
    ),
    EventLoopLate: defineEvent<
        { delayMs: number; overMs: number; busyPercent: number; processorPercent: number; work: string; }
    >(
        108,
        "warn",
        ({ delayMs, overMs, busyPercent, processorPercent, work }) =>
            `a timer ran ${delayMs} ms late; in the last ${overMs} ms the event loop was busy for ${busyPercent}% of the time, `
            + `and the process used ${processorPercent}% of a core; time by kind of work: ${work}`,
    ),
    LinesDropped: defineEvent<{ count: number; }>(
        902,
        "warn",
        ({ count }) => `${count} log lines were dropped because the output did not keep up`,
    ),
    Failure: defineEvent<{ error: string; message: string; }>(
        901,
        "error",
        ({ error, message }) => `${error}: ${message}`,
    ),
} as const;

/** The name of an event. */
export type EventName = keyof typeof eventCatalogue;

/** The details that one kind of event carries. */
export type EventDetails<Name extends EventName> = Parameters<(typeof eventCatalogue)[Name]["message"]>[0];
