/** `wigeonpulley audit`: lists who changed what, and what became of it. */
import { readAuditTrail } from "../../config/index.js";
import type { LogOptions } from "../config-show/index.js";
import { createLogClient } from "../operator-client.js";
import { printResult } from "../output.js";

/** Runs the command. */
export const runAudit = async (options: LogOptions): Promise<void> => {
    printResult(await readAuditTrail(createLogClient(options.log)));
};
