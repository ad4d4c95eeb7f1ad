/** `wigeonpulley audit`: lists the changes of the configuration with their authors and outcomes. */
import { readAuditTrail } from "../../config/index.js";
import type { LogOptions } from "../config-show/index.js";
import { createLogClient } from "../operator-client.js";
import { printResult } from "../output.js";

/** Prints the audit trail that the platform's log holds. */
export const runAudit = async (options: LogOptions): Promise<void> => {
    printResult(await readAuditTrail(createLogClient(options.log)));
};
