/** `wigeonpulley status`: shows what one VM knows of the system. */
import { callOperatorApi, type OperatorCallOptions } from "../operator-client.js";
import { printResult } from "../output.js";

/** Runs the command. */
export const runStatus = async (options: OperatorCallOptions): Promise<void> => {
    printResult(await callOperatorApi(options, "GET", "/operator/status"));
};
