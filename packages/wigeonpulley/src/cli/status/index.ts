/** `wigeonpulley status`: shows what one VM knows of the system. */
import { callOperator, type VmOptions } from "../operator-client.js";
import { printResult } from "../output.js";

/** Runs the command. */
export const runStatus = async (options: VmOptions): Promise<void> => {
    printResult(await callOperator(options, "GET", "/operator/status"));
};
