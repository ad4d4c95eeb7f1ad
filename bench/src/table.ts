/** Tables and result files of the benchmarks. */
import { mkdirSync, writeFileSync } from "node:fs";

/** Row of a table, by column name. */
export type Row = Readonly<Record<string, string | number>>;

/** Table with a title. */
export interface Table {
    readonly title: string;
    readonly rows: readonly Row[];
}

const RESULTS_FOLDER = new URL("../../results/", import.meta.url);

/** Prints tables to standard output. */
export const printTables = (tables: readonly Table[]): void => {
    for (const { title, rows } of tables) {
        process.stdout.write(`\n${title}\n`);
        console.table(rows);
    }
};

/** Writes tables to the file `name`.json in bench/results. */
export const writeTables = (name: string, tables: readonly Table[]): void => {
    mkdirSync(RESULTS_FOLDER, { recursive: true });
    writeFileSync(new URL(`${name}.json`, RESULTS_FOLDER), `${JSON.stringify(tables, undefined, 4)}\n`);
};

/** Rounds to a number of significant digits. */
export const roundTo = (value: number, digits = 3): number => Number(value.toPrecision(digits));
