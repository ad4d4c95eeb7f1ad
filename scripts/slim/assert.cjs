// Node.js builds the message of a failed assertion that has none by parsing the file of the call: here the whole bundle, which
// holds up the event loop for seconds.
const { AssertionError } = require("node:assert/strict");

const assert = (value, message) => {
    if (!value) {
        throw message instanceof Error
            ? message
            : new AssertionError({
                message: message ?? "an assertion of a library failed",
                actual: value,
                expected: true,
                operator: "==",
            });
    }
};

module.exports = assert;
