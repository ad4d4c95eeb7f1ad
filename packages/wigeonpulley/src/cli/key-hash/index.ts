/** `wigeonpulley key hash`: prints the hash of an operator key for the settings, which don't contain the key itself. */
import { hashKey } from "../../config/index.js";
import { printJson } from "../output.js";

const OPERATOR_KEY_VARIABLE = "WIGEONPULLEY_OPERATOR_KEY";

/** Runs the command on a key; by default on the one in the environment. */
export const runKeyHash = (key: string | undefined): void => {
    printJson({ operatorKeyHash: hashKey(key ?? process.env[OPERATOR_KEY_VARIABLE] ?? "") });
};
