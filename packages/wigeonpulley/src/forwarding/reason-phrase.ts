/** Reason phrases of status lines (RFC 9112, section 4). */
import { STATUS_CODES } from "node:http";

/** Characters that a reason phrase may hold; undici has decoded the other bytes, so they can't be sent as they came. */
const VALID_REASON_PHRASE = /^[\t\x20-\x7e]*$/;

/** Returns the standard reason phrase of a status; empty for a status without one. */
export const getReasonPhrase = (status: number): string => STATUS_CODES[status] ?? "";

/**
 * Returns an endpoint's reason phrase, or the standard one when the phrase can't be part of a status line. Callers have to
 * ignore the phrase, so that a response is not lost for it.
 */
export const selectReasonPhrase = (status: number, reasonPhrase: string): string =>
    VALID_REASON_PHRASE.test(reasonPhrase) ? reasonPhrase : getReasonPhrase(status);
