/** `wigeonpulley key hash`: prints what the settings hold of a key, so that the key itself stays out of them. */
import { hashKey } from "../../config/index.js";
import { printJson } from "../output.js";

const KEY_VARIABLE = "WIGEONPULLEY_OPERATOR_KEY";

/** Runs the command on a key, or on the one in the environment. */
export const runKeyHash = (key: string | undefined): void => {
    printJson({ operatorKeyHash: hashKey(key ?? process.env[KEY_VARIABLE] ?? "") });
};
