/** `wigeonpulley status`: shows the state of the system as one VM knows it. */
import { callOperatorApi, type OperatorCallOptions } from "../operator-client.js";
import { printResult } from "../output.js";

/** Runs the command. */
export const runStatus = async (options: OperatorCallOptions): Promise<void> => {
    printResult(await callOperatorApi(options, "GET", "/operator/status"));
};
