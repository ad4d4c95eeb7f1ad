/** `wigeonpulley drain`: starts the graceful shutdown of one VM. */
import { callOperatorApi, type OperatorCallOptions } from "../operator-client.js";
import { printResult } from "../output.js";

/** Prints the response of the VM; doesn't wait for the end of the shutdown. */
export const runDrain = async (options: OperatorCallOptions): Promise<void> => {
    printResult(await callOperatorApi(options, "POST", "/operator/drain"));
};
