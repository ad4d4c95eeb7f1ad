/** Benchmark command: `npm run bench -- [capacity] [--quick]`. */
import { cac } from "cac";
import { measureClaims } from "./capacity/claims.js";
import { measureConfiguration } from "./capacity/configuration.js";
import { measureLinks } from "./capacity/links.js";
import { measureMembers } from "./capacity/members.js";
import { measureScheduler } from "./capacity/scheduler.js";
import { measurePolicies } from "./policy/report.js";
import { printTables, writeTables } from "./table.js";

const QUICK_SIZES = [3, 6, 12, 24] as const;
const ALL_SIZES = [3, 6, 12, 24, 50, 100, 400] as const;

const runCapacity = async (isQuick: boolean): Promise<void> => {
    const tables = [
        await measureMembers(isQuick ? QUICK_SIZES : ALL_SIZES),
        ...(await measureScheduler()),
        measureConfiguration(),
        ...(await measureLinks()),
        await measureClaims(),
    ];
    printTables(tables);
    writeTables("capacity", tables);
};

const runPolicies = async (isQuick: boolean): Promise<void> => {
    const tables = await measurePolicies(isQuick);
    printTables(tables);
    writeTables("latest", tables);
};

const cli = cac("bench");
cli.command("", "Compares the scheduler with baseline policies; writes bench/results/latest.json")
    .option("--quick", "Fewer and shorter scenarios; takes less than 60 s")
    .action(({ quick }: { quick?: boolean; }) => runPolicies(quick === true));
cli.command("capacity", "Measures costs by size for docs/CAPACITY.md; writes bench/results/capacity.json")
    .option("--quick", "Small numbers of VMs only")
    .action(({ quick }: { quick?: boolean; }) => runCapacity(quick === true));
cli.help();
cli.parse();
