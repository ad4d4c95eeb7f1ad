// Reporter of vitest that writes the errors outside tests to the file named by UNHANDLED_ERRORS_FILE; the JSON reporter omits them.
import { writeFileSync } from "node:fs";

export default class UnhandledErrorReporter {
    onTestRunEnd(testModules, unhandledErrors) {
        const descriptions = unhandledErrors.map(({ name, message }) => `${name}: ${message}`);
        writeFileSync(process.env.UNHANDLED_ERRORS_FILE ?? "", JSON.stringify(descriptions));
    }
}
