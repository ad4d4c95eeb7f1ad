/** `wigeonpulley status`: shows the state of the system as one VM knows it. */
import { callOperatorApi, type OperatorCallOptions } from "../operator-client.js";
import { printResult } from "../output.js";

/** Prints the response of the VM. */
export const runStatus = async (options: OperatorCallOptions): Promise<void> => {
    printResult(await callOperatorApi(options, "GET", "/operator/status"));
};
