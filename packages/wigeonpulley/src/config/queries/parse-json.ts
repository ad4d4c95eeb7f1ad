/** Parses the text of a JSON file, with the place of an error. */
import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import { Err, Ok, type Result } from "ts-results-es";
import { describeCause } from "../../errors/index.js";

/** Parses a text as JSON. Fails with the file, the line and the column of the first error. */
export const parseJson = (text: string, path: string): Result<unknown, string> => {
    try {
        return Ok(JSON.parse(text) as unknown);
    }
    catch (cause) {
        // The messages of JSON.parse name no line, and some no position.
        return Err(`${path}${describePlace(text)}: ${describeCause(cause)}`);
    }
};

const describePlace = (text: string): string => {
    const errors: ParseError[] = [];
    parse(text, errors, { disallowComments: true });
    const [first] = errors;
    if (first === undefined) {
        return "";
    }
    const lines = text.slice(0, first.offset).split("\n");
    return `, line ${lines.length}, column ${(lines.at(-1)?.length ?? 0) + 1} (${
        printParseErrorCode(first.error)
    })`;
};
