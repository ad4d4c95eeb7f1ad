/** Measures processor time of scheduling decisions and of the choice of owners, and the number of endpoint groups. */
import { create } from "@bufbuild/protobuf";
import {
    AgedShortestFirstOrder,
    chooseByRendezvous,
    type Configuration,
    createGroups,
    GroupScheduler,
    Outcome,
    ReleaseSchema,
    TicketSchema,
    VirtualTimerService,
} from "wigeonpulley";
import { roundTo, type Row, type Table } from "../table.js";
import { createSizedConfiguration } from "./configurations.js";

const ROUNDS = 2_000;
const NANOSECONDS_PER_MICROSECOND = 1_000;

const measureMicroseconds = async (
    rounds: number,
    run: (round: number) => void | Promise<void>,
): Promise<number> => {
    const start = process.hrtime.bigint();
    for (let round = 0; round < rounds; round += 1) {
        await run(round);
    }
    return Number(process.hrtime.bigint() - start) / NANOSECONDS_PER_MICROSECOND / rounds;
};

const createTicket = (id: string, tier: number): ReturnType<typeof create<typeof TicketSchema>> =>
    create(TicketSchema, {
        id,
        group: "group",
        selector: "model-0",
        tier,
        durable: true,
        remainingMs: 60_000,
        allowedMs: 60_000,
        promptTokens: 1_000,
        answerTokens: 200,
        prefixBlocks: [1, 2, 3],
    });

const createScheduler = (configuration: Configuration): GroupScheduler => {
    const selectors = new Map(configuration.selectors.map(selector => [selector.name, selector]));
    const scheduler = GroupScheduler.create({
        timers: VirtualTimerService.create(),
        order: AgedShortestFirstOrder.create(),
        findSelector: name => selectors.get(name),
    });
    const endpoints = configuration.endpoints.map(endpoint => ({ ...endpoint, serves: "model-0" }));
    scheduler.updateEndpoints(endpoints, () => true);
    return scheduler;
};

const measureDecision = async (endpoints: number, waiting: number): Promise<Row> => {
    const scheduler = createScheduler(createSizedConfiguration(endpoints, 1));
    const freeSlots = scheduler.countFreeSlots();
    // Without waiting tickets, half of the slots are occupied.
    const initialTickets = waiting > 0 ? freeSlots + waiting : Math.floor(freeSlots / 2);
    const granted: string[] = [];
    for (let index = 0; index < initialTickets; index += 1) {
        const id = `filler-${index}`;
        void scheduler.acquire(createTicket(id, index % 5), "vm-1").then(() => granted.push(id));
    }
    await Promise.resolve();
    const microseconds = await measureMicroseconds(ROUNDS, async round => {
        const id = `ticket-${round}`;
        void scheduler.acquire(createTicket(id, round % 5), "vm-1").then(() => granted.push(id));
        const finished = granted.shift() ?? id;
        const report = { outcome: Outcome.COMPLETED, firstTokenMs: 100, tokens: 200, durationMs: 6_000 };
        scheduler.release(create(ReleaseSchema, { id: finished, group: "group", ...report }));
        await Promise.resolve();
    });
    scheduler.stop(0);
    return { endpoints, waiting, "µs per ticket and release": roundTo(microseconds) };
};

const measureOwnerChoice = async (members: number): Promise<Row> => {
    const names = Array.from({ length: members }, (unused, index) => `vm-${index}`);
    const microseconds = await measureMicroseconds(200, round => {
        chooseByRendezvous(`group-${round}`, names, name => name);
    });
    return { "VMs of the data centre": members, "µs per owner": roundTo(microseconds) };
};

/** Measures decisions, the choice of owners and the number of groups. */
export const measureScheduler = async (): Promise<readonly Table[]> => {
    const decisions: Row[] = [];
    for (const endpoints of [2, 8, 32, 100]) {
        for (const waiting of [0, 100, 1_000]) {
            decisions.push(await measureDecision(endpoints, waiting));
        }
    }
    const owners: Row[] = [];
    for (const members of [7, 57, 400]) {
        owners.push(await measureOwnerChoice(members));
    }
    const groups: Row[] = [14, 150, 600].map(endpoints => {
        const configuration = createSizedConfiguration(endpoints, 1);
        return {
            endpoints,
            "groups of 8": createGroups(configuration, 8).length,
            "groups of 2": createGroups(configuration, 2).length,
        };
    });
    return [
        { title: "Scheduling decisions (in process)", rows: decisions },
        { title: "Owners by rendezvous hash (in process)", rows: owners },
        { title: "Endpoint groups", rows: groups },
    ];
};
