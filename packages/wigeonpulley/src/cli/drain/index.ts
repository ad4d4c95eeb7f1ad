/** `wigeonpulley drain`: begins the graceful shutdown of one VM. */
import { callOperator, type VmOptions } from "../operator-client.js";
import { printResult } from "../output.js";

/** Runs the command. */
export const runDrain = async (options: VmOptions): Promise<void> => {
    printResult(await callOperator(options, "POST", "/operator/drain"));
};
