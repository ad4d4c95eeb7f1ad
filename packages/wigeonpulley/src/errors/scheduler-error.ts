/** The error type of the library: an entry of the error catalogue with the details of one occurrence. */
import { errorCatalogue, type ErrorDetails, type ErrorEntry, type ErrorName } from "./error-catalogue.js";

/** Optional properties of an error. */
export interface SchedulerErrorOptions {
    /** Time after which the caller may retry. */
    readonly retryAfterMs?: number | undefined;
}

/** Typed error. Its `name` is a key of the error catalogue. */
export class SchedulerError extends Error {
    override readonly name: ErrorName;
    /** Time after which the caller may retry. */
    readonly retryAfterMs: number | undefined;

    private constructor(name: ErrorName, message: string, options: SchedulerErrorOptions) {
        super(message);
        this.name = name;
        this.retryAfterMs = options.retryAfterMs;
    }

    /** Creates an error from its catalogue entry. */
    static create<Name extends ErrorName>(
        name: Name,
        details: ErrorDetails<Name>,
        options: SchedulerErrorOptions = {},
    ): SchedulerError {
        const entry = errorCatalogue[name] as ErrorEntry<ErrorDetails<Name>>;
        return new SchedulerError(name, entry.message(details), options);
    }

    /** Returns a SchedulerError as it is and wraps any other thrown value as InternalError. */
    static fromUnknown(cause: unknown): SchedulerError {
        return cause instanceof SchedulerError
            ? cause
            : SchedulerError.create("InternalError", { reason: describeCause(cause) });
    }

    /** Title, hint, status and `notRun` of the catalogue entry. */
    get entry(): Pick<ErrorEntry<never>, "title" | "hint" | "status" | "notRun"> {
        return errorCatalogue[this.name];
    }
}

/** Describes a thrown value in one line. */
export const describeCause = (cause: unknown): string =>
    cause instanceof Error ? cause.message || cause.name : String(cause);
