/** `wigeonpulley settings check`: checks the settings of a VM for routed traffic without starting it. */
import { checkDocument, readJsonFile } from "../../config/index.js";
import { routedSettingsSchema } from "../../routed-vm/index.js";
import { printResult } from "../output.js";

/** Prints `valid: true` with the VM's name and data centre, or the problems of the file. */
export const runSettingsCheck = (path: string): void => {
    const checked = readJsonFile(path).andThen(document =>
        checkDocument(routedSettingsSchema, document, "InvalidSettings")
    );
    printResult(checked.map(({ name, dataCentre }) => ({ valid: true, vm: name, dataCentre })));
};
